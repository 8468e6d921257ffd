// Package planner decides which task runs where. It is a deterministic state
// machine without a network: events go in, records for the log and orders for
// VMs come out. An order is released only after the records before it are in
// the log.
package planner

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"knapweedspur/internal/job/estimator"
	"knapweedspur/internal/job/keeper"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/wire/work"
)

// Settings are the figures of the platform that decisions depend on.
type Settings struct {
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// FarFactor is how many times as long a task takes away from its rack.
	FarFactor float64
}

// Book is the state of the planner.
type Book struct {
	Settings Settings

	jobs  map[string]*job
	vms   map[string]*vm
	began time.Time
	// numbered counts jobs in the order in which they were added.
	numbered int

	interference *estimator.Interference
	// learned is when latencies were last learned from.
	learned time.Time
	// saved is when the log last got what was learned.
	saved time.Time
	// forgot is when outcomes were last looked through.
	forgot time.Time
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

type job struct {
	id     string
	number int
	record *work.Job
	// steps of all occurrences that began.
	steps    map[keeper.StepKey]*step
	began    int
	canceled bool
	outcome  *work.Outcome
	// dropped says that the description was removed from the log.
	dropped bool
}

type step struct {
	job  *job
	key  keeper.StepKey
	spec *work.Step
	// tasks is the state that the log gets.
	tasks []work.Task
	// free tasks wait for a run, open ones have one, done ones ended well.
	free, open, done int
	// written says that the log has a record of the step.
	written bool
	started time.Time
	// load is the load of a serving step without fillers beside it, 0 to 1.
	load float64
	// tickets are what the policy service said, by VM.
	tickets map[string]ticket
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
func New(settings Settings, state *keeper.State, now time.Time, log func(string, ...any)) *Book {
	b := &Book{
		Settings: settings, jobs: map[string]*job{}, vms: map[string]*vm{}, began: now, log: log,
		dirty: map[*step]bool{}, orders: map[string]*work.Orders{}, grants: map[string]*work.Grant{},
		interference: estimator.NewInterference(),
	}
	if state.Estimates != nil {
		b.interference.Load(state.Estimates.Pairs)
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
func (b *Book) load(id string, kept *keeper.Job, now time.Time) {
	if kept.Record == nil {
		if kept.Outcome != nil {
			b.jobs[id] = &job{id: id, outcome: kept.Outcome, dropped: true, steps: map[keeper.StepKey]*step{}}
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
			j.newStep(keeper.StepKey{Occurrence: occurrence, Step: i})
		}
	}
}

func cloneTask(t *work.Task) work.Task {
	c := *t
	c.Runs = append([]work.Run(nil), t.Runs...)
	c.Shunned = append([]string(nil), t.Shunned...)
	return c
}

func (b *Book) newJob(id string, record *work.Job) *job {
	b.numbered++
	j := &job{id: id, number: b.numbered, record: record, steps: map[keeper.StepKey]*step{}}
	b.jobs[id] = j
	return j
}

// newStep returns the step of a key and creates it with all its tasks free.
func (j *job) newStep(key keeper.StepKey) *step {
	if s := j.steps[key]; s != nil {
		return s
	}
	spec := &j.record.Steps[key.Step]
	s := &step{job: j, key: key, spec: spec, tasks: make([]work.Task, spec.Tasks), free: spec.Tasks}
	j.steps[key] = s
	return s
}

// count counts the tasks of a step by state.
func (s *step) count() {
	s.free, s.open, s.done = 0, 0, 0
	for i := range s.tasks {
		switch t := &s.tasks[i]; {
		case t.Done:
			s.done++
		case len(t.Runs) > 0:
			s.open++
		default:
			s.free++
		}
	}
}

// name returns the name of a task.
func (s *step) name(index int) string {
	return s.job.id + "." + strconv.Itoa(s.key.Occurrence) + "." + strconv.Itoa(s.key.Step) + "." + strconv.Itoa(index)
}

// task finds a task by its name.
func (b *Book) task(name string) (*step, int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return nil, 0
	}
	j := b.jobs[parts[0]]
	occurrence, err1 := strconv.Atoi(parts[1])
	number, err2 := strconv.Atoi(parts[2])
	index, err3 := strconv.Atoi(parts[3])
	if j == nil || err1 != nil || err2 != nil || err3 != nil {
		return nil, 0
	}
	s := j.steps[keeper.StepKey{Occurrence: occurrence, Step: number}]
	if s == nil || index < 0 || index >= len(s.tasks) {
		return nil, 0
	}
	return s, index
}

// AddJob takes a job that the log accepted. A repeat changes nothing.
func (b *Book) AddJob(record *work.Job, now time.Time) {
	if b.jobs[record.ID] != nil {
		return
	}
	j := b.newJob(record.ID, record)
	b.begin(j, now)
}

// CancelJob takes a cancellation that is in the log.
func (b *Book) CancelJob(id string, now time.Time) {
	j := b.jobs[id]
	if j == nil || j.canceled || j.outcome != nil {
		return
	}
	j.canceled = true
	b.log("cancel", "job", id)
	b.finish(j, keeper.Canceled, now)
}

// finish ends a job. Its runs are stopped, and its description is dropped
// when the last of them has ended.
func (b *Book) finish(j *job, state string, now time.Time) {
	j.outcome = &work.Outcome{State: state, Ended: now, Queue: j.record.Queue.Name}
	b.records = append(b.records, keeper.OutcomeRecord(j.id, j.outcome))
	b.log("finish", "job", j.id, "state", state, "after", now.Sub(j.record.Accepted))
	for _, s := range j.steps {
		for i := range s.tasks {
			b.haltAll(s, i, state, now)
		}
	}
	b.drop(j)
}

// drop removes the description of an ended job once nothing of it runs.
func (b *Book) drop(j *job) {
	if j.outcome == nil || j.dropped {
		return
	}
	var keys []keeper.StepKey
	for key, s := range j.steps {
		if s.open > 0 || s.running() {
			return
		}
		if s.written || b.dirty[s] {
			keys = append(keys, key)
		}
		delete(b.dirty, s)
	}
	j.dropped = true
	b.records = append(b.records, keeper.DropJob(j.id, keys)...)
	j.steps = map[keeper.StepKey]*step{}
}

const (
	// remember is how long the log keeps the outcome of a job: five times as
	// long as clients may ask for it, and far longer than a repeat may come.
	remember = 10 * time.Minute
	// forgetEvery is the interval at which outcomes are looked through.
	forgetEvery = 5 * time.Second
)

// forget removes outcomes that nobody asks for any more, and with each the
// description that a late repeat may have brought back.
func (b *Book) forget(now time.Time) {
	if now.Sub(b.forgot) < forgetEvery {
		return
	}
	b.forgot = now
	for id, j := range b.jobs {
		if j.dropped && now.Sub(j.outcome.Ended) > remember {
			b.records = append(b.records, keeper.DropJob(id, nil)...)
			b.records = append(b.records, keeper.DropOutcome(id))
			delete(b.jobs, id)
		}
	}
}

// running says whether a task of the step has a run that is not known to be over.
func (s *step) running() bool {
	for i := range s.tasks {
		if len(s.tasks[i].Runs) > 0 {
			return true
		}
	}
	return false
}

// begin creates the occurrences that are due.
func (b *Book) begin(j *job, now time.Time) {
	if j.outcome != nil || j.dropped {
		return
	}
	occurrences := max(j.record.Times, 1)
	for j.began < occurrences {
		due := j.record.Due.Add(time.Duration(j.began) * j.record.Interval)
		if !j.record.Due.IsZero() && now.Before(due) {
			return
		}
		for i := range j.record.Steps {
			s := j.newStep(keeper.StepKey{Occurrence: j.began, Step: i})
			s.started = now
		}
		j.began++
	}
}

// ready says whether the steps that a step depends on are done.
func (s *step) ready() bool {
	for _, before := range s.spec.After {
		earlier := s.job.steps[keeper.StepKey{Occurrence: s.key.Occurrence, Step: before}]
		if earlier == nil || earlier.done < len(earlier.tasks) {
			return false
		}
	}
	return true
}

// complete says whether all occurrences of a job are done.
func (j *job) complete() bool {
	if j.began < max(j.record.Times, 1) {
		return false
	}
	for _, s := range j.steps {
		if s.done < len(s.tasks) {
			return false
		}
	}
	return true
}

// Flush returns what was decided since the last call.
func (b *Book) Flush() *Batch {
	for s := range b.dirty {
		tasks := make([]work.Task, len(s.tasks))
		copy(tasks, s.tasks)
		s.written = true
		b.records = append(b.records, keeper.ProgressRecord(s.job.id, s.key, &work.Progress{Tasks: tasks}))
	}
	batch := &Batch{Records: b.records, Orders: b.orders, Grants: b.grants, confirm: b.confirm}
	b.records, b.confirm = nil, nil
	b.dirty = map[*step]bool{}
	b.orders = map[string]*work.Orders{}
	b.grants = map[string]*work.Grant{}
	return batch
}

// Summary describes the book for an operator.
func (b *Book) Summary() string {
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
func (b *Book) Resume(state *keeper.State, now time.Time) {
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
			b.finish(j, keeper.Canceled, now)
		default:
			b.begin(j, now)
			b.review(j, now)
		}
	}
}

// review ends a job that its tasks have decided.
func (b *Book) review(j *job, now time.Time) {
	for _, s := range j.steps {
		for i := range s.tasks {
			if t := &s.tasks[i]; !s.spec.Lasts && !t.Done && t.Failed >= j.record.Queue.Attempts {
				b.finish(j, keeper.Failed, now)
				return
			}
		}
	}
	if len(j.steps) > 0 && j.complete() {
		b.finish(j, keeper.Completed, now)
	}
}
