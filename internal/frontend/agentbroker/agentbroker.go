// Package agentbroker manages an entry's connections to agents. It answers
// heartbeats with the state of the agent's session in the log, and forwards
// reports to the leader and commands to the agents.
package agentbroker

import (
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/leader"
	"knapweedspur/internal/job/logfollower"
	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/link/framer"
	"knapweedspur/internal/wire/work"
)

const (
	// IdleTimeout is how long a connection may receive nothing before it is
	// closed: several heartbeat intervals.
	IdleTimeout = 2 * time.Second
	// maxQueuedPackets bounds the outgoing packets that wait on a connection.
	maxQueuedPackets = 256
)

// Broker holds the connections of agents.
type Broker struct {
	Follower *logfollower.Follower
	Leader   *leader.Leader
	// Evacuation returns the evacuated failure domains, nil while they are not known.
	// If it is nil, they are never known.
	Evacuation func() *work.Evacuation
	Logger     hclog.Logger

	// mu may be locked while the leader holds its lock, not the other way round.
	mu    sync.Mutex
	conns map[string]*agentConn
}

// agentConn is the connection to the agent of one VM. Its hello is nil until the
// agent has sent one. Only the goroutine that receives writes it, under the broker's
// lock.
type agentConn struct {
	conn     *framer.Conn
	hello    *work.Hello
	outgoing chan *work.Packet
	done     chan struct{}
}

// Init prepares the broker. It must be called before any other method.
func (b *Broker) Init() { b.conns = map[string]*agentConn{} }

// ServeHTTP accepts the connection of an agent and serves it until it ends.
func (b *Broker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := framer.Accept(w, r, IdleTimeout)
	if err != nil {
		b.Logger.Warn("agent connection not accepted", "peer", r.RemoteAddr, "error", err.Error())
		return
	}
	c := &agentConn{conn: conn, outgoing: make(chan *work.Packet, maxQueuedPackets), done: make(chan struct{})}
	go b.send(c)
	b.receive(c)
	close(c.done)
	conn.Close()
	b.remove(c)
}

func (b *Broker) send(c *agentConn) {
	for {
		select {
		case p := <-c.outgoing:
			if err := c.conn.SendValue(p); err != nil {
				c.conn.Close()
				return
			}
		case <-c.done:
			return
		}
	}
}

func (b *Broker) receive(c *agentConn) {
	for {
		var p work.Packet
		if err := c.conn.ReceiveValue(&p); err != nil {
			if c.hello != nil {
				b.Logger.Info("agent disconnected", "vm", c.hello.WorkerStatus.VM, "error", err.Error())
			}
			return
		}
		b.handlePacket(c, &p)
	}
}

func (b *Broker) handlePacket(c *agentConn, p *work.Packet) {
	if p.Hello != nil {
		b.register(c, p.Hello)
	}
	if p.Heartbeat != nil {
		b.handleHeartbeat(c, p.Heartbeat)
	}
	if p.Report != nil && c.hello != nil {
		b.Leader.WithPlanner(func(pl *planner.Planner, now time.Time) { pl.HandleReport(c.hello.WorkerStatus.VM, p.Report, now) })
	}
}

// register handles the hello packet of an agent. The newest connection of a VM
// replaces an earlier one.
func (b *Broker) register(c *agentConn, h *work.Hello) {
	b.mu.Lock()
	if c.hello != nil && b.conns[c.hello.WorkerStatus.VM] == c {
		delete(b.conns, c.hello.WorkerStatus.VM)
	}
	c.hello = h
	if c.conn != nil {
		c.conn.Identify(time.Now())
	}
	old := b.conns[h.WorkerStatus.VM]
	b.conns[h.WorkerStatus.VM] = c
	b.mu.Unlock()
	if old != nil && old != c {
		old.conn.Close()
	}
	b.Logger.Info("agent connected", "vm", h.WorkerStatus.VM, "born", h.WorkerStatus.Incarnation, "agent", h.AgentIncarnation)
	b.Leader.WithPlanner(func(pl *planner.Planner, now time.Time) {
		if b.connTo(h.WorkerStatus.VM) == c {
			pl.RegisterAgent(h, now)
		}
	})
}

