// Package leaseholder tracks the lease of a VM in the VM's agent. All times are
// readings of the worker's clock, which keeps counting while the VM is
// suspended.
package leaseholder

import (
	"time"

	"knapweedspur/internal/wire/message"
)

// driftMarginDivisor sets the safety margin for clock drift: the lease expires
// early by this fraction (1/20) of the hold time.
const driftMarginDivisor = 20

// LeaseState is the state of the agent's lease according to an entry's view.
// Only the types in this package implement it.
type LeaseState interface{ leaseState() }

// Live means that tasks may run until the worker's clock reaches ExpiresAt.
type Live struct{ ExpiresAt time.Duration }

// Fenced means that the lease is going to expire. The agent must stop all tasks
// and then join again.
type Fenced struct{ Lease int }

// NotJoined means that this agent process holds no lease and must join with
// lease number NextLease.
type NotJoined struct{ NextLease int }

// Superseded means that a later agent process holds the VM's lease.
type Superseded struct{}

// Stale means that the view is older than one handled before.
type Stale struct{}

func (Live) leaseState()       {}
func (Fenced) leaseState()     {}
func (NotJoined) leaseState()  {}
func (Superseded) leaseState() {}
func (Stale) leaseState()      {}

// Holder tracks the lease of one agent process. It is not safe for concurrent
// use.
type Holder struct {
	// Agent is the name under which this agent process joins: its incarnation
	// and the number of its claim of the worker.
	Agent string
	// Lease is the number of the lease held, 0 for none.
	Lease int

	expiresAt    time.Duration
	fenced       bool
	highestLease int
}

// ExpiresAt returns when the lease expires.
func (h *Holder) ExpiresAt() time.Duration { return h.expiresAt }

// Ready reports whether new tasks may be started at a time of the worker's
// clock.
func (h *Holder) Ready(now time.Duration) bool {
	return h.Lease > 0 && !h.fenced && now < h.expiresAt
}

// HandleView processes an entry's answer to a probe that was sent at a time of
// the worker's clock. The lease runs from the probe's send time minus the age
// of the entry's view, not from the arrival of the answer, which may have been
// delayed.
func (h *Holder) HandleView(sent time.Duration, v *message.LeaseView) LeaseState {
	if v.Lease < h.highestLease {
		return Stale{}
	}
	h.highestLease = v.Lease
	if v.Agent == h.Agent && v.Agent != "" {
		return h.handleOwnView(sent, v)
	}
	if h.Lease > 0 && v.Lease >= h.Lease {
		h.fenced = true
		return Superseded{}
	}
	if h.Lease > 0 {
		return Stale{}
	}
	return NotJoined{NextLease: v.Lease + 1}
}

func (h *Holder) handleOwnView(sent time.Duration, v *message.LeaseView) LeaseState {
	if v.Lease > h.Lease {
		h.Lease = v.Lease
		h.fenced = false
		h.expiresAt = 0
	}
	if v.Fenced {
		h.fenced = true
	}
	if h.fenced {
		return Fenced{Lease: h.Lease}
	}
	h.expiresAt = max(h.expiresAt, sent-v.Age+v.Hold-v.Hold/driftMarginDivisor)
	return Live{ExpiresAt: h.expiresAt}
}

// NextAfterFence returns the lease number with which to join once all tasks
// have stopped.
func (h *Holder) NextAfterFence() int { return h.Lease + 1 }
