// Package taskadmitter decides which tasks a VM accepts. Its decision is final,
// and the accepted tasks together never exceed the capacity of the VM.
package taskadmitter

import (
	"knapweedspur/internal/placement/sizer"
	"knapweedspur/internal/wire/message"
)

// maxEnded is how many ended or refused attempts are remembered individually.
const maxEnded = 16384

// Decision is the outcome of a start message. Only the types in this package
// implement it.
type Decision interface{ decision() }

// Accept means that the attempt must be started.
type Accept struct{}

// AlreadyRunning means that the attempt was accepted before and has not ended.
type AlreadyRunning struct{}

// Refuse means that the attempt was not started and never will be.
type Refuse struct{ Reason string }

// AlreadyEnded means that the attempt has ended or was refused before; Close
// says how.
type AlreadyEnded struct{ Close message.Close }

// Ignore means that the message is for a lease that the VM does not hold yet.
type Ignore struct{ Reason string }

func (Accept) decision()         {}
func (AlreadyRunning) decision() {}
func (Refuse) decision()         {}
func (AlreadyEnded) decision()   {}
func (Ignore) decision()         {}

type endedAttempt struct {
	close  message.Close
	offset uint64
}

// Admitter tracks the running and ended attempts of one VM. An attempt counts
// as running from when it is accepted until it ends, also while the worker has
// it paused. Admitter is not safe for concurrent use.
type Admitter struct {
	// Capacity is the total capacity of the VM.
	Capacity message.Size
	// Lease is the number of the lease that the VM holds, 0 for none.
	Lease int

	running   map[message.Attempt]message.Size
	ended     map[message.Attempt]endedAttempt
	endOrder  []message.Attempt
	minOffset uint64
}

// New returns an admitter with no attempts.
func New(capacity message.Size) *Admitter {
	return &Admitter{Capacity: capacity, running: map[message.Attempt]message.Size{}, ended: map[message.Attempt]endedAttempt{}}
}

// SetLease starts a new lease. Ended attempts are still remembered, since the
// new lease may carry over an ended attempt whose close is not in the log yet.
func (a *Admitter) SetLease(lease int) { a.Lease = lease }

// Free returns the unused capacity of the VM.
func (a *Admitter) Free() message.Size {
	free := a.Capacity
	for _, size := range a.running {
		free = sizer.Sub(free, size)
	}
	return free
}

// RunningCount returns the number of running attempts.
func (a *Admitter) RunningCount() int { return len(a.running) }

// IsRunning reports whether the attempt is running.
func (a *Admitter) IsRunning(name message.Attempt) bool {
	_, ok := a.running[name]
	return ok
}

// RunningAttempts returns the running attempts.
func (a *Admitter) RunningAttempts() []message.Attempt {
	list := make([]message.Attempt, 0, len(a.running))
	for name := range a.running {
		list = append(list, name)
	}
	return list
}

// Decide returns the outcome of a start message and records it if it is Accept
// or Refuse.
func (a *Admitter) Decide(s *message.Start) Decision {
	name := message.Attempt{Run: s.Run, Task: s.Task, Attempt: s.Attempt}
	if a.Lease == 0 || s.Lease > a.Lease {
		return Ignore{Reason: "the VM does not hold this lease yet"}
	}
	if a.IsRunning(name) {
		return AlreadyRunning{}
	}
	if previous, ok := a.ended[name]; ok {
		return AlreadyEnded{Close: previous.close}
	}
	if s.Lease < a.Lease {
		return a.refuse(name, s, "the start was meant for an older lease")
	}
	if s.Offset < a.minOffset {
		return a.refuse(name, s, "the start is older than what the VM remembers")
	}
	if !sizer.Fits(s.Size, a.Free()) {
		return a.refuse(name, s, "the VM has no room")
	}
	a.running[name] = s.Size
	return Accept{}
}

func (a *Admitter) refuse(name message.Attempt, s *message.Start, reason string) Decision {
	a.recordEnd(name, s.Offset, message.Close{Run: s.Run, Task: s.Task, Attempt: s.Attempt, Outcome: "refused"})
	return Refuse{Reason: reason}
}

// RefuseUnstarted refuses in advance an attempt that was placed before the
// offset and whose start message may still arrive. It returns false if the
// attempt is running or has ended.
func (a *Admitter) RefuseUnstarted(name message.Attempt, offset uint64) bool {
	if _, ended := a.ended[name]; ended || a.IsRunning(name) {
		return false
	}
	a.recordEnd(name, offset, message.Close{Run: name.Run, Task: name.Task, Attempt: name.Attempt, Outcome: "refused"})
	return true
}

// recordEnd remembers how an attempt ended. Beyond the limit the oldest one is
// dropped, and from then on starts at its offset or lower are refused, since
// such an attempt may have ended already.
func (a *Admitter) recordEnd(name message.Attempt, offset uint64, c message.Close) {
	a.ended[name] = endedAttempt{close: c, offset: offset}
	a.endOrder = append(a.endOrder, name)
	if len(a.endOrder) <= maxEnded {
		return
	}
	oldest := a.endOrder[0]
	a.endOrder = a.endOrder[1:]
	a.minOffset = max(a.minOffset, a.ended[oldest].offset+1)
	delete(a.ended, oldest)
}

// AddRunning records an attempt that the worker is already running.
func (a *Admitter) AddRunning(name message.Attempt, size message.Size) { a.running[name] = size }

// MarkEnded records that an attempt has ended and frees its capacity.
func (a *Admitter) MarkEnded(name message.Attempt, offset uint64, c message.Close) {
	delete(a.running, name)
	if _, known := a.ended[name]; !known {
		a.recordEnd(name, offset, c)
	}
}
