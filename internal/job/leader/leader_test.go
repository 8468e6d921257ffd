package leader_test

import (
	"context"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/leader"
	"knapweedspur/internal/job/logfollower"
	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/standin/keyedlogemulator"
	"knapweedspur/internal/wire/work"
)

// fakeAgents records what a leader sends.
type fakeAgents struct {
	mu       sync.Mutex
	grants   map[string]*work.Grant
	commands map[string][]*work.Commands
	hello    *work.Hello
	// onHellos is called when the leader asks for the connected agents.
	onHellos func()
}

func (a *fakeAgents) SendCommands(vm string, commands *work.Commands) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.commands[vm] = append(a.commands[vm], commands)
}

func (a *fakeAgents) SendGrant(vm string, g *work.Grant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.grants[vm] = g
}

func (a *fakeAgents) Hellos() []*work.Hello {
	a.mu.Lock()
	onHellos := a.onHellos
	a.mu.Unlock()
	if onHellos != nil {
		onHellos()
	}
	if a.hello == nil {
		return nil
	}
	return []*work.Hello{a.hello}
}

func (a *fakeAgents) Announce() {}

func (a *fakeAgents) grantFor(vm string) *work.Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.grants[vm]
}

// entry is the part of an entry that follows the log and may lead.
type entry struct {
	leader   *leader.Leader
	follower *logfollower.Follower
	agents   *fakeAgents
	stop     context.CancelFunc
}

// silentTransport neither answers nor refuses requests.
type silentTransport struct{}

func (silentTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// virtualTime is a clock that follows the fake time of synctest.
func virtualTime() time.Duration { return time.Duration(time.Now().UnixNano()) }

func start(t *testing.T, log journal.Journal, name string) *entry {
	return startWith(t, log, name, nil)
}

func startWith(t *testing.T, log journal.Journal, name string, randomBelow func(int64) int64) *entry {
	e := &entry{agents: &fakeAgents{grants: map[string]*work.Grant{}, commands: map[string][]*work.Commands{}}}
	e.leader = &leader.Leader{
		Journal: log, Agents: e.agents, Logger: hclog.NewNullLogger(), Name: name, Incarnation: name + "-1",
		Address: netip.MustParseAddrPort("127.0.0.1:1"), CPUShare: 1, MaxAppendBytes: 1 << 20,
		Settings: planner.Settings{MaxLease: 6 * time.Second, FarFactor: 2}, Client: &http.Client{Transport: silentTransport{}}, RandomBelow: randomBelow,
	}
	e.follower = &logfollower.Follower{Journal: log, Logger: hclog.NewNullLogger(), Observer: e.leader, Clock: virtualTime}
	e.leader.Follower = e.follower
	e.follower.Init()
	e.leader.Init(time.Now())
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	member := &work.Member{Name: name, Incarnation: name + "-1", AnnouncedAt: time.Now(), CPUShare: 1}
	if _, err := log.Append(ctx, []journal.Record{jobreducer.MemberRecord(member)}, nil); err != nil {
		t.Fatal(err)
	}
	go e.follower.Run(ctx)
	go e.leader.Run(ctx)
	return e
}

func (e *entry) shutdown() {
	e.stop()
	<-e.leader.Done
	<-e.follower.Done
}

// waitForLeader waits until claims have been decided, and returns the entry that
// leads. It fails the test unless exactly one entry leads.
func waitForLeader(t *testing.T, entries ...*entry) *entry {
	time.Sleep(3 * time.Second)
	var found *entry
	for _, e := range entries {
		switch {
		case e.leader.Leading() == 0:
		case found != nil:
			t.Error("two entries lead")
		default:
			found = e
		}
	}
	if found == nil {
		t.Fatal("no entry leads")
	}
	return found
}

// An agent introduces itself once for each connection.
func TestAgentThatConnectsWhileATermBeginsIsRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := start(t, keyedlogemulator.New(), "a")
		e.agents.mu.Lock()
		e.agents.onHellos = func() {
			go e.leader.WithPlanner(func(pl *planner.Planner, now time.Time) {
				pl.RegisterAgent(&work.Hello{WorkerStatus: work.WorkerStatus{VM: "late", Incarnation: 1}, AgentIncarnation: "agent"}, now)
			})
			for range 1000 {
				runtime.Gosched()
			}
		}
		e.agents.mu.Unlock()
		waitForLeader(t, e)
		if e.agents.grantFor("late") == nil {
			t.Error("the agent got no session")
		}
		e.shutdown()
	})
}

func TestOneEntryLeadsAndAnotherTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, b := start(t, log, "a"), start(t, log, "b")
		first := waitForLeader(t, a, b)
		second := a
		if first == a {
			second = b
		}
		time.Sleep(5 * time.Second)
		if second.leader.Leading() != 0 {
			t.Fatal("both entries lead")
		}
		before := first.leader.Leading()
		first.shutdown()
		waitForLeader(t, second)
		if after := second.leader.Leading(); after <= before {
			t.Errorf("epoch of the new leader is %d, want more than %d", after, before)
		}
		second.shutdown()
	})
}

