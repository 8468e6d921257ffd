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
	// AgentCount is the number of agents, each on a VM of its own. The names of the
	// VMs begin with NamePrefix.
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

	leasedAgents    atomic.Int64
	startedAttempts atomic.Int64
	appliedOffsets  sync.Map
}

// StartedAttempts returns how many attempts of tasks were started on all agents.
func (f *Fleet) StartedAttempts() int64 { return f.startedAttempts.Load() }

// LeasedAgents returns how many agents have been granted a lease. It does not
// notice the end of a lease.
func (f *Fleet) LeasedAgents() int64 { return f.leasedAgents.Load() }

// MinAppliedOffset returns the lowest configuration offset that any agent has in
// force. Agents that have not received a configuration yet are not counted; if none
// has, it returns the highest uint64.
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
		a := &agent{Fleet: f, vmName: fmt.Sprintf("%s-%d", f.NamePrefix, i), startedAttempts: map[message.Attempt]bool{}}
		group.Go(func() { a.run(ctx, i) })
	}
	group.Wait()
}

// agent is one simulated agent. Its process incarnation is vmName with "-agent"
// appended.
type agent struct {
	*Fleet
	vmName string
	mu     sync.Mutex
	lease  int
	// taskCount is always 0: the heartbeats do not report the running tasks.
	taskCount int
	// startedAttempts finds duplicate starts. Fleet.startedAttempts is the count for
	// all agents.
	startedAttempts map[message.Attempt]bool
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
	hello := &message.Hello{VM: a.vmName, Agent: a.vmName + "-agent", Rack: "rack", Domain: "alpha"}
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
		a.appliedOffsets.Store(a.vmName, frame.AgentConfig.Offset)
	}
	if frame.Start != nil {
		a.handleStart(conn, frame.Start)
	}
}

// handleView stores the number of the VM's lease, or requests a new lease if this
// agent does not hold the VM's lease. Only the connection to the first entry sends
// the request.
func (a *agent) handleView(conn *framer.Conn, view *message.LeaseView, entryIndex int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if view.Agent == a.vmName+"-agent" {
		if a.lease == 0 {
			a.leasedAgents.Add(1)
		}
		a.lease = view.Lease
		return
	}
	if entryIndex == 0 {
		_ = conn.Send(&message.Frame{Rejoin: &message.Rejoin{Lease: view.Lease + 1, Boot: a.vmName, Agent: a.vmName + "-agent", Size: a.VMSize}})
	}
}

// handleStart acknowledges a start, runs the task unless it is a duplicate, and
// reports its end.
func (a *agent) handleStart(conn *framer.Conn, start *message.Start) {
	attempt := message.Attempt{Run: start.Run, Task: start.Task, Attempt: start.Attempt}
	_ = conn.Send(&message.Frame{Started: &message.Started{Attempts: []message.Attempt{attempt}}})
	a.mu.Lock()
	duplicate := a.startedAttempts[attempt]
	a.startedAttempts[attempt] = true
	a.mu.Unlock()
	if duplicate {
		return
	}
	a.Fleet.startedAttempts.Add(1)
	time.AfterFunc(a.TaskDuration, func() {
		closed := message.Close{Run: start.Run, Task: start.Task, Attempt: start.Attempt, Outcome: "done"}
		_ = conn.Send(&message.Frame{Report: &message.Report{Closes: []message.Close{closed}}})
	})
}
