package planner

import (
	"slices"
	"time"

	"knapweedspur/internal/job/queryscheduler"
	"knapweedspur/internal/wire/work"
)

// maxStepsToApprove bounds the steps of a job, ready ones and others, that are considered for a query.
const maxStepsToApprove = 32

// ticket is the answer of the policy service about a step on a VM. An empty
// value means that the step may not run there. The answer applies to one
// incarnation of the VM's worker and is valid until expires.
type ticket struct {
	value             string
	workerIncarnation int64
	expires           time.Time
	// margin is how long it must still be valid when a start is sent.
	margin time.Duration
	// denials counts the answers without a ticket.
	denials int
}

// approval is what a step has asked of the policy service, and been told.
type approval struct {
	// tickets are the answers by VM.
	tickets map[string]ticket
	// unanswered counts, by VM, the queries since the last answer that named it.
	unanswered map[string]int
	// rounds counts the answers that left the step in need of VMs, failures its latest queries
	// without an answer, rejections the latest starts that a worker did not accept for their ticket.
	rounds, failures, rejections int
	// askAgainAt is when the step may be in another query after a failure.
	askAgainAt time.Time
	// query is the open query about the step, 0 if there is none; overdueQuery is an earlier one
	// that is still awaited.
	query, overdueQuery int64
}

// stepsToApprove returns steps with waiting tasks: those that are ready, and those of the
// first occurrences that wait for others, some of each if there are many.
func (j *job) stepsToApprove() []*step {
	steps := slices.Clone(window(j.ready, maxStepsToApprove, &j.approvalTurn))
	blocked := 0
	for _, o := range j.open {
		for _, s := range o.steps {
			if s.waiting == 0 || s.isReady {
				continue
			}
			if blocked++; blocked > maxStepsToApprove {
				return steps
			}
			steps = append(steps, s)
		}
	}
	return steps
}

// countApprovedVMs counts the VMs that have room and may run a further task of the step.
func (s *step) countApprovedVMs(pl *Planner, now time.Time) int {
	count := 0
	for _, v := range pl.sortedVMs {
		if v.usable(now) && v.whyNoRoom(s) == "" && pl.mayHost(v, s, now) && s.mayRunOn(v, now) {
			count++
		}
	}
	return count
}

// answer returns the answer of the policy service about the present worker of a VM.
func (s *step) answer(v *vm) (ticket, bool) {
	t, asked := s.tickets[v.name]
	return t, asked && t.workerIncarnation == v.session.WorkerIncarnation
}

// approved and denied report what the last answer about a VM said.
func (s *step) approved(v *vm) bool { t, asked := s.answer(v); return asked && t.value != "" }
func (s *step) denied(v *vm) bool   { t, asked := s.answer(v); return asked && t.value == "" }

// mayRunOn reports whether the step has a valid ticket for the VM or needs
// none.
func (s *step) mayRunOn(v *vm, now time.Time) bool {
	return s.job.record.Queue.Approval == nil || s.approved(v) && s.answered(v, now)
}

// answered reports whether the answer about a VM need not be asked for again yet.
func (s *step) answered(v *vm, now time.Time) bool {
	t, asked := s.answer(v)
	return asked && now.Add(t.margin).Before(t.expires)
}

// vmsToAsk returns the VMs in the step's pool that could take a task but for the approval, and for which no
// valid answer of the policy service is known.
func (pl *Planner) vmsToAsk(s *step, now time.Time) []*vm {
	var vms []*vm
	for _, v := range pl.sortedVMs {
		if v.workerStatus.Pool == s.job.record.Queue.Pool && !s.answered(v, now) && pl.mayHost(v, s, now) && pl.mayNeedApproval(v, s, now) {
			vms = append(vms, v)
		}
	}
	return vms
}

// mayNeedApproval reports whether a VM is one that could take a task of the step. One that is kept for
// suspects takes those alone, and may have no room for others.
func (pl *Planner) mayNeedApproval(v *vm, s *step, now time.Time) bool {
	switch reason := v.whyUnusable(now); reason {
	case "":
		return v.whyNoRoom(s) == ""
	case Suspect:
		return v.mayTryAnyway(s, now) && v.whyNoRoom(s) == ""
	case Quarantined:
		return s.hasWaitingSuspect()
	default:
		return false
	}
}

// keptForSuspects reports whether the VM takes only tasks that may crash their worker.
func (v *vm) keptForSuspects() bool { return !v.keptSince.IsZero() }

// hasWaitingSuspect reports whether a waiting task of the step may crash its worker.
func (s *step) hasWaitingSuspect() bool {
	return slices.ContainsFunc(s.tasks, func(t work.Task) bool { return !t.Done && len(t.Runs) == 0 && isSuspect(&t) })
}

// dropTicket removes a ticket that a worker did not accept. The step asks again after a pause, which grows while
// workers accept none.
func (s *step) dropTicket(vm string, now time.Time) {
	delete(s.tickets, vm)
	s.rejections++
	s.askAgainAt = now.Add(queryscheduler.RetryPause(s.rejections))
}
