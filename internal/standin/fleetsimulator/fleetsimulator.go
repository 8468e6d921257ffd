// Package fleetsimulator simulates many agents in one process: each connects to
// the entries, sends heartbeats and probes, and reports every task as done after
// a fixed time, at a small share of a real agent's cost. It also measures the
// resources that a process spends on the fleet.
package fleetsimulator

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/link/framer"
	"knapweedspur/internal/wire/message"
)

// Fleet is a set of simulated agents. Set the exported fields, then call Run.
type Fleet struct {
	// Entries are the control addresses that every agent connects to.
	Entries []netip.AddrPort
	// AgentCount is the number of agents; their names begin with NamePrefix.
	AgentCount int
	NamePrefix string
	// HeartbeatInterval and ProbeInterval are the times between heartbeats and
	// between probes.
	HeartbeatInterval, ProbeInterval time.Duration
	// VMSize is the capacity of each VM.
	VMSize message.Size
	// TaskDuration is how long a task runs.
	TaskDuration time.Duration
	// Token authenticates the agents to the entries.
	Token string

	leased         atomic.Int64
	startedTasks   atomic.Int64
	appliedOffsets sync.Map
}

// StartedTasks returns how many tasks were started.
func (f *Fleet) StartedAttempts() int64 { return f.startedTasks.Load() }

// LeasedAgents returns how many agents hold a lease.
func (f *Fleet) LeasedAgents() int64 { return f.leased.Load() }

// MinAppliedOffset returns the lowest configuration offset that any agent has in force.
func (f *Fleet) MinAppliedOffset() uint64 {
	lowest := ^uint64(0)
	f.appliedOffsets.Range(func(_, value any) bool {
		lowest = min(lowest, value.(uint64))
		return true
	})
	return lowest
}

// Run runs all agents until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	var group sync.WaitGroup
	for i := range f.AgentCount {
		a := &agent{Fleet: f, name: fmt.Sprintf("%s-%d", f.NamePrefix, i), startedTasks: map[message.Attempt]bool{}}
		group.Go(func() { a.run(ctx, i) })
	}
	group.Wait()
}

// agent is one simulated agent.
type agent struct {
	*Fleet
	name         string
	mu           sync.Mutex
	lease        int
	taskCount    int
	startedTasks map[message.Attempt]bool
}

func (a *agent) run(ctx context.Context, index int) {
	// Spread the agents' heartbeats over the interval.
	waiter.Sleep(ctx, a.HeartbeatInterval*time.Duration(index)/time.Duration(a.AgentCount))
	var group sync.WaitGroup
	for entryIndex, entry := range a.Entries {
		group.Go(func() { a.maintainConnection(ctx, entry, entryIndex) })
	}
	group.Wait()
}

const redialDelay = time.Second

func (a *agent) maintainConnection(ctx context.Context, entry netip.AddrPort, entryIndex int) {
	for ctx.Err() == nil {
		a.connect(ctx, entry, entryIndex)
		waiter.Sleep(ctx, redialDelay)
	}
}

const maxMissedHeartbeats = 6

func (a *agent) connect(ctx context.Context, entry netip.AddrPort, entryIndex int) {
	header := http.Header{"Authorization": {"Bearer " + a.Token}}
	conn, err := framer.Dial(ctx, http.DefaultClient, "ws", entry, header, maxMissedHeartbeats*a.HeartbeatInterval)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, conn.Close)()
	hello := &message.Hello{VM: a.name, Agent: a.name + "-agent", Rack: "rack", Domain: "alpha"}
	if conn.Send(&message.Frame{Hello: hello}) != nil {
		return
	}
	go a.sendHeartbeats(ctx, conn)
	for {
		frame, err := conn.Receive()
		if err != nil {
			return
		}
		a.handleFrame(conn, frame, entryIndex)
	}
}

// sendHeartbeats sends heartbeats and probes until the connection ends.
func (a *agent) sendHeartbeats(ctx context.Context, conn *framer.Conn) {
	probeNumber := uint64(0)
	var lastProbe time.Time
	for ctx.Err() == nil {
		a.mu.Lock()
		heartbeat := &message.Heartbeat{Lease: a.lease, Free: a.VMSize, Tasks: a.taskCount}
		a.mu.Unlock()
		frame := &message.Frame{Heartbeat: heartbeat}
		if time.Since(lastProbe) >= a.ProbeInterval-a.HeartbeatInterval/2 {
			lastProbe = time.Now()
			probeNumber++
			frame.Probe = &message.Probe{Number: probeNumber}
		}
		if conn.Send(frame) != nil {
			return
		}
		waiter.Sleep(ctx, a.HeartbeatInterval)
	}
}

func (a *agent) handleFrame(conn *framer.Conn, frame *message.Frame, entryIndex int) {
	if frame.LeaseView != nil {
		a.handleView(conn, frame.LeaseView, entryIndex)
	}
	if frame.AgentConfig != nil && entryIndex == 0 {
		a.appliedOffsets.Store(a.name, frame.AgentConfig.Offset)
	}
	if frame.Start != nil {
		a.handleStart(conn, frame.Start)
	}
}

// handleView notes the agent's lease, or asks to join if the VM has none for this
// agent. Only the connection to the first entry sends the request.
func (a *agent) handleView(conn *framer.Conn, view *message.LeaseView, entryIndex int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if view.Agent == a.name+"-agent" {
		if a.lease == 0 {
			a.leased.Add(1)
		}
		a.lease = view.Lease
		return
	}
	if entryIndex == 0 {
		_ = conn.Send(&message.Frame{Rejoin: &message.Rejoin{Lease: view.Lease + 1, Boot: a.name, Agent: a.name + "-agent", Size: a.VMSize}})
	}
}

// handleStart acknowledges a start, runs the task unless it is a duplicate, and
// reports its end.
func (a *agent) handleStart(conn *framer.Conn, start *message.Start) {
	attempt := message.Attempt{Run: start.Run, Task: start.Task, Attempt: start.Attempt}
	_ = conn.Send(&message.Frame{Started: &message.Started{Attempts: []message.Attempt{attempt}}})
	a.mu.Lock()
	duplicate := a.startedTasks[attempt]
	a.startedTasks[attempt] = true
	a.mu.Unlock()
	if duplicate {
		return
	}
	a.Fleet.startedTasks.Add(1)
	time.AfterFunc(a.TaskDuration, func() {
		closed := message.Close{Run: start.Run, Task: start.Task, Attempt: start.Attempt, Outcome: "done"}
		_ = conn.Send(&message.Frame{Report: &message.Report{Closes: []message.Close{closed}}})
	})
}
