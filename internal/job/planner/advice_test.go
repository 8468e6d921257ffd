package planner

import (
	"testing"
	"time"

	"knapweedspur/internal/wire/work"
)

// A VM whose ticket is valid but that may host no further task of the step must not keep
// the policy service from being asked about another.
func TestTicketIsRequestedBesideVMAtSpreadLimit(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 16_000, 10_000)
	serving := taskStep(2, 1000, 100, time.Minute)
	serving.LongRunning, serving.MaxPerVM = true, 1
	s.acceptJob(&work.Job{ID: jobID(1), AcceptedAt: s.now, Steps: []work.Step{serving}, Queue: work.Queue{
		Name: "queue", Pool: "pool", MaxFailures: 2, Approval: &work.ApprovalPolicy{TicketLifetime: time.Minute},
	}})
	answer := func() {
		if q, ok := s.planner.NextPolicyQuery(s.now); ok {
			tickets := map[string]string{}
			for _, name := range q.VMs {
				tickets[name] = "ticket-" + name
			}
			s.planner.HandlePolicyAnswer(q, tickets, time.Minute, s.now)
		}
	}
	for range 30 {
		answer()
		s.advance(100 * time.Millisecond)
	}
	s.addVM("b", 16_000, 10_000)
	for range 30 {
		answer()
		s.advance(100 * time.Millisecond)
	}
	if got := s.placements(jobID(1)); len(got) != 2 {
		t.Errorf("placements %v 3 s after a second VM came, want a task on each", got)
	}
}
