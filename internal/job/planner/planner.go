// Package planner decides which task runs on which VM. It is a deterministic
// state machine without network access: it takes events and produces records
// for the log and commands for the agents of VMs. Commands are sent only after
// the records that precede them are in the log.
//
// Serving tasks have a latency objective. Fillers reserve memory but no
// processors: they run on the capacity that other tasks leave, and the agent
// throttles them to a pace at which the serving tasks beside them meet their
// objectives.
package planner

import (
	"fmt"
	"slices"
	"time"

	"knapweedspur/internal/job/copier"
	"knapweedspur/internal/job/durationestimator"
	"knapweedspur/internal/job/estimator"
	"knapweedspur/internal/job/healthtracker"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/reserver"
	"knapweedspur/internal/job/roomkeeper"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

// Settings are the platform parameters that decisions depend on.
type Settings struct {
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// FarFactor is the factor by which a task takes longer on a VM outside the
	// rack that holds its data.
	FarFactor float64
	// MaxRequestAge is how long after the operators' requests were last known to be
	// complete tasks may still be placed, 0 for no limit.
	MaxRequestAge time.Duration
	// StateLifetime is how long clients may ask for the state of a job that has ended.
	StateLifetime time.Duration
	// MaxWaste is the share of the work that copies of tasks may cause to be thrown
	// away, 0 for the usual one.
	MaxWaste float64
	// Gates says which mechanisms are switched off.
	Gates gatekeeper.Gates
}

// Planner holds the jobs, their runs and the VMs, and decides where tasks run.
type Planner struct {
	Settings Settings

	jobs map[string]*job
	vms  map[string]*vm
	// sortedVMs holds the VMs ordered by name, so that the same events always
	// lead to the same decisions.
	sortedVMs  []*vm
	evacuation evacuation
	// termStart is when this leader's term began.
	termStart time.Time
	// lastJobNumber is the number of the job added last. Jobs are numbered in
	// the order in which they are added.
	lastJobNumber int

	// shortWork is the demand of short jobs by pool. crowdedPools are the pools in
	// which long-running tasks ask for the room that is kept for short jobs.
	shortWork    map[string]*roomkeeper.Demand
	crowdedPools map[string]bool
	// lastArrivals is when the last job of each pool was added.
	lastArrivals map[string]time.Time
	promises     promises
	crashes      crashes
	approvals    approvals
	capacities   capacities

	// declaredRates are the rates of runs relative to the declared durations.
	declaredRates healthtracker.Rates
	// probationsSavedAt is when the VMs on probation were last written to the log, savedProbations
	// what was written.
	probationsSavedAt time.Time
	savedProbations   []work.VMProbation

	// copyBudget bounds the copies, lastCopyCheck is when runs were last considered
	// for one.
	copyBudget    copier.Budget
	lastCopyCheck time.Time
	counters      Counters
	// sequences is the last decision about the order of jobs, by the capacity that
	// they need; fillerShares is what fillers get of it, by pool.
	sequences    map[sequenceKind]*sequence
	fillerShares map[string]*fillerShare
	// speeds is how fast fillers run beside serving tasks.
	speeds *estimator.Speeds

	interference *estimator.Interference
	// durations is what ended tasks showed; savedDurations is the number of its
	// changes when it was last written to the log, at durationsSavedAt.
	durations        *durationestimator.Estimator
	savedDurations   int64
	durationsSavedAt time.Time
	// lastLearned is when interference was last learned from latencies.
	lastLearned time.Time
	// estimatesSavedAt is when the learned estimates were last written to the
	// log.
	estimatesSavedAt time.Time
	// lastOutcomeSweep is when outcomes were last checked for expiry.
	lastOutcomeSweep time.Time
	// lastLoadLog is when the load was last logged.
	lastLoadLog time.Time
	// lastMoveCheck is when fillers were last considered for a move to another
	// VM.
	lastMoveCheck time.Time
	// lastYield is when runs were last chosen to give way; yields counts them since the
	// last line about the load.
	lastYield time.Time
	yields    int

	outlook outlook

	// pass counts the passes: what is computed once in each is kept with its number.
	pass int64
	// searches counts the searches for a VM in this pass, candidateTurn is the turn of the
	// steps that it may look at beyond the most urgent ones, moveTurn that of the VMs from
	// which fillers may be moved.
	searches, candidateTurn, moveTurn int

	records []journal.Record
	// tombstones are the records that remove ended jobs and have not been written yet.
	tombstones []journal.Record
	// dirtyTasks holds the tasks, by step and index, whose changes the next Flush
	// writes.
	dirtyTasks  map[*step]map[int]bool
	commands    map[string]*work.Commands
	grants      map[string]*work.Grant
	logDecision func(decision string, fields ...any)
	// onConfirm holds callbacks for the time when the records are in the log.
	onConfirm []func(now time.Time)
}

// Batch is the output of one planning pass: records for the log, and the
// commands and grants, by VM, to send once the records are in it.
type Batch struct {
	Records   []journal.Record
	Commands  map[string]*work.Commands
	Grants    map[string]*work.Grant
	onConfirm []func(now time.Time)
}

// Confirm runs the callbacks that wait for the records of the batch to be in
// the log.
func (b *Batch) Confirm(now time.Time) {
	for _, f := range b.onConfirm {
		f(now)
	}
}

// Empty reports whether the batch has nothing to write, send or confirm.
func (b *Batch) Empty() bool {
	return len(b.Records) == 0 && len(b.Commands) == 0 && len(b.Grants) == 0 && len(b.onConfirm) == 0
}

// placement is a run with the state that the planner keeps beyond the log.
type placement struct {
	step  *step
	index int
	run   int
	vm    *vm
	fence int64
	// startCommandsNumber is the number of the commands that carried the start
	// on the current connection, or 0 if none did.
	startCommandsNumber int64
	placedAt            time.Time
	// progressPercent is the last reported progress, 100 for a serving task.
	progressPercent int
	// measurement is the last one that the agent reported: the tail latency in
	// milliseconds of a serving task, or the processor use of another in
	// millicores.
	measurement float64
	// promised is set if the room of the run was promised before.
	promised bool
	// active is set once the agent reported the run as active.
	active bool
	// quarantined is set if the task was a suspect when the run was placed.
	quarantined bool
	// pace is the share at which the agent lets a filler run, in percent;
	// paceChangedAt is when it last changed.
	pace          int
	paceChangedAt time.Time
	// kindSentAt is when the agent was last sent the kind of the run.
	kindSentAt time.Time
	// stopSentAt is when a stop was last sent.
	stopSentAt time.Time
	// checkpointWrittenAt is when a checkpoint of the run was last written to the
	// log, at first when the run was placed.
	checkpointWrittenAt time.Time
	// firstSeen and firstPercent are the time and the progress of the first
	// report of the run; both restart if the progress goes back.
	firstSeen    time.Time
	firstPercent int
	// copies is the run that this one is a copy of, 0 if it is none. copyWaste is the
	// work that is thrown away at most, in core-seconds.
	copies    int
	copyCause copier.Cause
	copyWaste float64
	// probeCounted is set once the run has shown that its VM works.
	probeCounted bool
	// sentAt is when the start was sent after it was in the log, zero for a run of
	// an earlier leader.
	sentAt time.Time
	// The rate of the run is measured since windowStart, where its progress was
	// windowPercent. rate is the last one, in percent per second, 0 if unknown.
	windowStart   time.Time
	windowPercent int
	rate          float64
	// fullSpeedTime is how long the run would have taken so far at full speed,
	// measured up to measuredAt; firstSpeedTime is that at firstSeen.
	fullSpeedTime, firstSpeedTime time.Duration
	measuredAt                    time.Time
}

// runKey identifies a run of a task.
type runKey struct {
	task string
	run  int
}

// New returns a planner with the state that the log holds.
func New(settings Settings, state *jobreducer.State, now time.Time, log func(string, ...any)) *Planner {
	pl := &Planner{
		Settings: settings, jobs: map[string]*job{}, vms: map[string]*vm{}, lastArrivals: map[string]time.Time{}, termStart: now, logDecision: log, pass: 1,
		dirtyTasks: map[*step]map[int]bool{}, commands: map[string]*work.Commands{}, grants: map[string]*work.Grant{},
		copyBudget: copier.Budget{MaxWaste: settings.MaxWaste}, interference: estimator.NewInterference(), durations: durationestimator.New(),
		speeds:    estimator.NewSpeeds(),
		shortWork: map[string]*roomkeeper.Demand{}, fillerShares: map[string]*fillerShare{}, outlook: newOutlook(),
		promises: promises{byPool: map[string]*reserver.Reserver{}, heldBack: map[*step]heldBack{}},
		crashes:  crashes{suspects: map[taskRef]suspicion{}},
	}
	if state.Estimates != nil && settings.Gates.On(gatekeeper.Weights) {
		pl.interference.Restore(state.Estimates.Pairs)
	}
	if state.Durations != nil {
		pl.durations.Restore(state.Durations)
		pl.savedDurations = pl.durations.Changes()
	}
	for name, session := range state.Sessions {
		v := pl.ensureVM(name)
		v.session = *session
		if session.Revoked {
			// The lease may have been extended until just before this term.
			v.revokedAt = now
		}
	}
	pl.restoreProbations(state.Speeds, now)
	for id, stored := range state.Jobs {
		pl.restoreJob(id, stored, now)
	}
	return pl
}

// restoreJob restores a job and its progress from the log.
func (pl *Planner) restoreJob(id string, stored *jobreducer.Job, now time.Time) {
	if stored.Description == nil {
		if stored.Outcome != nil {
			pl.jobs[id] = &job{id: id, outcome: stored.Outcome, dropped: true}
		}
		return
	}
	j := pl.newJob(id, stored.Description)
	pl.noteArrival(stored.Description.Queue.Pool, stored.Description.AcceptedAt)
	j.outcome = stored.Outcome
	j.canceled = stored.Cancel != nil
	byOccurrence := map[int][]jobreducer.TaskKey{}
	for key := range stored.Tasks {
		if key.Occurrence < max(j.record.Occurrences, 1) && key.Step < len(j.record.Steps) && key.Index < j.record.Steps[key.Step].Tasks {
			byOccurrence[key.Occurrence] = append(byOccurrence[key.Occurrence], key)
			j.startedOccurrences = max(j.startedOccurrences, key.Occurrence+1)
		}
	}
	for number := range j.startedOccurrences {
		if keys := byOccurrence[number]; j.record.Occurrences > 0 && j.isOver(keys, stored.Tasks) {
			j.over = append(j.over, number)
		} else {
			pl.restoreOccurrence(j.ensureOccurrence(number), keys, stored.Tasks, now)
		}
	}
}

// isOver reports whether all tasks of an occurrence are done and have no runs, given those
// that were ever placed.
func (j *job) isOver(keys []jobreducer.TaskKey, tasks map[jobreducer.TaskKey]*work.Task) bool {
	count := 0
	for i := range j.record.Steps {
		count += j.record.Steps[i].Tasks
	}
	return len(keys) == count && !slices.ContainsFunc(keys, func(key jobreducer.TaskKey) bool { return !tasks[key].Done || len(tasks[key].Runs) > 0 })
}

// restoreOccurrence restores the tasks of an occurrence that were ever placed.
func (pl *Planner) restoreOccurrence(o *occurrence, keys []jobreducer.TaskKey, tasks map[jobreducer.TaskKey]*work.Task, now time.Time) {
	for _, key := range keys {
		s, t := o.steps[key.Step], tasks[key]
		s.tasks[key.Index] = copyTask(t)
		if isSuspect(t) {
			pl.crashes.suspects[taskRef{s, key.Index}] = suspicion{}
		}
		for _, r := range t.Runs {
			pl.addPlacement(s, key.Index, r, now)
			// A suspect starts only in quarantine, but for the run that made it one.
			pl.vms[r.VM].runs[runKey{s.taskName(key.Index), r.Run}].quarantined = isSuspect(t) && r.Run > t.Crashes.Run
		}
		s.recount(key.Index)
	}
}

func copyTask(t *work.Task) work.Task {
	c := *t
	c.Runs = append([]work.Run(nil), t.Runs...)
	c.ExcludedVMs = append([]string(nil), t.ExcludedVMs...)
	if t.Crashes != nil {
		crashes := *t.Crashes
		c.Crashes = &crashes
	}
	return c
}

// maxTombstones bounds the tombstones of one pass, so that its records stay a few appends.
const maxTombstones = 4000

// Flush returns the records, commands and grants that were produced since the
// last call.
func (pl *Planner) Flush() *Batch {
	for s, indexes := range pl.dirtyTasks {
		for i := range indexes {
			pl.records = append(pl.records, jobreducer.TaskRecord(s.job.id, s.taskKey(i), &s.tasks[i]))
		}
	}
	removed := min(len(pl.tombstones), maxTombstones)
	pl.records = append(pl.records, pl.tombstones[:removed]...)
	pl.tombstones = pl.tombstones[removed:]
	batch := &Batch{Records: pl.records, Commands: pl.commands, Grants: pl.grants, onConfirm: pl.onConfirm}
	pl.records, pl.onConfirm = nil, nil
	pl.dirtyTasks = map[*step]map[int]bool{}
	pl.commands = map[string]*work.Commands{}
	pl.grants = map[string]*work.Grant{}
	return batch
}

// Summary returns the numbers of jobs, tasks with a run, waiting tasks and VMs,
// for operators.
func (pl *Planner) Summary() string {
	running, waiting := 0, 0
	for _, j := range pl.jobs {
		running += j.running
		waiting += j.waiting
	}
	return fmt.Sprintf("%d jobs, %d runs, %d tasks without a run, %d VMs", len(pl.jobs), running, waiting, len(pl.vms))
}

// Resume completes what the previous leader began. It stops the runs of ended
// jobs, and ends jobs whose cancellation or last finished task is in the log
// without an outcome.
func (pl *Planner) Resume(state *jobreducer.State, now time.Time) {
	for id, stored := range state.Jobs {
		j := pl.jobs[id]
		if j == nil || j.record == nil {
			continue
		}
		switch {
		case j.outcome != nil:
			pl.stopAllRuns(j, j.outcome.State, now)
			pl.dropEndedJob(j)
		case stored.Cancel != nil:
			pl.finishJob(j, jobreducer.Canceled, now)
		default:
			pl.startDueOccurrences(j, now)
			pl.finishIfDecided(j, now)
		}
	}
}
