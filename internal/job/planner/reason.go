package planner

import (
	"slices"
	"time"

	"knapweedspur/internal/wire/work"
)

// Reason is why a VM gets no task of a step now; empty if it may get one.
type Reason string

// The reasons, in the order in which they are looked at.
const (
	OtherPool          Reason = "in another pool"
	NoSession          Reason = "without a confirmed session"
	WorkerGone         Reason = "left by its worker"
	Draining           Reason = "draining"
	UnknownRuns        Reason = "busy with unknown runs"
	Silent             Reason = "silent"
	Suspect            Reason = "suspect after failures"
	Quarantined        Reason = "kept for tasks that may crash their worker"
	NoMemory           Reason = "without memory for it"
	NoAccelerators     Reason = "without accelerators for it"
	NoProcessors       Reason = "without processors for it"
	Evacuated          Reason = "in an evacuated domain"
	RequestsUnknown    Reason = "in a domain whose evacuation is not known"
	HeldBack           Reason = "held back from it"
	WithoutLabel       Reason = "without its label"
	SpreadLimitReached Reason = "at the spread limit"
	AwaitsApproval     Reason = "without an answer of the policy service"
	NotApproved        Reason = "not approved by the policy service"
	KeptForShortJobs   Reason = "kept for short jobs"
	TooSlowForFillers  Reason = "too busy for fillers"
)

// leavesRoomToOthers reports whether a VM that has room for a task, but may not take it for this reason, may take
// others.
func (r Reason) leavesRoomToOthers() bool {
	switch r {
	case WithoutLabel, SpreadLimitReached, AwaitsApproval, NotApproved:
		return true
	default:
		return false
	}
}

// whyUnusable returns why the VM may get no work, but for suspects.
func (v *vm) whyUnusable(now time.Time) Reason {
	if reason := v.whyOutOfUse(now); reason != "" {
		return reason
	}
	if !v.keptSince.IsZero() {
		return Quarantined
	}
	return ""
}

// whyOutOfUse returns why the VM may get no work at all.
func (v *vm) whyOutOfUse(now time.Time) Reason {
	switch {
	case !v.workerGoneAt.IsZero():
		return WorkerGone
	case !v.connected || v.workerDown || v.workerSilence >= maxWorkerSilence || now.Sub(v.lastContact) >= agentTimeout/2:
		return Silent
	case !v.synced || !v.sessionConfirmed || v.session.Revoked:
		return NoSession
	case v.workerStatus.Draining:
		return Draining
	case v.hasUnknownRuns:
		return UnknownRuns
	case v.suspect(now):
		return Suspect
	}
	return ""
}

// whyTooSmall returns what the VM lacks for a task.
func (v *vm) whyTooSmall(spec *work.Step) Reason {
	capacity := v.workerStatus.Capacity
	switch {
	case v.reserved.Memory+spec.Size.Memory > capacity.Memory:
		return NoMemory
	case v.reserved.Accelerators+spec.Size.Accelerators > capacity.Accelerators:
		return NoAccelerators
	case v.reserved.Millicores > capacity.Millicores,
		spec.Filler && v.useWith(spec) > maxOvercommit,
		!spec.Filler && v.reserved.Millicores+spec.Size.Millicores > capacity.Millicores:
		return NoProcessors
	}
	return ""
}

// whyUnsuitable returns why no task of a step may start on the VM.
func (pl *Planner) whyUnsuitable(v *vm, s *step, now time.Time) Reason {
	if v.workerStatus.Pool != s.job.record.Queue.Pool {
		return OtherPool
	}
	if reason := v.whyUnusable(now); reason != "" && (reason != Suspect || !v.mayTryAnyway(s, now)) {
		return reason
	}
	if reason := v.whyNoRoom(s); reason != "" {
		return reason
	}
	switch {
	case pl.mayStart(v, s, now):
	case pl.evacuated(v):
		return Evacuated
	case !pl.domainOpen(v, now):
		return RequestsUnknown
	default:
		return HeldBack
	}
	switch {
	case s.spec.Label != "" && !slices.Contains(v.workerStatus.Labels, s.spec.Label):
		return WithoutLabel
	case s.spec.MaxPerVM > 0 && v.countRuns(s) >= s.spec.MaxPerVM:
		return SpreadLimitReached
	case s.mayRunOn(v, now):
		return ""
	case s.denied(v):
		return NotApproved
	default:
		return AwaitsApproval
	}
}
