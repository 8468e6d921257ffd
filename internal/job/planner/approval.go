package planner

import (
	"cmp"
	"slices"
	"time"

	"knapweedspur/internal/job/queryscheduler"
	"knapweedspur/internal/wire/work"
)

const (
	// maxStepsToApprove bounds the steps of a job, ready ones and others, that are
	// considered for a query, maxExaminedSteps those of all jobs, which take turns.
	maxStepsToApprove = 32
	maxExaminedSteps  = 500
	// deniedRetryInterval is how long after a denial the policy service is asked about the VM again; it
	// doubles with each denial up to maxDeniedRetryInterval. Usually a denial is final, but
	// the service may not have known a new VM yet.
	deniedRetryInterval    = 2 * time.Second
	maxDeniedRetryInterval = time.Minute
	// assumedTicketLifetime is used where neither the answer nor the queue says how long a ticket is valid.
	// The worker refuses one that is not.
	assumedTicketLifetime = time.Second
)

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

// approvals is the state of the planner about queries to the policy service.
type approvals struct {
	scheduler queryscheduler.Scheduler
	// open holds the open queries by ID.
	open map[int64]*policyQuery
}

// policyQuery is an open query with the incarnations of the VMs' workers when it was sent.
type policyQuery struct {
	step         *step
	incarnations map[string]int64
	// unknown counts the VMs of which the step had no answer.
	unknown int
}

// PolicyQuery asks the policy service which VMs may run a step.
type PolicyQuery struct {
	queryscheduler.Query
	Step string
	VMs  []string
	// Attempt is 1 for a query after one that was answered, and increases with each that was not.
	Attempt int
}

// policyName returns the name of a step for the policy service.
func (s *step) policyName() string {
	name := s.taskName(0)
	return name[:len(name)-len(".0")]
}

// urgency orders the steps that lack tickets.
type urgency int

const (
	// waitsForTicket is a step with tasks that could start on VMs that it has not asked about.
	waitsForTicket urgency = iota
	// wasDenied is one that has only VMs left that were denied before.
	wasDenied
	// waitsForOthers is one whose dependencies are not done.
	waitsForOthers
)

// wish is a step that lacks tickets.
type wish struct {
	candidate candidate
	urgency   urgency
	turn      time.Duration
}

func (w *wish) before(o *wish) bool {
	if w.urgency != o.urgency {
		return w.urgency < o.urgency
	}
	if w.turn != o.turn {
		return w.turn < o.turn
	}
	return w.candidate.before(&o.candidate)
}

// NextPolicyQuery returns the next query to the policy service, which counts as sent from
// then on. Queues take turns by the time that their queries take; within a queue the most urgent step goes
// first. Steps are included before their dependencies are done, so that tickets are ready in time.
func (pl *Planner) NextPolicyQuery(now time.Time) (PolicyQuery, bool) {
	var best *wish
	examined := 0
	for _, j := range pl.jobs {
		if j.outcome != nil || j.record == nil || j.record.Queue.Approval == nil || !pl.approvals.scheduler.MayAsk(j.record.Queue.Name, now) {
			continue
		}
		for _, s := range j.stepsToApprove() {
			if examined++; examined > maxExaminedSteps {
				break
			}
			if w := pl.wishOf(s, now); w != nil && (best == nil || w.before(best)) {
				best = w
			}
		}
	}
	if best == nil {
		return PolicyQuery{}, false
	}
	return pl.newPolicyQuery(best.candidate.step, now), true
}

// wishOf returns what a step lacks, nil if nothing or if it may not ask now.
func (pl *Planner) wishOf(s *step, now time.Time) *wish {
	queue := &s.job.record.Queue
	if s.query != 0 || now.Before(s.askAgainAt) || !s.isReady && !queryscheduler.PaysEarly(queue.Approval) {
		return nil
	}
	vms := pl.vmsToAsk(s, now)
	if len(vms) == 0 || s.countApprovedVMs(pl, now) >= s.waiting && !slices.ContainsFunc(vms, (*vm).keptForSuspects) {
		return nil
	}
	w := &wish{candidate: pl.rank(s, now), urgency: waitsForTicket, turn: pl.approvals.scheduler.Turn(queue.Name)}
	switch {
	case !s.isReady:
		w.urgency = waitsForOthers
	case !slices.ContainsFunc(vms, func(v *vm) bool { return !s.denied(v) }):
		w.urgency = wasDenied
	}
	return w
}