// In one of 4,096 first starts, two entries choose the same random epoch. The
// entry whose claim lost took the term of the other for its own, and never
// claimed again.
func TestTwoClaimsOfTheSameEpochAreDistinguished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		const randomPart = 7
		b := startWith(t, log, "b", func(n int64) int64 { return randomPart % n })
		log.SetFaults(keyedlogemulator.Faults{RefuseAppends: true})
		time.Sleep(2 * time.Second)
		// The other entry chooses the same epoch, claims first, and ends.
		log.SetFaults(keyedlogemulator.Faults{})
		writer := &journal.Writer{Name: "leader", Epoch: 1<<12 | randomPart, Number: 100}
		term := &work.Term{Leader: "a", Incarnation: "a-1", Epoch: writer.Epoch, Address: netip.MustParseAddrPort("127.0.0.1:2")}
		if _, err := log.Append(t.Context(), []journal.Record{jobreducer.TermRecord(term)}, writer); err != nil {
			t.Fatal(err)
		}
		waitForLeader(t, b)
		b.shutdown()
	})
}

func TestResignedLeadershipIsClaimedQuickly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, b := start(t, log, "a"), start(t, log, "b")
		first := waitForLeader(t, a, b)
		first.leader.Resign()
		time.Sleep(700 * time.Millisecond)
		if a.leader.Leading() == 0 && b.leader.Leading() == 0 {
			t.Error("no entry leads 700 ms after the leader resigned")
		}
		a.shutdown()
		b.shutdown()
	})
}

func TestFencedLeaderSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a := start(t, log, "a")
		waitForLeader(t, a)
		// Another writer claims a higher epoch while the leader still leads.
		writer := &journal.Writer{Name: "leader", Epoch: a.leader.Leading() + 1<<20}
		term := &work.Term{Leader: "x", Incarnation: "x-1", Epoch: writer.Epoch}
		if _, err := log.Append(t.Context(), []journal.Record{jobreducer.TermRecord(term)}, writer); err != nil {
			t.Fatal(err)
		}
		a.leader.WithPlanner(func(p *planner.Planner, now time.Time) {
			p.RegisterAgent(&work.Hello{WorkerStatus: work.WorkerStatus{VM: "vm", Incarnation: 1, Pool: "pool"}, AgentIncarnation: "agent"}, now)
		})
		time.Sleep(500 * time.Millisecond)
		if g := a.agents.grantFor("vm"); g != nil {
			t.Errorf("a fenced leader granted %+v", g)
		}
		a.shutdown()
	})
}

func TestLostAppendAnswerIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a := start(t, log, "a")
		waitForLeader(t, a)
		log.SetFaults(keyedlogemulator.Faults{LoseResponses: true})
		a.leader.WithPlanner(func(p *planner.Planner, now time.Time) {
			p.RegisterAgent(&work.Hello{WorkerStatus: work.WorkerStatus{VM: "vm", Incarnation: 1, Pool: "pool"}, AgentIncarnation: "agent"}, now)
		})
		time.Sleep(time.Second)
		if g := a.agents.grantFor("vm"); g != nil {
			t.Errorf("granted %+v before the log confirmed", g)
		}
		log.SetFaults(keyedlogemulator.Faults{})
		time.Sleep(time.Second)
		want := &work.Grant{VM: "vm", WorkerIncarnation: 1, Fence: 1}
		if diff := cmp.Diff(want, a.agents.grantFor("vm")); diff != "" {
			t.Errorf("grant (-want +got):\n%s", diff)
		}
		a.shutdown()
	})
}

func TestLogOutageForAllKeepsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		a, b := start(t, log, "a"), start(t, log, "b")
		first := waitForLeader(t, a, b)
		before := first.leader.Leading()
		for range 5 {
			log.SetFaults(keyedlogemulator.Faults{Down: true})
			time.Sleep(6 * time.Second)
			// Others may read the log again before the leader can write.
			log.SetFaults(keyedlogemulator.Faults{RefuseAppends: true})
			time.Sleep(600 * time.Millisecond)
			log.SetFaults(keyedlogemulator.Faults{})
			time.Sleep(3 * time.Second)
		}
		if after := first.leader.Leading(); after != before {
			t.Errorf("epoch changed from %d to %d in an outage of the log for all entries", before, after)
		}
		a.shutdown()
		b.shutdown()
	})
}

func TestViewIsRebuiltWhenLogIsTruncated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		job := &work.Job{ID: "0000000000000001", Steps: []work.Step{{Tasks: 1}}}
		if _, err := log.Append(t.Context(), []journal.Record{jobreducer.JobRecord(job)}, nil); err != nil {
			t.Fatal(err)
		}
		a := start(t, log, "a")
		waitForLeader(t, a)
		log.SetFaults(keyedlogemulator.Faults{Down: true})
		time.Sleep(time.Second)
		log.SetFaults(keyedlogemulator.Faults{})
		second := &work.Job{ID: "0000000000000002", Steps: []work.Step{{Tasks: 1}}}
		if _, err := log.Append(t.Context(), []journal.Record{jobreducer.JobRecord(second)}, nil); err != nil {
			t.Fatal(err)
		}
		log.Compact()
		time.Sleep(2 * time.Second)
		var known []bool
		a.follower.View(func(state *jobreducer.State, _ time.Duration) {
			known = []bool{state.Jobs[job.ID].Accepted(), state.Jobs[second.ID].Accepted()}
		})
		if diff := cmp.Diff([]bool{true, true}, known); diff != "" {
			t.Errorf("jobs in the view (-want +got):\n%s", diff)
		}
		waitForLeader(t, a)
		a.shutdown()
	})
}
