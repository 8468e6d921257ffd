// Package agenttracker keeps the agents that are connected to an entry. The
// request path reads the upstreams from an immutable table without a lock; a
// change replaces the table as a whole.
package agenttracker

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"knapweedspur/internal/policy/upstreamselector"
	"knapweedspur/internal/wire/message"
)

// Sender sends frames to one agent.
type Sender interface {
	// Send sends a frame to the agent at once.
	Send(f *message.Frame) error
	// Queue queues a frame for sending. It returns false if the queue is full.
	Queue(f *message.Frame) bool
}

// Agent is one connected agent.
type Agent struct {
	// Hello is the first frame of the agent, in which it introduced itself.
	Hello message.Hello
	// Sender sends frames to the agent.
	Sender Sender
	// Candidate is the agent's upstream as the routing policy sees it.
	Candidate upstreamselector.Candidate
	// ConnectedAt is when the agent connected.
	ConnectedAt time.Time

	heartbeat atomic.Pointer[message.Heartbeat]
	lastHeard atomic.Int64
	leaving   atomic.Bool
}

// Heartbeat returns the newest heartbeat, or nil before the first.
func (a *Agent) Heartbeat() *message.Heartbeat { return a.heartbeat.Load() }

// LastHeard returns when the last heartbeat arrived.
func (a *Agent) LastHeard() time.Time { return time.Unix(0, a.lastHeard.Load()) }

// RecordHeartbeat records a heartbeat. It returns true if the table must be
// rebuilt. An agent that was leaving once never gets requests on this connection
// again.
func (a *Agent) RecordHeartbeat(now time.Time, h *message.Heartbeat) bool {
	old := a.heartbeat.Swap(h)
	a.lastHeard.Store(now.UnixNano())
	a.Candidate.SetRunning(h.Running)
	if h.Leaving {
		a.leaving.Store(true)
	}
	return old == nil || old.AcceptsRequests != h.AcceptsRequests || old.Leaving != h.Leaving
}

// acceptsRequests reports whether the agent's upstream may get requests.
func (a *Agent) acceptsRequests(drained map[string]bool) bool {
	h := a.heartbeat.Load()
	return h != nil && h.AcceptsRequests && !h.Leaving && !a.leaving.Load() && !drained[a.Hello.VM]
}

// Pool holds the upstreams of one service that may get requests.
type Pool struct {
	// Agents and Candidates are in the same order: Candidates[i] belongs to
	// Agents[i].
	Agents     []*Agent
	Candidates []*upstreamselector.Candidate
}

// Table holds the upstreams by service. It is immutable.
type Table map[string]*Pool

// Tracker keeps the connected agents. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	agents  map[string]*Agent
	drained map[string]bool
	table   atomic.Pointer[Table]
}

// New returns an empty tracker.
func New() *Tracker {
	t := &Tracker{agents: map[string]*Agent{}, drained: map[string]bool{}}
	t.table.Store(&Table{})
	return t
}

// Pool returns the upstreams of a service, or nil.
func (t *Tracker) Pool(service string) *Pool { return (*t.table.Load())[service] }

// Add adds an agent. It replaces an earlier connection of the same VM and
// returns it, or nil if there was none.
func (t *Tracker) Add(a *Agent) *Agent {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.agents[a.Hello.VM]
	t.agents[a.Hello.VM] = a
	t.rebuild()
	return old
}

// Remove removes an agent. It returns false if a later connection of the same VM
// has replaced the agent already.
func (t *Tracker) Remove(a *Agent) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.agents[a.Hello.VM] != a {
		return false
	}
	delete(t.agents, a.Hello.VM)
	t.rebuild()
	return true
}

// Get returns the agent of a VM, or nil if none is connected.
func (t *Tracker) Get(vm string) *Agent {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.agents[vm]
}

// List returns the agents sorted by VM.
func (t *Tracker) List() []*Agent {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*Agent, 0, len(t.agents))
	for _, a := range t.agents {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Hello.VM < list[j].Hello.VM })
	return list
}

// SetDrained sets whether a VM is drained. A drained VM gets no requests.
func (t *Tracker) SetDrained(vm string, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drained[vm] = on
	t.rebuild()
}

// Rebuild rebuilds the table after a heartbeat for which RecordHeartbeat returned
// true.
func (t *Tracker) Rebuild() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rebuild()
}

func (t *Tracker) rebuild() {
	table := Table{}
	for _, a := range t.agents {
		if a.Hello.Service == "" || !a.acceptsRequests(t.drained) {
			continue
		}
		pool := table[a.Hello.Service]
		if pool == nil {
			pool = &Pool{}
			table[a.Hello.Service] = pool
		}
		pool.Agents = append(pool.Agents, a)
		pool.Candidates = append(pool.Candidates, &a.Candidate)
	}
	t.table.Store(&table)
}
