// Package fleetsimulator stands in for many agents at once: each connects, beats,
// probes and runs tasks that end at once, at a small share of a real agent's
// cost. It measures what an entry spends on them.
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

// Crowd is many agents. Set the exported fields, then Run.
type Fleet struct {
	// Entries are connected to by every agent.
	Entries []netip.AddrPort
	// Agents is how many there are; Prefix begins their names.
	AgentCount int
	NamePrefix string
	// Beat and Probe are the times between heartbeats and between probes.
	HeartbeatInterval, ProbeInterval time.Duration
	// Size is what each VM has.
	VMSize message.Size
	// Task is how long a task runs.
	TaskDuration time.Duration
	// Token is shown to the entries.
	Token string

	ready   atomic.Int64
	started atomic.Int64
	offsets sync.Map
}

// Started returns how many tasks were started.
func (c *Fleet) StartedTasks() int64 { return c.started.Load() }

// Ready returns how many agents hold a lease.
func (c *Fleet) LeasedAgents() int64 { return c.ready.Load() }

// Offset returns the lowest configuration offset that any agent has in force.
func (c *Fleet) MinAppliedOffset() uint64 {
	lowest := ^uint64(0)
	c.offsets.Range(func(_, value any) bool {
		lowest = min(lowest, value.(uint64))
		return true
	})
	return lowest
}

// Run runs all agents until the context ends.
func (c *Fleet) Run(ctx context.Context) {
	var group sync.WaitGroup
	for i := range c.AgentCount {
		m := &member{Fleet: c, name: fmt.Sprintf("%s-%d", c.NamePrefix, i), started: map[message.Attempt]bool{}}
		group.Go(func() { m.run(ctx, i) })
	}
	group.Wait()
}

// member is one agent.
type member struct {
	*Fleet
	name    string
	mu      sync.Mutex
	lease   int
	held    int
	started map[message.Attempt]bool
}

func (m *member) run(ctx context.Context, i int) {
	// Agents do not all beat at once.
	waiter.Sleep(ctx, m.HeartbeatInterval*time.Duration(i)/time.Duration(m.AgentCount))
	var group sync.WaitGroup
	for n, e := range m.Entries {
		group.Go(func() { m.keep(ctx, e, n) })
	}
	group.Wait()
}

const redial = time.Second

func (m *member) keep(ctx context.Context, entry netip.AddrPort, n int) {
	for ctx.Err() == nil {
		m.connect(ctx, entry, n)
		waiter.Sleep(ctx, redial)
	}
}

const missed = 6

func (m *member) connect(ctx context.Context, entry netip.AddrPort, n int) {
	header := http.Header{"Authorization": {"Bearer " + m.Token}}
	conn, err := framer.Dial(ctx, http.DefaultClient, "ws", entry, header, missed*m.HeartbeatInterval)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, conn.Close)()
	hello := &message.Hello{VM: m.name, Agent: m.name + "-agent", Rack: "rack", Domain: "alpha"}
	if conn.Send(&message.Frame{Hello: hello}) != nil {
		return
	}
	go m.beat(ctx, conn)
	for {
		f, err := conn.Receive()
		if err != nil {
			return
		}
		m.handle(conn, f, n)
	}
}

// beat sends heartbeats and probes until the connection ends.
func (m *member) beat(ctx context.Context, conn *framer.Conn) {
	probes := uint64(0)
	var probed time.Time
	for ctx.Err() == nil {
		m.mu.Lock()
		h := &message.Heartbeat{Lease: m.lease, Free: m.VMSize, Tasks: m.held}
		m.mu.Unlock()
		f := &message.Frame{Heartbeat: h}
		if time.Since(probed) >= m.ProbeInterval-m.HeartbeatInterval/2 {
			probed = time.Now()
			probes++
			f.Probe = &message.Probe{Number: probes}
		}
		if conn.Send(f) != nil {
			return
		}
		waiter.Sleep(ctx, m.HeartbeatInterval)
	}
}

func (m *member) handle(conn *framer.Conn, f *message.Frame, n int) {
	if f.LeaseView != nil {
		m.view(conn, f.LeaseView, n)
	}
	if f.AgentConfig != nil && n == 0 {
		m.offsets.Store(m.name, f.AgentConfig.Offset)
	}
	if f.Start != nil {
		m.start(conn, f.Start)
	}
}

// view joins when the VM has no lease yet.
func (m *member) view(conn *framer.Conn, v *message.LeaseView, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v.Agent == m.name+"-agent" {
		if m.lease == 0 {
			m.ready.Add(1)
		}
		m.lease = v.Lease
		return
	}
	if n == 0 {
		_ = conn.Send(&message.Frame{Rejoin: &message.Rejoin{Lease: v.Lease + 1, Boot: m.name, Agent: m.name + "-agent", Size: m.VMSize}})
	}
}

// start runs a task once and reports its end.
func (m *member) start(conn *framer.Conn, s *message.Start) {
	name := message.Attempt{Run: s.Run, Task: s.Task, Attempt: s.Attempt}
	_ = conn.Send(&message.Frame{Started: &message.Started{Attempts: []message.Attempt{name}}})
	m.mu.Lock()
	known := m.started[name]
	m.started[name] = true
	m.mu.Unlock()
	if known {
		return
	}
	m.Fleet.started.Add(1)
	time.AfterFunc(m.TaskDuration, func() {
		c := message.Close{Run: s.Run, Task: s.Task, Attempt: s.Attempt, Outcome: "done"}
		_ = conn.Send(&message.Frame{Report: &message.Report{Closes: []message.Close{c}}})
	})
}
