package leader_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/standin/keyedlogemulator"
	"knapweedspur/internal/wire/work"
)

// An unexpected error in the planner must end the leadership of one entry, not its
// process: clients and agents of that entry are still served.
func TestFailedPlannerHandsLeadershipOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		entries := []*entry{start(t, log, "a"), start(t, log, "b")}
		first := waitForLeader(t, entries...)
		first.leader.WithPlanner(func(*planner.Planner, time.Time) { panic("unexpected") })
		if first.leader.Leading() != 0 {
			t.Error("an entry whose planner failed still leads")
		}
		if second := waitForLeader(t, entries...); second == first {
			t.Error("the entry whose planner failed leads again, although another one could")
		}
		for _, e := range entries {
			e.shutdown()
		}
	})
}

// A job that no planner can work with, such as one from another release, must not
// keep every leader in turn from placing the others.
func TestUnusableJobInLogLeavesOthersServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		e := start(t, log, "a")
		waitForLeader(t, e)
		for i, steps := range [][]work.Step{
			{{Tasks: 1, DependsOn: []int{7}}}, {{Tasks: -1}}, nil, {{Tasks: 1, Size: work.Size{Millicores: -1}}},
		} {
			job := &work.Job{ID: fmt.Sprintf("%016x", i), Steps: steps, Queue: work.Queue{Pool: "pool", MaxFailures: 1}}
			if _, err := log.Append(t.Context(), []journal.Record{jobreducer.JobRecord(job)}, nil); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			if e.leader.Leading() == 0 {
				t.Errorf("no entry leads after a job with steps %+v", steps)
			}
		}
		e.shutdown()
	})
}

// An error while a new leader registers the agents must not end its process either.
func TestFailureAtStartOfTermEndsOnlyTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		e := start(t, log, "a")
		e.agents.mu.Lock()
		failed := false
		e.agents.onHellos = func() {
			if !failed {
				failed = true
				panic("unexpected")
			}
		}
		e.agents.mu.Unlock()
		time.Sleep(2 * time.Second)
		if e.leader.Leading() != 0 {
			t.Error("an entry whose planner failed leads")
		}
		waitForLeader(t, e)
		e.shutdown()
	})
}
