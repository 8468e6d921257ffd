// Package agenttracker keeps the agents connected to an entry. The request path
// reads an immutable table that is replaced whole.
package agenttracker

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"knapweedspur/internal/policy/upstreamselector"
	"knapweedspur/internal/wire/message"
)

// Caller sends requests to one agent.
type Sender interface {
	// Send sends a frame to the agent.
	Send(f *message.Frame) error
	// Queue sends a frame later, or returns false if too many wait.
	Queue(f *message.Frame) bool
}

// Member is one connected agent.
type Agent struct {
	// Hello is what the agent said of itself.
	Hello message.Hello
	// Caller sends to the agent.
	Sender Sender
	// Candidate is the agent's upstream as the chooser sees it.
	Candidate upstreamselector.Candidate
	// Since is when it connected.
	ConnectedAt time.Time

	heartbeat atomic.Pointer[message.Heartbeat]
	heard     atomic.Int64
	leaving   atomic.Bool
}

// Heartbeat returns the newest heartbeat, or nil before the first.
func (m *Agent) Heartbeat() *message.Heartbeat { return m.heartbeat.Load() }

// Heard returns when the agent was last heard.
func (m *Agent) LastHeard() time.Time { return time.Unix(0, m.heard.Load()) }

// Beat takes a heartbeat. It returns true if the table must be made anew.
func (m *Agent) RecordHeartbeat(now time.Time, h *message.Heartbeat) bool {
	old := m.heartbeat.Swap(h)
	m.heard.Store(now.UnixNano())
	m.Candidate.SetRunning(h.Running)
	if h.Leaving {
		m.leaving.Store(true)
	}
	return old == nil || old.AcceptsRequests != h.AcceptsRequests || old.Leaving != h.Leaving
}

// open reports whether the upstream may get requests.
func (m *Agent) open(drained map[string]bool) bool {
	h := m.heartbeat.Load()
	return h != nil && h.AcceptsRequests && !h.Leaving && !m.leaving.Load() && !drained[m.Hello.VM]
}

// Pool is the upstreams of one service that may get requests.
type Pool struct {
	// Members are the agents; Candidates are theirs, in the same order.
	Agents    []*Agent
	Candidates []*upstreamselector.Candidate
}

// Table is the upstreams by service. It is immutable.
type Table map[string]*Pool

// Tracker keeps the members.
type Tracker struct {
	mu      sync.Mutex
	members map[string]*Agent
	drained map[string]bool
	table   atomic.Pointer[Table]
}

// New returns an empty tracker.
func New() *Tracker {
	t := &Tracker{members: map[string]*Agent{}, drained: map[string]bool{}}
	t.table.Store(&Table{})
	return t
}

// Pool returns the upstreams of a service, or nil.
func (t *Tracker) Pool(service string) *Pool { return (*t.table.Load())[service] }

// Add adds a member, in the place of an earlier connection of its VM.
func (t *Tracker) Add(m *Agent) *Agent {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.members[m.Hello.VM]
	t.members[m.Hello.VM] = m
	t.rebuild()
	return old
}

// Remove removes a member and returns true, unless a later connection of its
// VM has taken its place.
func (t *Tracker) Remove(m *Agent) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.members[m.Hello.VM] != m {
		return false
	}
	delete(t.members, m.Hello.VM)
	t.rebuild()
	return true
}

// Get returns the member of a VM, or nil.
func (t *Tracker) Get(vm string) *Agent {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members[vm]
}

// List returns the members by name.
func (t *Tracker) List() []*Agent {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*Agent, 0, len(t.members))
	for _, m := range t.members {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Hello.VM < list[j].Hello.VM })
	return list
}

// Drain notes whether a VM may get requests.
func (t *Tracker) SetDrained(vm string, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drained[vm] = on
	t.rebuild()
}

// Rebuild makes the table anew after a heartbeat that changed it.
func (t *Tracker) Rebuild() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rebuild()
}

func (t *Tracker) rebuild() {
	table := Table{}
	for _, m := range t.members {
		if m.Hello.Service == "" || !m.open(t.drained) {
			continue
		}
		pool := table[m.Hello.Service]
		if pool == nil {
			pool = &Pool{}
			table[m.Hello.Service] = pool
		}
		pool.Agents = append(pool.Agents, m)
		pool.Candidates = append(pool.Candidates, &m.Candidate)
	}
	t.table.Store(&table)
}
