// Package taskreducer applies the records of a task stream to the state of runs,
// tasks and VMs. This fold is deterministic: the same records in the same order
// give the same state in every process.
package taskreducer

import (
	"net/netip"
	"time"

	"knapweedspur/internal/wire/message"
)

// Limits of the state.
const (
	// MaxFailures is the number of failed attempts after which a task fails.
	MaxFailures = 5
	// MaxTasks is the largest number of tasks in one run.
	MaxTasks = 100_000
	// maxFinished is how many of the latest finished runs are kept. Older ones
	// are removed in one go when there are more than twice as many.
	maxFinished = 1000
	// maxWriters is how many writers are kept in order to detect repeated
	// batches.
	maxWriters = 4096
	// maxAudit is how many of the latest audit lines are kept. Older ones are
	// removed in one go when there are more than twice as many.
	maxAudit = 512
)

// Phase is the status of a task.
type Phase uint8

// The phases of a task.
const (
	// Pending means that the task waits for its next attempt.
	Pending Phase = iota
	// Open means that an attempt is open.
	Open
	// Done means that an attempt succeeded.
	Done
	// Failed means that the task has failed MaxFailures times.
	Failed
	// Canceled means that the run was canceled.
	Canceled
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"pending", "open", "done", "failed", "canceled"}[p]
}

// Task is one task of a run. Attempt is the number of its latest attempt, 0 if it
// had none; VM and Lease are set while that attempt is open. Checkpoint is the
// one that the next attempt resumes from.
type Task struct {
	Phase      Phase  `cbor:"1,keyasint,omitempty"`
	Failures   uint8  `cbor:"2,keyasint,omitempty"`
	Attempt    int32  `cbor:"3,keyasint,omitempty"`
	Lease      int32  `cbor:"4,keyasint,omitempty"`
	VM         string `cbor:"5,keyasint,omitempty"`
	Checkpoint string `cbor:"6,keyasint,omitempty"`
}

// Run is one run of a job. Remaining counts its tasks that are pending or open.
type Run struct {
	Job              string        `cbor:"1,keyasint"`
	Team             string        `cbor:"2,keyasint"`
	Who              string        `cbor:"3,keyasint"`
	Size             message.Size  `cbor:"4,keyasint"`
	ExpectedDuration time.Duration `cbor:"5,keyasint"`
	Urgent           bool          `cbor:"6,keyasint"`
	Evictable        bool          `cbor:"7,keyasint"`
	Canceled         bool          `cbor:"8,keyasint"`
	Remaining        int           `cbor:"9,keyasint"`
	Tasks            []Task        `cbor:"10,keyasint"`
	Submitted        time.Time     `cbor:"11,keyasint"`
}

// VM is a worker VM that has joined. Fence is the offset after that of the record
// that fenced its current lease, 0 if it is not fenced.
type VM struct {
	Boot    string       `cbor:"1,keyasint"`
	Agent   string       `cbor:"2,keyasint"`
	Lease   int          `cbor:"3,keyasint"`
	Size    message.Size `cbor:"4,keyasint"`
	Rack    string       `cbor:"5,keyasint"`
	Domain  string       `cbor:"6,keyasint"`
	Fence   uint64       `cbor:"7,keyasint"`
	Drained bool         `cbor:"8,keyasint"`
	// open indexes the tasks with an open attempt on the VM.
	open map[TaskKey]struct{}
}

// Entry is an entry process that has appended an alive record, and the offset of
// the latest one.
type Entry struct {
	Address netip.AddrPort `cbor:"1,keyasint"`
	Offset  uint64         `cbor:"2,keyasint"`
}

// TaskKey identifies a task.
type TaskKey struct {
	Run  string
	Task int
}

// Writer is the number and offset of the last batch of a writer.
type Writer struct {
	Number uint64 `cbor:"1,keyasint"`
	Offset uint64 `cbor:"2,keyasint"`
}

// State is the result of applying a task stream. It is not safe for concurrent
// use.
type State struct {
	// Next is the offset of the next batch to apply.
	Next uint64 `cbor:"1,keyasint"`
	// Writers holds the last batch of each writer, by the writer's incarnation.
	Writers map[string]Writer `cbor:"2,keyasint"`
	// Runs holds the runs by name.
	Runs map[string]*Run `cbor:"3,keyasint"`
	// VMs holds the VMs by name.
	VMs map[string]*VM `cbor:"4,keyasint"`
	// Entries holds the entries by incarnation.
	Entries map[string]Entry `cbor:"5,keyasint"`
	// FinishedRuns holds the names of the finished runs, oldest first.
	FinishedRuns []string `cbor:"6,keyasint"`
	// LeaseFloor is the highest lease number of any removed VM.
	LeaseFloor int `cbor:"8,keyasint"`
	// Audit holds the latest audit lines, oldest first.
	Audit []message.Audit `cbor:"7,keyasint"`
}

// New returns the state before the first record.
func New() *State {
	return &State{
		Writers: map[string]Writer{},
		Runs:    map[string]*Run{},
		VMs:     map[string]*VM{},
		Entries: map[string]Entry{},
	}
}

// Offset returns the offset of the next batch to apply.
func (s *State) Offset() uint64 { return s.Next }

// Task returns the run and the task with the given key, or nil for both.
func (s *State) Task(k TaskKey) (*Run, *Task) {
	run := s.Runs[k.Run]
	if run == nil || k.Task < 0 || k.Task >= len(run.Tasks) {
		return nil, nil
	}
	return run, &run.Tasks[k.Task]
}

// ForEachOpen calls f for each task with an open attempt on the VM.
func (s *State) ForEachOpen(vm string, f func(TaskKey, *Run, *Task)) {
	v := s.VMs[vm]
	if v == nil {
		return
	}
	for k := range v.open {
		run, task := s.Task(k)
		f(k, run, task)
	}
}

// OpenCount returns how many attempts are open on the VM.
func (s *State) OpenCount(vm string) int {
	v := s.VMs[vm]
	if v == nil {
		return 0
	}
	return len(v.open)
}
