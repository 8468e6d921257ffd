// Package taskadmitter decides which tasks a VM takes. It has the last word: the
// tasks that it holds never need more than the VM has.
package taskadmitter

import (
	"knapweedspur/internal/placement/sizer"
	"knapweedspur/internal/wire/message"
)

// maxPast is how many ended or refused attempts are remembered one by one.
const maxPast = 16384

// Decision is what becomes of a start message. The set is closed.
type Decision interface{ decision() }

// Take means that the attempt is to be started.
type Accept struct{}

// Held means that the attempt runs already.
type AlreadyRunning struct{}

// Refuse means that the attempt did not run and never will.
type Refuse struct{ Reason string }

// Past means that the attempt has ended; Close is its end.
type AlreadyEnded struct{ Close message.Close }

// Ignore means that the message is not for the lease that the VM holds now.
type Ignore struct{ Reason string }

func (Accept) decision()   {}
func (AlreadyRunning) decision()   {}
func (Refuse) decision() {}
func (AlreadyEnded) decision()   {}
func (Ignore) decision() {}

type past struct {
	close  message.Close
	offset uint64
}

// Ledger is the ledger of one VM. It is not safe for concurrent use.
type Admitter struct {
	// Size is what the VM has.
	Capacity message.Size
	// Lease is the lease number that the VM holds, 0 for none.
	Lease int

	held  map[message.Attempt]message.Size
	past  map[message.Attempt]past
	order []message.Attempt
	floor uint64
}

// New returns an empty ledger.
func New(size message.Size) *Admitter {
	return &Admitter{Capacity: size, held: map[message.Attempt]message.Size{}, past: map[message.Attempt]past{}}
}

// Renew begins a new lease. What has ended is still remembered, since the new
// lease may carry an ended attempt whose close the log does not have yet.
func (l *Admitter) SetLease(lease int) { l.Lease = lease }

// Free returns what is left of the VM.
func (l *Admitter) Free() message.Size {
	free := l.Capacity
	for _, size := range l.held {
		free = sizer.Sub(free, size)
	}
	return free
}

// Count returns how many attempts are held.
func (l *Admitter) RunningCount() int { return len(l.held) }

// Holds reports whether the attempt is held.
func (l *Admitter) IsRunning(a message.Attempt) bool {
	_, ok := l.held[a]
	return ok
}

// Attempts returns the attempts held.
func (l *Admitter) RunningAttempts() []message.Attempt {
	list := make([]message.Attempt, 0, len(l.held))
	for a := range l.held {
		list = append(list, a)
	}
	return list
}

// Decide returns what becomes of a start message, and notes a Take or Refuse.
func (l *Admitter) Decide(s *message.Start) Decision {
	name := message.Attempt{Run: s.Run, Task: s.Task, Attempt: s.Attempt}
	if l.Lease == 0 || s.Lease > l.Lease {
		return Ignore{Reason: "the VM does not hold this lease yet"}
	}
	if l.IsRunning(name) {
		return AlreadyRunning{}
	}
	if p, ok := l.past[name]; ok {
		return AlreadyEnded{Close: p.close}
	}
	if s.Lease < l.Lease {
		return l.refuse(name, s, "the start was meant for an older lease")
	}
	if s.Offset < l.floor {
		return l.refuse(name, s, "the start is older than what the VM remembers")
	}
	if !sizer.Fits(s.Size, l.Free()) {
		return l.refuse(name, s, "the VM has no room")
	}
	l.held[name] = s.Size
	return Accept{}
}

func (l *Admitter) refuse(name message.Attempt, s *message.Start, reason string) Decision {
	l.note(name, s.Offset, message.Close{Run: s.Run, Task: s.Task, Attempt: s.Attempt, How: "refused"})
	return Refuse{Reason: reason}
}

// Forbid refuses an attempt that may still be asked for, placed before the
// offset. It returns false if the attempt is held or has ended.
func (l *Admitter) RefuseUnstarted(name message.Attempt, offset uint64) bool {
	if _, ended := l.past[name]; ended || l.IsRunning(name) {
		return false
	}
	l.note(name, offset, message.Close{Run: name.Run, Task: name.Task, Attempt: name.Attempt, How: "refused"})
	return true
}

// note remembers how an attempt ended. Past the limit the oldest is dropped,
// and starts as old as that one are refused from then on.
func (l *Admitter) note(name message.Attempt, offset uint64, c message.Close) {
	l.past[name] = past{close: c, offset: offset}
	l.order = append(l.order, name)
	if len(l.order) <= maxPast {
		return
	}
	oldest := l.order[0]
	l.order = l.order[1:]
	l.floor = max(l.floor, l.past[oldest].offset+1)
	delete(l.past, oldest)
}

// Hold notes an attempt that the worker runs already.
func (l *Admitter) AddRunning(name message.Attempt, size message.Size) { l.held[name] = size }

// End notes that an attempt has ended and frees its room.
func (l *Admitter) MarkEnded(name message.Attempt, offset uint64, c message.Close) {
	delete(l.held, name)
	if _, known := l.past[name]; !known {
		l.note(name, offset, c)
	}
}
