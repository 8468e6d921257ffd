// Package planner decides which task runs where. It is a deterministic state
// machine without a network: events go in, records for the log and orders for
// VMs come out. An order is released only after the records before it are in
// the log.
package planner

import (
	"fmt"
	"time"

	"knapweedspur/internal/job/estimator"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/wire/work"
)

// Settings are the figures of the platform that decisions depend on.
type Settings struct {
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// FarFactor is how many times as long a task takes away from its rack.
	FarFactor float64
	// Policy is the order of jobs, ByWorth where it is empty.
	Policy Policy
}

// Policy is the order in which jobs that wait are placed.
type Policy string

// The policies. ByDeadline and ByArrival are baselines to compare with.
const (
	ByWorth    Policy = "worth"
	ByDeadline Policy = "deadline"
	ByArrival  Policy = "arrival"
)

// Book is the state of the planner.
type Planner struct {
	Settings Settings

	jobs map[string]*job
	vms  map[string]*vm
	// sorted are the VMs by name, so that the same events lead to the same
	// decisions.
	sorted []*vm
	began  time.Time
	// numbered counts jobs in the order in which they were added.
	numbered int

	interference *estimator.Interference
	// learned is when latencies were last learned from.
	learned time.Time
	// saved is when the log last got what was learned.
	saved time.Time
	// forgot is when outcomes were last looked through.
	forgot time.Time
	// summarized is when the load was last told.
	summarized time.Time
	// relocated is when fillers were last moved.
	relocated time.Time

	records []journal.Record
	dirty   map[*step]bool
	orders  map[string]*work.Orders
	grants  map[string]*work.Grant
	log     func(decision string, fields ...any)
	// confirm is called when the records are in the log.
	confirm []func(now time.Time)
}

// Batch is what one pass of the planner wants: records for the log, and what
// to send after they are in it.
type Batch struct {
	Records []journal.Record
	Orders  map[string]*work.Orders
	Grants  map[string]*work.Grant
	confirm []func(now time.Time)
}

// Confirm tells the book that the records of a batch are in the log.
func (b *Batch) Confirm(now time.Time) {
	for _, f := range b.confirm {
		f(now)
	}
}

// Empty says whether a batch has nothing to write or send.
func (b *Batch) Empty() bool {
	return len(b.Records) == 0 && len(b.Orders) == 0 && len(b.Grants) == 0 && len(b.confirm) == 0
}

// placement is a run with what the planner knows of it beyond the log.
type placement struct {
	step  *step
	index int
	run   int
	vm    *vm
	fence int64
	// sent is the number of the orders that carried the start on the current
	// connection, 0 for none.
	sent    int64
	since   time.Time
	percent int
	gauge   float64
	active  bool
	// pace is the share at which the agent lets a filler work, in percent, and
	// paced when it changed.
	pace  int
	paced time.Time
	// described is when the agent was last told the kind of the run.
	described time.Time
	// stopped is when the last stop was sent.
	stopped time.Time
	// first and seen are when the progress was first and last observed.
	firstSeen    time.Time
	firstPercent int
}

type runKey struct {
	task string
	run  int
}

// New returns the book for the state that the log holds.
func New(settings Settings, state *jobreducer.State, now time.Time, log func(string, ...any)) *Planner {
	b := &Planner{
		Settings: settings, jobs: map[string]*job{}, vms: map[string]*vm{}, began: now, log: log,
		dirty: map[*step]bool{}, orders: map[string]*work.Orders{}, grants: map[string]*work.Grant{},
		interference: estimator.NewInterference(),
	}
	if state.Estimates != nil {
		b.interference.Restore(state.Estimates.Pairs)
	}
	for name, session := range state.Sessions {
		v := b.vm(name)
		v.session = *session
		if session.Revoked {
			// The lease may have been extended until just before this term.
			v.revoked = now
		}
	}
	for id, kept := range state.Jobs {
		b.load(id, kept, now)
	}
	return b
}

// load takes a job with its progress from the log.
func (b *Planner) load(id string, kept *jobreducer.Job, now time.Time) {
	if kept.Record == nil {
		if kept.Outcome != nil {
			b.jobs[id] = &job{id: id, outcome: kept.Outcome, dropped: true, steps: map[jobreducer.StepKey]*step{}}
		}
		return
	}
	j := b.newJob(id, kept.Record)
	j.outcome = kept.Outcome
	j.canceled = kept.Cancel != nil
	for key, progress := range kept.Progress {
		if key.Step >= len(j.record.Steps) {
			continue
		}
		s := j.newStep(key)
		s.written = true
		for i := range min(len(progress.Tasks), len(s.tasks)) {
			s.tasks[i] = cloneTask(&progress.Tasks[i])
			for _, r := range s.tasks[i].Runs {
				b.place(s, i, r, now)
			}
		}
		s.count()
		j.began = max(j.began, key.Occurrence+1)
	}
	for occurrence := range j.began {
		for i := range j.record.Steps {
			j.newStep(jobreducer.StepKey{Occurrence: occurrence, Step: i})
		}
	}
}

func cloneTask(t *work.Task) work.Task {
	c := *t
	c.Runs = append([]work.Run(nil), t.Runs...)
	c.Shunned = append([]string(nil), t.Shunned...)
	return c
}

// Flush returns what was decided since the last call.
func (b *Planner) Flush() *Batch {
	for s := range b.dirty {
		tasks := make([]work.Task, len(s.tasks))
		copy(tasks, s.tasks)
		s.written = true
		b.records = append(b.records, jobreducer.ProgressRecord(s.job.id, s.key, &work.Progress{Tasks: tasks}))
	}
	batch := &Batch{Records: b.records, Orders: b.orders, Grants: b.grants, confirm: b.confirm}
	b.records, b.confirm = nil, nil
	b.dirty = map[*step]bool{}
	b.orders = map[string]*work.Orders{}
	b.grants = map[string]*work.Grant{}
	return batch
}

// Summary describes the book for an operator.
func (b *Planner) Summary() string {
	open, free := 0, 0
	for _, j := range b.jobs {
		for _, s := range j.steps {
			open += s.open
			free += s.free
		}
	}
	return fmt.Sprintf("%d jobs, %d runs, %d tasks without a run, %d VMs", len(b.jobs), open, free, len(b.vms))
}

// Resume finishes what the leader before had begun: it ends jobs whose
// cancellation or last task is in the log without their outcome.
func (b *Planner) Resume(state *jobreducer.State, now time.Time) {
	for id, kept := range state.Jobs {
		j := b.jobs[id]
		if j == nil || j.record == nil {
			continue
		}
		switch {
		case j.outcome != nil:
			for _, s := range j.steps {
				for i := range s.tasks {
					b.haltAll(s, i, j.outcome.State, now)
				}
			}
			b.drop(j)
		case kept.Cancel != nil:
			b.finish(j, jobreducer.Canceled, now)
		default:
			b.begin(j, now)
			b.review(j, now)
		}
	}
}
