package taskreducer

import "knapweedspur/internal/wire/message"

// Change reports what a record changed in the state. It is one of the types in
// this file that implement it.
type Change interface{ change() }

// RunSubmitted reports a new run.
type RunSubmitted struct{ Run string }

// RunCanceled reports a canceled run. Open holds its open attempts, which are
// to be stopped.
type RunCanceled struct {
	Run  string
	Open []message.Place
}

// AttemptPlaced reports a new open attempt.
type AttemptPlaced struct {
	Place  message.Place
	Writer string
	Team   string
	Size   message.Size
}

// AttemptClosed reports a closed attempt and the resulting phase of its task.
type AttemptClosed struct {
	Close message.Close
	VM    string
	Phase Phase
	Job   string
	Team  string
	Size  message.Size
}

// AttemptCarriedOver reports an open attempt that continues under a VM's new
// lease.
type AttemptCarriedOver struct {
	Key TaskKey
	VM  string
}

// VMJoined reports a VM's new lease.
type VMJoined struct {
	VM    string
	Lease int
}

// VMFenced reports that a VM's lease was fenced. Fence is the VM's Fence value.
type VMFenced struct {
	VM    string
	Lease int
	Fence uint64
}

// VMDrainChanged reports whether a VM is drained, so that it takes no new work.
type VMDrainChanged struct {
	VM string
	On bool
}

// EntryAlive reports an entry's alive record.
type EntryAlive struct{ Entry string }

// RunFinished reports that all tasks of a run have ended.
type RunFinished struct{ Run string }

// VMForgotten reports that a VM was removed from the state.
type VMForgotten struct{ VM string }

// RecordRejected reports a record that was not accepted, and why.
type RecordRejected struct {
	Record message.Record
	Reason string
}

func (RunSubmitted) change()       {}
func (RunCanceled) change()        {}
func (AttemptPlaced) change()      {}
func (AttemptClosed) change()      {}
func (AttemptCarriedOver) change() {}
func (VMJoined) change()           {}
func (VMFenced) change()           {}
func (VMDrainChanged) change()     {}
func (EntryAlive) change()         {}
func (RunFinished) change()        {}
func (VMForgotten) change()        {}
func (RecordRejected) change()     {}
