// Package leaseholder keeps the lease of a VM as its agent knows it. All times are
// durations on the worker's clock, which runs on while the VM is suspended.
package leaseholder

import (
	"time"

	"knapweedspur/internal/wire/message"
)

// margin is the share of the hold time kept back for the drift of clocks.
const margin = 20

// Standing is how a VM stands in an entry's view. The set is closed.
type LeaseState interface{ standing() }

// Live means that tasks may run until the worker's clock shows Until.
type Live struct{ ExpiresAt time.Duration }

// Fenced means that the lease will lapse; all tasks must stop, then join anew.
type Fenced struct{ Lease int }

// Absent means that this agent process has no lease and must join with the
// next number.
type NotJoined struct{ NextLease int }

// Superseded means that a later agent process holds the VM's lease.
type Superseded struct{}

// Stale means that the view is older than what is known already.
type Stale struct{}

func (Live) standing()       {}
func (Fenced) standing()     {}
func (NotJoined) standing()     {}
func (Superseded) standing() {}
func (Stale) standing()      {}

// Leaser holds the lease of one agent process. It is not safe for concurrent
// use.
type Holder struct {
	// Agent is this process's incarnation.
	Agent string
	// Lease is the lease number held, 0 for none.
	Lease int

	until  time.Duration
	fenced bool
	seen   int
}

// Until returns when the lease runs out.
func (l *Holder) ExpiresAt() time.Duration { return l.until }

// Ready reports whether new tasks may start at a time of the worker's clock.
func (l *Holder) Ready(stamp time.Duration) bool {
	return l.Lease > 0 && !l.fenced && stamp < l.until
}

// View takes an entry's answer to a probe that was sent at a time of the
// worker's clock. The lease counts from the age of the view, not from the
// arrival of the answer.
func (l *Holder) HandleView(sent time.Duration, v *message.View) LeaseState {
	if v.Lease < l.seen {
		return Stale{}
	}
	l.seen = v.Lease
	if v.Agent == l.Agent && v.Agent != "" {
		return l.mine(sent, v)
	}
	if l.Lease > 0 && v.Lease >= l.Lease {
		l.fenced = true
		return Superseded{}
	}
	if l.Lease > 0 {
		return Stale{}
	}
	return NotJoined{NextLease: v.Lease + 1}
}

func (l *Holder) mine(sent time.Duration, v *message.View) LeaseState {
	if v.Lease > l.Lease {
		l.Lease = v.Lease
		l.fenced = false
		l.until = 0
	}
	if v.Fenced {
		l.fenced = true
	}
	if l.fenced {
		return Fenced{Lease: l.Lease}
	}
	l.until = max(l.until, sent-v.Age+v.Hold-v.Hold/margin)
	return Live{ExpiresAt: l.until}
}

// NextAfterFence returns the number to join with once all tasks have stopped.
func (l *Holder) NextAfterFence() int { return l.Lease + 1 }
