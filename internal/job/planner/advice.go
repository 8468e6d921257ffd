package planner

import (
	"slices"
	"time"
)

const (
	// maxVMsPerQuery bounds the VMs in one query, because the policy service
	// needs time for each.
	maxVMsPerQuery = 30
	// maxStepsToApprove bounds the steps of a job, ready ones and others, that are
	// considered for a query, maxExaminedSteps those of all jobs, which take turns.
	maxStepsToApprove = 32
	maxExaminedSteps  = 500
	// ticketMargin is how long a ticket must still be valid when a start is sent,
	// so that the start arrives in time.
	ticketMargin = 300 * time.Millisecond
	// deniedRetryInterval is how long after a denial the policy service is
	// asked about the VM again.
	deniedRetryInterval = 2 * time.Second
)

// ticket is the answer of the policy service about a step on a VM. An empty
// value means that the step may not run there. The answer applies to one
// incarnation of the VM's worker and is valid until expires.
type ticket struct {
	value             string
	workerIncarnation int64
	expires           time.Time
}

// PolicyQuery asks the policy service which VMs may run a step.
type PolicyQuery struct {
	Step, Queue string
	VMs         []string
	// Expected is how long the queue declares that the query takes.
	Expected time.Duration
}

// policyName returns the name of a step for the policy service.
func (s *step) policyName() string {
	name := s.taskName(0)
	return name[:len(name)-len(".0")]
}

// NextPolicyQuery returns the next query to the policy service, about the most
// urgent step that lacks tickets. Steps are included before their dependencies
// are done, so that tickets are ready in time.
func (pl *Planner) NextPolicyQuery(now time.Time) (PolicyQuery, bool) {
	var best *candidate
	examined := 0
	for _, j := range pl.jobs {
		if j.outcome != nil || j.record == nil || j.record.Queue.Approval == nil {
			continue
		}
		for _, s := range j.stepsToApprove() {
			if examined++; examined > maxExaminedSteps {
				break
			}
			if len(pl.vmsToAsk(s, now)) == 0 || s.countApprovedVMs(pl, now) >= s.waiting {
				continue
			}
			if c := pl.rank(s, now); best == nil || c.before(best) {
				best = &c
			}
		}
	}
	if best == nil {
		return PolicyQuery{}, false
	}
	vms := pl.vmsToAsk(best.step, now)
	vms = vms[:min(len(vms), maxVMsPerQuery)]
	queue := &best.step.job.record.Queue
	expected := queue.Approval.BaseLatency + time.Duration(len(vms))*queue.Approval.LatencyPerVM
	return PolicyQuery{Step: best.step.policyName(), Queue: queue.Name, VMs: vms, Expected: expected}, true
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

// mayRunOn reports whether the step has a valid ticket for the VM or needs
// none.
func (s *step) mayRunOn(v *vm, now time.Time) bool {
	if s.job.record.Queue.Approval == nil {
		return true
	}
	t, ok := s.tickets[v.name]
	return ok && t.value != "" && t.workerIncarnation == v.session.WorkerIncarnation && now.Add(ticketMargin).Before(t.expires)
}

// vmsToAsk returns the VMs in the step's pool that have room and for which no
// valid answer of the policy service is known.
func (pl *Planner) vmsToAsk(s *step, now time.Time) []string {
	var names []string
	for _, v := range pl.sortedVMs {
		name := v.name
		t, asked := s.tickets[name]
		known := asked && t.workerIncarnation == v.session.WorkerIncarnation && now.Before(t.expires)
		if !known && v.workerStatus.Pool == s.job.record.Queue.Pool && v.usable(now) && v.whyNoRoom(s) == "" {
			names = append(names, name)
		}
	}
	return names
}

// HandlePolicyAnswer stores the answer of the policy service. VMs that were in
// the query and got no ticket may not run the step.
func (pl *Planner) HandlePolicyAnswer(q PolicyQuery, tickets map[string]string, valid time.Duration, now time.Time) {
	s, _ := pl.findTask(q.Step + ".0")
	if s == nil {
		return
	}
	if s.tickets == nil {
		s.tickets = map[string]ticket{}
	}
	for _, name := range q.VMs {
		t := ticket{value: tickets[name], workerIncarnation: pl.ensureVM(name).session.WorkerIncarnation, expires: now.Add(valid)}
		if t.value == "" {
			t.expires = now.Add(deniedRetryInterval)
		}
		s.tickets[name] = t
	}
}

// dropTicket removes a ticket that a worker did not accept.
func (s *step) dropTicket(vm string) { delete(s.tickets, vm) }