// remove forgets a connection that has ended, unless a newer one has replaced it. The
// planner is told of the loss only if there is none by then: the agent introduces
// itself once for each connection.
func (b *Broker) remove(c *agentConn) {
	if c.hello == nil {
		return
	}
	vm := c.hello.WorkerStatus.VM
	b.mu.Lock()
	current := b.conns[vm] == c
	if current {
		delete(b.conns, vm)
	}
	b.mu.Unlock()
	if !current {
		return
	}
	b.Leader.WithPlanner(func(pl *planner.Planner, _ time.Time) {
		if b.connTo(vm) == nil {
			pl.DisconnectAgent(vm)
		}
	})
}

// handleHeartbeat answers a heartbeat.
func (b *Broker) handleHeartbeat(c *agentConn, heartbeat *work.Heartbeat) {
	b.enqueue(c, &work.Packet{HeartbeatReply: b.heartbeatReply(heartbeat)})
	b.Leader.WithPlanner(func(pl *planner.Planner, now time.Time) { pl.RecordHeartbeat(heartbeat.VM, now) })
}

// heartbeatReply returns what this entry's view of the log says of an agent's
// session, the leader and the entries.
func (b *Broker) heartbeatReply(heartbeat *work.Heartbeat) *work.HeartbeatReply {
	e := &work.HeartbeatReply{Number: heartbeat.Number}
	if b.Evacuation != nil {
		e.Evacuation = b.Evacuation()
	}
	leading := b.Leader.Leading()
	b.Follower.View(func(state *jobreducer.State, age time.Duration) {
		e.Age = age
		if session := state.Sessions[heartbeat.VM]; session != nil {
			e.SessionValid = session.Fence == heartbeat.Fence && session.WorkerIncarnation == heartbeat.WorkerIncarnation && !session.Revoked
		}
		if state.Term != nil {
			e.Epoch, e.Leader = state.Term.Epoch, state.Term.Address
		}
		for _, m := range state.Members {
			e.Entries = append(e.Entries, m.Address)
		}
	})
	if leading != 0 {
		e.IsLeader, e.Epoch = true, leading
	}
	slices.SortFunc(e.Entries, netip.AddrPort.Compare)
	return e
}

// enqueue queues a packet for sending. A connection whose queue is full is closed.
func (b *Broker) enqueue(c *agentConn, p *work.Packet) {
	select {
	case c.outgoing <- p:
	case <-c.done:
	default:
		b.Logger.Warn("agent connection closed because its outgoing queue is full")
		c.conn.Close()
	}
}

func (b *Broker) connTo(vm string) *agentConn {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conns[vm]
}

// SendCommands sends commands to the agent of a VM. Without a connection they are
// dropped: the next report of the agent causes them to be sent again.
func (b *Broker) SendCommands(vm string, commands *work.Commands) {
	if c := b.connTo(vm); c != nil {
		b.enqueue(c, &work.Packet{Commands: commands})
	}
}

// SendGrant sends the grant of a session to the agent of a VM.
func (b *Broker) SendGrant(vm string, g *work.Grant) {
	if c := b.connTo(vm); c != nil {
		b.enqueue(c, &work.Packet{Grant: g})
	}
}

// Hellos returns the hello packets of all connected agents.
func (b *Broker) Hellos() []*work.Hello {
	b.mu.Lock()
	defer b.mu.Unlock()
	var hellos []*work.Hello
	for _, c := range b.conns {
		hellos = append(hellos, c.hello)
	}
	return hellos
}

// Announce tells all connected agents whether this entry leads.
func (b *Broker) Announce() {
	b.mu.Lock()
	conns := maps.Clone(b.conns)
	b.mu.Unlock()
	for vm, c := range conns {
		b.enqueue(c, &work.Packet{HeartbeatReply: b.heartbeatReply(&work.Heartbeat{VM: vm})})
	}
}