// newPolicyQuery returns a query about a step: first the VMs that were approved before, then those that were named
// least often without an answer, by their cost.
func (pl *Planner) newPolicyQuery(s *step, now time.Time) PolicyQuery {
	vms := pl.vmsToAsk(s, now)
	costs, known := make(map[*vm]float64, len(vms)), 0
	for _, v := range vms {
		costs[v] = pl.cost(v, s, &s.tasks[0], now)
		known += btoi(s.approved(v))
	}
	rank := func(v *vm) int { return btoi(!v.keptForSuspects()) + btoi(!s.approved(v)) + btoi(s.denied(v)) }
	slices.SortStableFunc(vms, func(a, b *vm) int {
		return cmp.Or(cmp.Compare(s.unanswered[a.name], s.unanswered[b.name]), cmp.Compare(rank(a), rank(b)), cmp.Compare(costs[a], costs[b]))
	})
	queue, scheduler := &s.job.record.Queue, &pl.approvals.scheduler
	size := scheduler.BatchSize(queue.Name, queue.Approval, queryscheduler.Demand{
		VMs: max(s.waiting-s.countApprovedVMs(pl, now), 1), Known: known, Candidates: len(vms), Together: s.spec.Gang, Rounds: s.rounds, Failures: s.failures,
	})
	q := PolicyQuery{Query: scheduler.Begin(queue.Name, queue.Approval, size, now), Step: s.policyName(), Attempt: s.failures + 1}
	open := &policyQuery{step: s, incarnations: map[string]int64{}}
	for _, v := range vms[:size] {
		q.VMs = append(q.VMs, v.name)
		open.incarnations[v.name] = v.session.WorkerIncarnation
		if _, asked := s.answer(v); !asked {
			open.unknown++
		}
	}
	if pl.approvals.open == nil {
		pl.approvals.open = map[int64]*policyQuery{}
	}
	pl.approvals.open[q.ID] = open
	s.query = q.ID
	return q
}

// HandlePolicyDelay notes that a query is overdue, so that others no longer wait for it, and reports whether its
// answer is still awaited. The step may ask again about fewer and other VMs meanwhile.
func (pl *Planner) HandlePolicyDelay(q PolicyQuery, now time.Time) bool {
	open := pl.approvals.open[q.ID]
	if open == nil {
		return false
	}
	s := open.step
	waits := pl.approvals.scheduler.Delay(q.ID, s.overdueQuery == 0)
	s.query = 0
	if waits {
		s.overdueQuery = q.ID
	}
	s.noteUnanswered(q, now)
	return waits
}

// HandlePolicyFailure notes that a query ended without an answer.
func (pl *Planner) HandlePolicyFailure(q PolicyQuery, failure queryscheduler.Failure, now time.Time) {
	open := pl.approvals.open[q.ID]
	if open == nil {
		return
	}
	inTime := open.step.query == q.ID
	pl.closeQuery(q)
	pl.approvals.scheduler.Fail(q.ID, failure, now)
	// A busy service has not looked at the query.
	if inTime && failure != queryscheduler.Busy {
		// Others come first once the service is asked again.
		open.step.noteUnanswered(q, pl.approvals.scheduler.AsksFrom(now))
	}
}

// noteUnanswered makes the step ask about other VMs first, and about fewer, a while after others may ask.
func (s *step) noteUnanswered(q PolicyQuery, othersFrom time.Time) {
	s.failures++
	s.askAgainAt = othersFrom.Add(queryscheduler.RetryPause(s.failures))
	if s.unanswered == nil {
		s.unanswered = map[string]int{}
	}
	for _, name := range q.VMs {
		s.unanswered[name]++
	}
}

// closeQuery forgets an open query.
func (pl *Planner) closeQuery(q PolicyQuery) {
	open := pl.approvals.open[q.ID]
	if open == nil {
		return
	}
	delete(pl.approvals.open, q.ID)
	switch s := open.step; q.ID {
	case s.query:
		s.query = 0
	case s.overdueQuery:
		s.overdueQuery = 0
	}
}

// HandlePolicyAnswer stores the answer of the policy service. VMs that were in
// the query and got no ticket may not run the step. The tickets are valid for the given time, 0 for as
// long as the queue declares, from when the answer was received.
func (pl *Planner) HandlePolicyAnswer(q PolicyQuery, tickets map[string]string, valid time.Duration, received time.Time) {
	open := pl.approvals.open[q.ID]
	pl.closeQuery(q)
	s, _ := pl.findTask(q.Step + ".0")
	if s == nil {
		pl.approvals.scheduler.Answer(q.ID, 0, 0, received)
		return
	}
	if open == nil {
		open = &policyQuery{step: s}
	}
	if valid <= 0 {
		valid = cmp.Or(max(s.job.record.Queue.Approval.TicketLifetime, 0), assumedTicketLifetime)
	}
	if s.tickets == nil {
		s.tickets = map[string]ticket{}
	}
	newlyApproved := 0
	for _, name := range q.VMs {
		incarnation, ok := open.incarnations[name]
		if !ok {
			v := pl.vms[name]
			if v == nil {
				continue
			}
			incarnation = v.session.WorkerIncarnation
		}
		former, asked := s.tickets[name]
		asked = asked && former.workerIncarnation == incarnation
		t := ticket{value: tickets[name], workerIncarnation: incarnation, expires: received.Add(valid), margin: queryscheduler.TicketMargin(valid)}
		if t.value == "" {
			if asked {
				t.denials = former.denials
			}
			t.expires = received.Add(min(deniedRetryInterval<<min(t.denials, 8), maxDeniedRetryInterval))
			t.denials++
		} else if !asked {
			newlyApproved++
		}
		s.tickets[name] = t
		delete(s.unanswered, name)
	}
	pl.approvals.scheduler.Answer(q.ID, open.unknown, min(newlyApproved, open.unknown), received)
	s.failures, s.askAgainAt = 0, time.Time{}
	if s.rounds++; s.countApprovedVMs(pl, received) >= s.waiting {
		s.rounds = 0
	}
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

// OpenPolicyQueries returns the number of queries that are awaited, and of those that are overdue.
func (pl *Planner) OpenPolicyQueries() (open, overdue int) { return pl.approvals.scheduler.Open() }
