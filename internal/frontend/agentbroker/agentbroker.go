// Package agentbroker holds an entry's connections to agents: it answers
// heartbeats with what the log says of their sessions, and carries reports to
// the leader and orders to the agents.
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
	// Silence ends a connection on which nothing came: several heartbeats.
	IdleTimeout = 2 * time.Second
	// queue is how many packets may wait for a connection.
	queue = 256
)

// Switchboard holds the connections of agents.
type Server struct {
	Follower *logfollower.Follower
	Leader   *leader.Leader
	Logger   hclog.Logger

	mu    sync.Mutex
	links map[string]*link
}

// link is the connection of one VM's agent.
type link struct {
	conn  *framer.Conn
	hello *work.Hello
	out   chan *work.Packet
	done  chan struct{}
}

// Init prepares the switchboard.
func (s *Server) Init() { s.links = map[string]*link{} }

// ServeHTTP takes the connection of an agent and holds it until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := framer.Accept(w, r, IdleTimeout)
	if err != nil {
		s.Logger.Warn("no connection with an agent", "peer", r.RemoteAddr, "error", err.Error())
		return
	}
	l := &link{conn: conn, out: make(chan *work.Packet, queue), done: make(chan struct{})}
	go s.send(l)
	s.receive(l)
	close(l.done)
	conn.Close()
	s.remove(l)
}

func (s *Server) send(l *link) {
	for {
		select {
		case p := <-l.out:
			if err := l.conn.SendValue(p); err != nil {
				l.conn.Close()
				return
			}
		case <-l.done:
			return
		}
	}
}

func (s *Server) receive(l *link) {
	for {
		var p work.Packet
		if err := l.conn.ReceiveValue(&p); err != nil {
			if l.hello != nil {
				s.Logger.Info("agent lost", "vm", l.hello.WorkerStatus.VM, "error", err.Error())
			}
			return
		}
		s.handle(l, &p)
	}
}

func (s *Server) handle(l *link, p *work.Packet) {
	if p.Hello != nil {
		s.greet(l, p.Hello)
	}
	if p.Heartbeat != nil {
		s.beat(l, p.Heartbeat)
	}
	if p.Report != nil && l.hello != nil {
		s.Leader.With(func(b *planner.Planner, now time.Time) { b.HandleReport(l.hello.WorkerStatus.VM, p.Report, now) })
	}
}

// greet takes the introduction of an agent. The newest connection of a VM counts.
func (s *Server) greet(l *link, h *work.Hello) {
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
	s.Logger.Info("agent linked", "vm", h.WorkerStatus.VM, "born", h.WorkerStatus.Incarnation, "agent", h.AgentIncarnation)
	s.Leader.With(func(b *planner.Planner, now time.Time) { b.RegisterAgent(h, now) })
}

func (s *Server) remove(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.hello == nil || s.links[l.hello.WorkerStatus.VM] != l {
		return
	}
	delete(s.links, l.hello.WorkerStatus.VM)
	vm := l.hello.WorkerStatus.VM
	go s.Leader.With(func(b *planner.Planner, _ time.Time) { b.DisconnectAgent(vm) })
}

// beat answers a heartbeat.
func (s *Server) beat(l *link, beat *work.Heartbeat) {
	s.post(l, &work.Packet{HeartbeatReply: s.evidence(beat)})
	s.Leader.With(func(b *planner.Planner, now time.Time) { b.RecordHeartbeat(beat.VM, now) })
}

// evidence tells an agent what the log says of its session.
func (s *Server) evidence(beat *work.Heartbeat) *work.HeartbeatReply {
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

// post queues a packet. A connection that does not keep up is closed.
func (s *Server) post(l *link, p *work.Packet) {
	select {
	case l.out <- p:
	case <-l.done:
	default:
		s.Logger.Warn("agent does not read; connection closed")
		l.conn.Close()
	}
}

func (s *Server) find(vm string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[vm]
}

// SendOrders sends orders to the agent of a VM. Without a connection they are
// dropped: the next report of the agent brings them up again.
func (s *Server) SendOrders(vm string, o *work.Commands) {
	if l := s.find(vm); l != nil {
		s.post(l, &work.Packet{Commands: o})
	}
}

// SendGrant sends a session to the agent of a VM.
func (s *Server) SendGrant(vm string, g *work.Grant) {
	if l := s.find(vm); l != nil {
		s.post(l, &work.Packet{Grant: g})
	}
}

// Hellos returns the introductions of all agents.
func (s *Server) Hellos() []*work.Hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hellos []*work.Hello
	for _, l := range s.links {
		hellos = append(hellos, l.hello)
	}
	return hellos
}

// Announce tells all agents whether this entry leads.
func (s *Server) Announce() {
	s.mu.Lock()
	links := make([]*link, 0, len(s.links))
	for _, l := range s.links {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		s.post(l, &work.Packet{HeartbeatReply: s.evidence(&work.Heartbeat{VM: l.hello.WorkerStatus.VM})})
	}
}
