// Package agentbroker manages an entry's connections to agents. It answers
// heartbeats with the state of the agent's session in the log, and forwards
// reports to the leader and orders to the agents.
package agentbroker

import (
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

// Server holds the connections of agents.
type Broker struct {
	Follower *logfollower.Follower
	Leader   *leader.Leader
	Logger   hclog.Logger

	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to the agent of one VM. Hello is nil until the agent
// introduced itself.
type link struct {
	conn     *framer.Conn
	hello    *work.Hello
	outgoing chan *work.Packet
	done     chan struct{}
}

// Init prepares the server. It must be called before any other method.
func (s *Broker) Init() { s.links = map[string]*link{} }

// ServeHTTP accepts the connection of an agent and serves it until it ends.
func (s *Broker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := framer.Accept(w, r, IdleTimeout)
	if err != nil {
		s.Logger.Warn("agent connection not accepted", "peer", r.RemoteAddr, "error", err.Error())
		return
	}
	l := &link{conn: conn, outgoing: make(chan *work.Packet, maxQueuedPackets), done: make(chan struct{})}
	go s.send(l)
	s.receive(l)
	close(l.done)
	conn.Close()
	s.remove(l)
}

func (s *Broker) send(l *link) {
	for {
		select {
		case p := <-l.outgoing:
			if err := l.conn.SendValue(p); err != nil {
				l.conn.Close()
				return
			}
		case <-l.done:
			return
		}
	}
}

func (s *Broker) receive(l *link) {
	for {
		var p work.Packet
		if err := l.conn.ReceiveValue(&p); err != nil {
			if l.hello != nil {
				s.Logger.Info("agent disconnected", "vm", l.hello.WorkerStatus.VM, "error", err.Error())
			}
			return
		}
		s.handlePacket(l, &p)
	}
}

func (s *Broker) handlePacket(l *link, p *work.Packet) {
	if p.Hello != nil {
		s.register(l, p.Hello)
	}
	if p.Heartbeat != nil {
		s.handleHeartbeat(l, p.Heartbeat)
	}
	if p.Report != nil && l.hello != nil {
		s.Leader.WithPlanner(func(b *planner.Planner, now time.Time) { b.HandleReport(l.hello.WorkerStatus.VM, p.Report, now) })
	}
}

// register handles the introduction of an agent. The newest connection of a VM
// replaces an earlier one.
func (s *Broker) register(l *link, h *work.Hello) {
	s.mu.Lock()
	if l.hello != nil && s.links[l.hello.WorkerStatus.VM] == l {
		delete(s.links, l.hello.WorkerStatus.VM)
	}
	l.hello = h
	old := s.links[h.WorkerStatus.VM]
	s.links[h.WorkerStatus.VM] = l
	s.mu.Unlock()
	if old != nil && old != l {
		old.conn.Close()
	}
	s.Logger.Info("agent connected", "vm", h.WorkerStatus.VM, "born", h.WorkerStatus.Incarnation, "agent", h.AgentIncarnation)
	s.Leader.WithPlanner(func(b *planner.Planner, now time.Time) { b.RegisterAgent(h, now) })
}

func (s *Broker) remove(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.hello == nil || s.links[l.hello.WorkerStatus.VM] != l {
		return
	}
	delete(s.links, l.hello.WorkerStatus.VM)
	vm := l.hello.WorkerStatus.VM
	go s.Leader.WithPlanner(func(b *planner.Planner, _ time.Time) { b.DisconnectAgent(vm) })
}

// handleHeartbeat answers a heartbeat.
func (s *Broker) handleHeartbeat(l *link, beat *work.Heartbeat) {
	s.enqueue(l, &work.Packet{HeartbeatReply: s.evidence(beat)})
	s.Leader.WithPlanner(func(b *planner.Planner, now time.Time) { b.RecordHeartbeat(beat.VM, now) })
}

// evidence returns what this entry's view of the log says of an agent's session,
// the leader and the entries.
func (s *Broker) evidence(beat *work.Heartbeat) *work.HeartbeatReply {
	e := &work.HeartbeatReply{Number: beat.Number}
	leading := s.Leader.Leading()
	s.Follower.View(func(state *jobreducer.State, age time.Duration) {
		e.Age = age
		if session := state.Sessions[beat.VM]; session != nil {
			e.SessionValid = session.Fence == beat.Fence && session.WorkerIncarnation == beat.WorkerIncarnation && !session.Revoked
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
func (s *Broker) enqueue(l *link, p *work.Packet) {
	select {
	case l.outgoing <- p:
	case <-l.done:
	default:
		s.Logger.Warn("agent connection closed because its outgoing queue is full")
		l.conn.Close()
	}
}

func (s *Broker) linkTo(vm string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[vm]
}

// SendOrders sends orders to the agent of a VM. Without a connection they are
// dropped: the next report of the agent causes them to be sent again.
func (s *Broker) SendOrders(vm string, o *work.Commands) {
	if l := s.linkTo(vm); l != nil {
		s.enqueue(l, &work.Packet{Commands: o})
	}
}

// SendGrant sends the grant of a session to the agent of a VM.
func (s *Broker) SendGrant(vm string, g *work.Grant) {
	if l := s.linkTo(vm); l != nil {
		s.enqueue(l, &work.Packet{Grant: g})
	}
}

// Hellos returns the introductions of all connected agents.
func (s *Broker) Hellos() []*work.Hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hellos []*work.Hello
	for _, l := range s.links {
		hellos = append(hellos, l.hello)
	}
	return hellos
}

// Announce tells all connected agents whether this entry leads.
func (s *Broker) Announce() {
	s.mu.Lock()
	links := make([]*link, 0, len(s.links))
	for _, l := range s.links {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		s.enqueue(l, &work.Packet{HeartbeatReply: s.evidence(&work.Heartbeat{VM: l.hello.WorkerStatus.VM})})
	}
}
