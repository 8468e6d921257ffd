// Package agentacceptor accepts the connections of agents on an entry and handles
// their frames.
package agentacceptor

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/config/configcataloger"
	"knapweedspur/internal/entry/agenttracker"
	"knapweedspur/internal/entry/schedulerdriver"
	"knapweedspur/internal/link/framer"
	"knapweedspur/internal/route/forwarder"
	"knapweedspur/internal/task/scheduler"
	"knapweedspur/internal/wire/message"
)

const (
	// queueSize is how many control frames may be queued for one agent.
	queueSize = 256
	// helloTimeout is how long an agent may take for its first frame.
	helloTimeout = 5 * time.Second
	// keepaliveDivisor divides the idle timeout: after this part of it (1/3)
	// without a reply, a heartbeat is answered although nothing has changed.
	keepaliveDivisor = 3
	// rejoinInterval is the minimum time between two join records for an agent.
	rejoinInterval = 2 * time.Second
)

// Acceptor accepts connections of agents. Set the exported fields before use.
type Acceptor struct {
	// Tracker holds the connected agents.
	Tracker *agenttracker.Tracker
	// Driver is notified of what agents report.
	Driver *schedulerdriver.Driver
	// Catalog holds the declarations.
	Catalog *configcataloger.Cataloger
	// Domain is the entry's own failure domain.
	Domain string
	// IdleTimeout is how long nothing may arrive from an agent before its
	// connection is closed.
	IdleTimeout time.Duration
	// Logger receives log messages.
	Logger hclog.Logger

	mu     sync.Mutex
	conns  map[*agentConn]struct{}
	closed bool
}

// agentConn is the connection of one agent.
type agentConn struct {
	*Acceptor
	conn        *framer.Conn
	exchange    *forwarder.Exchange
	queue       chan *message.Frame
	agent       *agenttracker.Agent
	lastJoin    time.Time
	lastEntries []netip.AddrPort
	lastConfig  message.AgentConfig
	lastReply   time.Time
}

// Send sends a frame at once. It closes the connection if that fails.
func (c *agentConn) Send(f *message.Frame) error {
	err := c.conn.Send(f)
	if err != nil {
		c.conn.Close()
	}
	return err
}

// Queue queues a frame for sending. It returns false if the queue is full.
func (c *agentConn) Queue(f *message.Frame) bool {
	select {
	case c.queue <- f:
		return true
	default:
		return false
	}
}

// Exchange returns the pending requests of the connection.
func (c *agentConn) Exchange() *forwarder.Exchange { return c.exchange }

// ServeHTTP accepts one connection and serves it until it ends.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := framer.Accept(w, r, a.IdleTimeout)
	if err != nil {
		a.Logger.Debug("cannot accept the connection of an agent", "error", err)
		return
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	defer cancel()
	c := &agentConn{Acceptor: a, conn: conn, exchange: forwarder.NewExchange(), queue: make(chan *message.Frame, queueSize)}
	if !a.register(c) {
		return
	}
	defer a.unregister(c)
	hello, err := c.receiveHello()
	if err != nil {
		a.Logger.Warn("agent did not introduce itself", "error", err)
		return
	}
	go c.sendQueued(ctx)
	c.serve(hello)
}

func (a *Acceptor) register(c *agentConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conns == nil {
		a.conns = map[*agentConn]struct{}{}
	}
	a.conns[c] = struct{}{}
	return !a.closed
}

func (a *Acceptor) unregister(c *agentConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
}

// Close closes all connections and refuses new ones.
func (a *Acceptor) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for c := range a.conns {
		c.conn.Close()
	}
}

func (c *agentConn) receiveHello() (*message.Hello, error) {
	defer time.AfterFunc(helloTimeout, c.conn.Close).Stop()
	f, err := c.conn.Receive()
	if err != nil {
		return nil, err
	}
	if f.Hello == nil || f.Hello.VM == "" {
		return nil, errNoHello
	}
	return f.Hello, nil
}

// sendQueued writes queued frames until the context ends or a write fails.
func (c *agentConn) sendQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.queue:
			if c.Send(f) != nil {
				return
			}
		}
	}
}

