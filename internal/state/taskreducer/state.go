// Package taskreducer folds the records of a task stream into the state of
// runs, tasks and VMs. The fold is pure: the same records in the same order
// give the same state in every process.
package taskreducer

import (
	"net/netip"
	"time"

	"knapweedspur/internal/wire/message"
)

// Limits of the state.
const (
	// MaxFailures is how often a task may fail before it is given up.
	MaxFailures = 5
	// MaxTasks is the largest number of tasks in one run.
	MaxTasks = 100_000
	// maxFinished is how many finished runs are remembered at the least, and
	// half of how many at the most; so are audit lines.
	maxFinished = 1000
	// maxWriters is how many writers are remembered against repeated batches.
	maxWriters = 4096
	maxAudit   = 512
)

// Phase is where a task stands.
type Phase uint8

// The phases of a task.
const (
	// Pending means that no attempt is open and one more is wanted.
	Pending Phase = iota
	// Open means that an attempt is open.
	Open
	// Done means that an attempt ended well.
	Done
	// Failed means that the task was given up.
	Failed
	// Canceled means that the run was canceled.
	Canceled
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"pending", "open", "done", "failed", "canceled"}[p]
}

// Task is one task of a run.
type Task struct {
	Phase      Phase  `cbor:"1,keyasint,omitempty"`
	Failures   uint8  `cbor:"2,keyasint,omitempty"`
	Attempt    int32  `cbor:"3,keyasint,omitempty"`
	Lease      int32  `cbor:"4,keyasint,omitempty"`
	VM         string `cbor:"5,keyasint,omitempty"`
	Checkpoint string `cbor:"6,keyasint,omitempty"`
}

// Run is one run of a job.
type Run struct {
	Job       string        `cbor:"1,keyasint"`
	Team      string        `cbor:"2,keyasint"`
	Who       string        `cbor:"3,keyasint"`
	Size      message.Size  `cbor:"4,keyasint"`
	Expect    time.Duration `cbor:"5,keyasint"`
	Urgent    bool          `cbor:"6,keyasint"`
	Evict     bool          `cbor:"7,keyasint"`
	Canceled  bool          `cbor:"8,keyasint"`
	Remaining      int           `cbor:"9,keyasint"`
	Tasks     []Task        `cbor:"10,keyasint"`
	Submitted time.Time     `cbor:"11,keyasint"`
}

// VM is a worker VM that has joined.
type VM struct {
	Boot    string       `cbor:"1,keyasint"`
	Agent   string       `cbor:"2,keyasint"`
	Lease   int          `cbor:"3,keyasint"`
	Size    message.Size `cbor:"4,keyasint"`
	Rack    string       `cbor:"5,keyasint"`
	Domain  string       `cbor:"6,keyasint"`
	Fence   uint64       `cbor:"7,keyasint"`
	Drained bool         `cbor:"8,keyasint"`
	open    map[TaskKey]struct{}
}

// Entry is an entry that has announced itself.
type Entry struct {
	Address netip.AddrPort `cbor:"1,keyasint"`
	Offset  uint64         `cbor:"2,keyasint"`
}

// Key names a task.
type TaskKey struct {
	Run  string
	Task int
}

// Writer is what is remembered of a writer.
type Writer struct {
	Number uint64 `cbor:"1,keyasint"`
	Offset uint64 `cbor:"2,keyasint"`
}

// State is the fold of a task stream. It is not safe for concurrent use.
type State struct {
	// Next is the offset of the next batch to fold.
	Next uint64 `cbor:"1,keyasint"`
	// Writers are the last numbers seen of each writer.
	Writers map[string]Writer `cbor:"2,keyasint"`
	// Runs are the runs by name.
	Runs map[string]*Run `cbor:"3,keyasint"`
	// VMs are the VMs by name.
	VMs map[string]*VM `cbor:"4,keyasint"`
	// Entries are the entries by incarnation.
	Entries map[string]Entry `cbor:"5,keyasint"`
	// Finished are the names of finished runs, oldest first.
	FinishedRuns []string `cbor:"6,keyasint"`
	// Floor is the highest lease number of a forgotten VM.
	LeaseFloor int `cbor:"8,keyasint"`
	// Audit are the latest audit lines, oldest first.
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

// Offset returns the offset that the fold reads next.
func (s *State) Offset() uint64 { return s.Next }

// Task returns the run and the task that k names, or nil.
func (s *State) Task(k TaskKey) (*Run, *Task) {
	run := s.Runs[k.Run]
	if run == nil || k.Task < 0 || k.Task >= len(run.Tasks) {
		return nil, nil
	}
	return run, &run.Tasks[k.Task]
}

// OpenOn calls f for each task with an open attempt on the VM.
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
