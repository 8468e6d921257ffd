package taskreducer

import "knapweedspur/internal/wire/message"

// Event tells what a record changed. The set of events is closed.
type Event interface{ event() }

// Submitted tells of a new run.
type RunSubmitted struct{ Run string }

// CanceledRun tells of a canceled run. Open are its attempts to stop.
type RunCanceled struct {
	Run  string
	Open []message.Place
}

// Placed tells of an opened attempt.
type AttemptPlaced struct {
	Place  message.Place
	Writer string
	Team   string
	Size   message.Size
}

// Closed tells of a closed attempt and the phase that its task has now.
type AttemptClosed struct {
	Close message.Close
	VM    string
	Phase Phase
	Job   string
	Team  string
	Size  message.Size
}

// Carried tells of an open attempt that goes on under a VM's new lease.
type AttemptCarriedOver struct {
	Key TaskKey
	VM  string
}

// Joined tells of a VM's new lease.
type VMJoined struct {
	VM    string
	Lease int
}

// Fenced tells of a fence.
type VMFenced struct {
	VM     string
	Lease  int
	Offset uint64
}

// Drained tells that a VM takes new work or takes none.
type VMDrainChanged struct {
	VM string
	On bool
}

// Alive tells that an entry is at work.
type EntryAlive struct{ Entry string }

// Ended tells that a run has no task left.
type RunEnded struct{ Run string }

// Forgotten tells of a VM that was dropped from the state.
type VMForgotten struct{ VM string }

// Rejected tells of a record that does not count.
type RecordRejected struct {
	Record message.Record
	Reason string
}

func (RunSubmitted) event()   {}
func (RunCanceled) event() {}
func (AttemptPlaced) event()      {}
func (AttemptClosed) event()      {}
func (AttemptCarriedOver) event()     {}
func (VMJoined) event()      {}
func (VMFenced) event()      {}
func (VMDrainChanged) event()     {}
func (EntryAlive) event()       {}
func (RunEnded) event()       {}
func (VMForgotten) event()   {}
func (RecordRejected) event()    {}