// serve adds the agent to the tracker and handles its frames until the connection
// ends.
func (c *agentConn) serve(hello *message.Hello) {
	now := time.Now()
	c.conn.Identify(now)
	c.agent = &agenttracker.Agent{Hello: *hello, Sender: c, ConnectedAt: now}
	c.agent.Candidate.VM = hello.VM
	c.agent.Candidate.SameDomain = hello.Domain == c.Domain
	if old := c.Tracker.Add(c.agent); old != nil {
		old.Sender.(*agentConn).conn.Close()
	}
	c.Driver.Notify(now, scheduler.AgentConnected{VM: hello.VM})
	c.Logger.Info("agent connected", "vm", hello.VM, "domain", hello.Domain, "service", hello.Service)
	err := c.receive()
	c.exchange.Close()
	if c.Tracker.Remove(c.agent) {
		c.Driver.Notify(time.Now(), scheduler.AgentDisconnected{VM: hello.VM})
	}
	c.Logger.Info("agent disconnected", "vm", hello.VM, "error", err)
}

func (c *agentConn) receive() error {
	for {
		f, err := c.conn.Receive()
		if err != nil {
			return err
		}
		if !c.handle(time.Now(), f) {
			return errCreditExceeded
		}
	}
}

// handle handles one frame. It returns false if the agent has sent more of an
// answer than it had credit for.
func (c *agentConn) handle(now time.Time, f *message.Frame) bool {
	vm := c.agent.Hello.VM
	switch {
	case f.Answer != nil:
		return c.exchange.Deliver(f.Answer)
	case f.Heartbeat != nil || f.Probe != nil:
		c.handleHeartbeat(now, f)
	case f.Started != nil:
		c.Driver.Notify(now, scheduler.StartsAcked{VM: vm, Attempts: f.Started.Attempts})
	case f.Report != nil:
		c.Driver.Notify(now, scheduler.ClosesReported{VM: vm, Closes: f.Report.Closes})
	case f.Rejoin != nil:
		c.rejoin(now, f.Rejoin)
	}
	return true
}

// handleHeartbeat handles a heartbeat, a probe or both, and replies with one
// frame. A heartbeat alone is answered when the agent's configuration has
// changed, and otherwise only often enough that the agent sees that the entry is
// alive.
func (c *agentConn) handleHeartbeat(now time.Time, f *message.Frame) {
	reply := &message.Frame{}
	if h := f.Heartbeat; h != nil {
		if c.agent.RecordHeartbeat(now, h) {
			c.Tracker.Rebuild()
		}
		c.Driver.Notify(now, scheduler.HeartbeatReceived{VM: c.agent.Hello.VM, Lease: h.Lease})
		reply.AgentConfig = c.configUpdate()
	}
	if f.Probe != nil {
		reply.LeaseView = c.Driver.LeaseView(now, c.agent.Hello.VM, f.Probe)
	}
	if reply.LeaseView == nil && reply.AgentConfig == nil && now.Sub(c.lastReply) < c.IdleTimeout/keepaliveDivisor {
		return
	}
	c.lastReply = now
	if reply.LeaseView == nil && reply.AgentConfig == nil {
		unchanged := c.lastConfig
		reply.AgentConfig = &unchanged
	}
	c.Queue(reply)
}

// configUpdate returns the part of the configuration that the agent needs, or nil
// if it is unchanged. The entries alive are included only if they have changed.
func (c *agentConn) configUpdate() *message.AgentConfig {
	s := message.AgentConfig{}
	if catalog := c.Catalog.Current(); catalog != nil {
		s.Offset = catalog.Next
		if spec := catalog.Service(c.agent.Hello.Service); spec != nil {
			s.Slots = spec.Slots
			s.Connections = spec.Connections
		}
	}
	changed := s.Offset != c.lastConfig.Offset || s.Slots != c.lastConfig.Slots || s.Connections != c.lastConfig.Connections
	c.lastConfig = s
	entries := c.Driver.Entries()
	slices.SortFunc(entries, netip.AddrPort.Compare)
	if len(entries) > 0 && !slices.Equal(entries, c.lastEntries) {
		s.Entries = entries
		c.lastEntries = entries
		changed = true
	}
	if !changed {
		return nil
	}
	return &s
}

// rejoin appends a join record for an agent.
func (c *agentConn) rejoin(now time.Time, r *message.Rejoin) {
	if now.Sub(c.lastJoin) < rejoinInterval {
		return
	}
	c.lastJoin = now
	h := &c.agent.Hello
	c.Driver.Appender.Enqueue(message.Record{Join: &message.Join{
		VM: h.VM, Boot: r.Boot, Lease: r.Lease, Agent: r.Agent, Size: r.Size, Rack: h.Rack, Domain: h.Domain, HeldAttempts: r.HeldAttempts,
	}})
}
