package planner

import (
	"slices"
	"testing"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/queryscheduler"
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

// approvedJob is a job of one step whose queue needs approval.
func approvedJob(s *simulation, policy work.ApprovalPolicy, step work.Step) *work.Job {
	return &work.Job{ID: jobID(1), AcceptedAt: s.now, Steps: []work.Step{step}, Queue: work.Queue{
		Name: "queue", Pool: "pool", MaxFailures: 2, Target: time.Minute, Approval: &policy,
	}}
}

// wantQuery returns the next query, and fails the test if there is none.
func (s *simulation) wantQuery() PolicyQuery {
	s.t.Helper()
	q, ok := s.planner.NextPolicyQuery(s.now)
	if !ok {
		s.t.Fatal("no query")
	}
	return q
}

// A query that was not answered must not come back unchanged: it would fail again for the same reason.
func TestUnansweredQueryIsFollowedByAnotherOne(t *testing.T) {
	s := newSimulation(t)
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		s.addVM(name, 4000, 10_000)
	}
	s.acceptJob(approvedJob(s, work.ApprovalPolicy{BaseLatency: 500 * time.Millisecond, LatencyPerVM: 120 * time.Millisecond, TicketLifetime: 3 * time.Second}, stepSpec(2, 500)))
	first := s.wantQuery()
	s.advance(first.Patience)
	if !s.planner.HandlePolicyDelay(first, s.now) {
		t.Error("the answer of the first query is no longer awaited")
	}
	s.advance(200 * time.Millisecond)
	second := s.wantQuery()
	if len(second.VMs) >= len(first.VMs) {
		t.Errorf("the second query is about %d VMs, the first was about %d", len(second.VMs), len(first.VMs))
	}
	for _, name := range second.VMs {
		if slices.Contains(first.VMs, name) {
			t.Errorf("the second query is about %s as well, though others have not been asked about", name)
		}
	}
	s.planner.HandlePolicyAnswer(first, map[string]string{first.VMs[0]: "late"}, 3*time.Second, s.now)
	s.runPass()
	if got := s.placements(jobID(1)); len(got) != 2 {
		t.Errorf("placements %v after the late answer of the first query, want 2", got)
	}
	if s.planner.HandlePolicyFailure(second, queryscheduler.NoAnswer, s.now); len(s.planner.approvals.open) != 0 {
		t.Errorf("%d queries are still open", len(s.planner.approvals.open))
	}
}

// VMs that were denied must not be asked about in place of those of which nothing is known.
func TestDeniedVMsAreAskedAboutLastAndRarely(t *testing.T) {
	s := newSimulation(t)
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		s.addVM(name, 4000, 10_000)
	}
	s.acceptJob(approvedJob(s, work.ApprovalPolicy{BaseLatency: 5 * time.Second, LatencyPerVM: 5 * time.Second, TicketLifetime: 3 * time.Second}, stepSpec(1, 500)))
	asked := map[string]int{}
	for range 6 {
		q := s.wantQuery()
		for _, name := range q.VMs {
			asked[name]++
		}
		s.advance(10 * time.Second)
		s.planner.HandlePolicyAnswer(q, nil, 0, s.now)
	}
	if len(asked) != 6 {
		t.Fatalf("asked %v times, want all 6 VMs before any again", asked)
	}
	queries := 0
	for end := s.now.Add(2 * time.Minute); s.now.Before(end); s.advance(100 * time.Millisecond) {
		if q, ok := s.planner.NextPolicyQuery(s.now); ok {
			s.planner.HandlePolicyAnswer(q, nil, 0, s.now)
			queries++
		}
	}
	// Six VMs, asked again after 4, 8, 16, 32 and 60 s at most.
	if queries > 6*6 {
		t.Errorf("%d queries within two minutes about VMs that were denied", queries)
	}
}

// A ticket holds for the process of the worker that was asked about, not for one that started meanwhile.
func TestTicketIsNotUsedForWorkerThatRestartedDuringQuery(t *testing.T) {
	s := newSimulation(t)
	a := s.addVM("a", 4000, 10_000)
	s.acceptJob(approvedJob(s, work.ApprovalPolicy{BaseLatency: 5 * time.Second, TicketLifetime: 3 * time.Second}, stepSpec(1, 500)))
	q := s.wantQuery()
	a.workerStatus.Incarnation += 1000
	s.sendHello("a")
	s.advance(2 * time.Second)
	s.planner.HandlePolicyAnswer(q, map[string]string{"a": "ticket"}, 3*time.Second, s.now)
	s.advance(200 * time.Millisecond)
	if len(s.starts) != 0 {
		t.Errorf("started with the ticket of the former process: %+v", s.starts)
	}
	if q := s.wantQuery(); len(q.VMs) != 1 {
		t.Errorf("query %+v, want one about the new process", q)
	}
}

// A worker that accepts no ticket must not be sent start after start.
func TestRejectedTicketsAreRequestedEverMoreRarely(t *testing.T) {
	s := newSimulation(t)
	a := s.addVM("a", 4000, 10_000)
	s.acceptJob(approvedJob(s, work.ApprovalPolicy{TicketLifetime: 3 * time.Second}, stepSpec(1, 500)))
	for end := s.now.Add(20 * time.Second); s.now.Before(end); s.advance(100 * time.Millisecond) {
		if q, ok := s.planner.NextPolicyQuery(s.now); ok {
			s.planner.HandlePolicyAnswer(q, map[string]string{"a": "ticket"}, 3*time.Second, s.now)
			s.runPass()
		}
		for _, r := range a.active {
			a.voids = append(a.voids, work.VoidRun{Task: r.Task, Run: r.Run, Reason: voidReasonTicket})
		}
		a.active = nil
	}
	if len(s.starts) < 5 || len(s.starts) > 20 {
		t.Errorf("%d starts within 20 s, want 5 to 20", len(s.starts))
	}
}

// A task that may crash its worker runs only on a VM that is kept for it. Its ticket may expire before the VM is
// free for it.
func TestSuspectGetsTicketForVMThatIsKeptForIt(t *testing.T) {
	s := newSimulation(t)
	for _, name := range []string{"a", "b", "c"} {
		s.addVM(name, 4000, 10_000)
	}
	s.acceptJob(approvedJob(s, work.ApprovalPolicy{TicketLifetime: time.Second}, stepSpec(1, 500)))
	step := s.planner.jobs[jobID(1)].step(jobreducer.StepKey{})
	step.tasks[0].Crashes = &work.CrashHistory{Suspect: true}
	kept := s.planner.vms["b"]
	kept.keptSince = s.now
	if q := s.wantQuery(); !slices.Contains(q.VMs, "b") {
		t.Errorf("query about %v, want one that names the VM that is kept", q.VMs)
	}
}
