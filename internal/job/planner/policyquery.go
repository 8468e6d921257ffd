package planner

import (
	"cmp"
	"slices"
	"time"

	"knapweedspur/internal/job/queryscheduler"
)

const (
	// maxExaminedSteps bounds the steps that are considered for a query. Jobs take turns.
	maxExaminedSteps = 500
	// deniedRetryInterval is how long after a denial the policy service is asked about the VM again; it
	// doubles with each denial up to maxDeniedRetryInterval. Usually a denial is final, but
	// the service may not have known a new VM yet.
	deniedRetryInterval    = 2 * time.Second
	maxDeniedRetryInterval = time.Minute
	// assumedTicketLifetime is used where neither the answer nor the queue says how long a ticket is valid.
	// The worker refuses one that is not.
	assumedTicketLifetime = time.Second
)

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

// OpenPolicyQueries returns the number of queries that are awaited, and of those that are overdue.
func (pl *Planner) OpenPolicyQueries() (open, overdue int) { return pl.approvals.scheduler.Open() }
