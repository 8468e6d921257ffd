// Package agentacceptor takes the connections of agents on an entry.
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
	// queueSize is how many control frames may wait for one agent.
	queueSize = 256
	// helloTimeout is how long an agent may take for its first frame.
	helloTimeout = 5 * time.Second
	// quietShare is the part of the silence after which an agent is answered
	// though nothing has changed.
	quietShare = 3
	// rejoinPause is the least time between two joins offered for an agent.
	rejoinPause = 2 * time.Second
)

// Linker takes connections. Set the exported fields before use.
type Acceptor struct {
	// Tracker holds the members.
	Tracker *agenttracker.Tracker
	// Driver is told what agents say.
	Driver *schedulerdriver.Driver
	// Catalog holds the declarations.
	Catalog *configcataloger.Cataloger
	// Domain is the entry's own failure domain.
	Domain string
	// Silence is how long an agent may say nothing.
	SilenceTimeout time.Duration
	// Logger takes what happens.
	Logger hclog.Logger

	mu    sync.Mutex
	links map[*link]struct{}
	ended bool
}

// link is one connection.
type link struct {
	*Acceptor
	conn     *framer.Conn
	exchange *forwarder.Exchange
	queue    chan *message.Frame
	member   *agenttracker.Agent
	joined   time.Time
	entries  []netip.AddrPort
	last     message.AgentConfig
	replied  time.Time
}

// Send sends a frame at once.
func (l *link) Send(f *message.Frame) error {
	err := l.conn.Send(f)
	if err != nil {
		l.conn.Close()
	}
	return err
}

// Queue sends a frame later.
func (l *link) Queue(f *message.Frame) bool {
	select {
	case l.queue <- f:
		return true
	default:
		return false
	}
}

// Exchange returns the requests that wait on the connection.
func (l *link) Exchange() *forwarder.Exchange { return l.exchange }

// ServeHTTP takes one connection and serves it until it ends.
func (k *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := framer.Accept(w, r, k.SilenceTimeout)
	if err != nil {
		k.Logger.Debug("no connection with an agent", "error", err)
		return
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	defer cancel()
	l := &link{Acceptor: k, conn: conn, exchange: forwarder.NewExchange(), queue: make(chan *message.Frame, queueSize)}
	if !k.hold(l) {
		return
	}
	defer k.drop(l)
	hello, err := l.hello()
	if err != nil {
		k.Logger.Warn("an agent did not say who it is", "error", err)
		return
	}
	go l.send(ctx)
	l.serve(hello)
}

func (k *Acceptor) hold(l *link) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.links == nil {
		k.links = map[*link]struct{}{}
	}
	k.links[l] = struct{}{}
	return !k.ended
}

func (k *Acceptor) drop(l *link) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.links, l)
}

// Close ends all connections.
func (k *Acceptor) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	for l := range k.links {
		l.conn.Close()
	}
}

func (l *link) hello() (*message.Hello, error) {
	defer time.AfterFunc(helloTimeout, l.conn.Close).Stop()
	f, err := l.conn.Receive()
	if err != nil {
		return nil, err
	}
	if f.Hello == nil || f.Hello.VM == "" {
		return nil, errNoHello
	}
	return f.Hello, nil
}

// send writes queued frames.
func (l *link) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.queue:
			if l.Send(f) != nil {
				return
			}
		}
	}
}

// serve adds the member and handles its frames until the connection ends.
func (l *link) serve(hello *message.Hello) {
	now := time.Now()
	l.member = &agenttracker.Agent{Hello: *hello, Sender: l, ConnectedAt: now}
	l.member.Candidate.VM = hello.VM
	l.member.Candidate.SameDomain = hello.Domain == l.Domain
	if old := l.Tracker.Add(l.member); old != nil {
		old.Sender.(*link).conn.Close()
	}
	l.Driver.Notify(now, scheduler.AgentConnected{VM: hello.VM})
	l.Logger.Info("agent connected", "vm", hello.VM, "domain", hello.Domain, "service", hello.Service)
	err := l.receive()
	l.exchange.Close()
	if l.Tracker.Remove(l.member) {
		l.Driver.Notify(time.Now(), scheduler.AgentDisconnected{VM: hello.VM})
	}
	l.Logger.Info("agent disconnected", "vm", hello.VM, "error", err)
}

func (l *link) receive() error {
	for {
		f, err := l.conn.Receive()
		if err != nil {
			return err
		}
		if !l.handle(time.Now(), f) {
			return errCredit
		}
	}
}

// handle takes one frame. It returns false if the agent broke the protocol.
func (l *link) handle(now time.Time, f *message.Frame) bool {
	vm := l.member.Hello.VM
	switch {
	case f.Answer != nil:
		return l.exchange.Deliver(f.Answer)
	case f.Heartbeat != nil || f.Probe != nil:
		l.beat(now, f)
	case f.Started != nil:
		l.Driver.Notify(now, scheduler.StartsAcked{VM: vm, Attempts: f.Started.Attempts})
	case f.Report != nil:
		l.Driver.Notify(now, scheduler.ClosesReported{VM: vm, Closes: f.Report.Closes})
	case f.Rejoin != nil:
		l.rejoin(now, f.Rejoin)
	}
	return true
}

// beat takes a heartbeat and a probe, and answers both with one frame. A
// heartbeat alone is answered when the setting has changed, and now and then
// so that the agent hears something.
func (l *link) beat(now time.Time, f *message.Frame) {
	reply := &message.Frame{}
	if h := f.Heartbeat; h != nil {
		if l.member.RecordHeartbeat(now, h) {
			l.Tracker.Rebuild()
		}
		l.Driver.Notify(now, scheduler.HeartbeatReceived{VM: l.member.Hello.VM, Lease: h.Lease})
		reply.AgentConfig = l.setting()
	}
	if f.Probe != nil {
		reply.LeaseView = l.Driver.LeaseView(now, l.member.Hello.VM, f.Probe)
	}
	if reply.LeaseView == nil && reply.AgentConfig == nil && now.Sub(l.replied) < l.SilenceTimeout/quietShare {
		return
	}
	l.replied = now
	if reply.LeaseView == nil && reply.AgentConfig == nil {
		unchanged := l.last
		reply.AgentConfig = &unchanged
	}
	l.Queue(reply)
}

// setting returns the part of the configuration that the agent needs, or nil
// if it is unchanged. The entries alive go along when they have changed.
func (l *link) setting() *message.AgentConfig {
	s := message.AgentConfig{}
	if c := l.Catalog.Current(); c != nil {
		s.Offset = c.Next
		if spec := c.Service(l.member.Hello.Service); spec != nil {
			s.Slots = spec.Slots
			s.Connections = spec.Connections
		}
	}
	changed := s.Offset != l.last.Offset || s.Slots != l.last.Slots || s.Connections != l.last.Connections
	l.last = s
	entries := l.Driver.Entries()
	slices.SortFunc(entries, netip.AddrPort.Compare)
	if len(entries) > 0 && !slices.Equal(entries, l.entries) {
		s.Entries = entries
		l.entries = entries
		changed = true
	}
	if !changed {
		return nil
	}
	return &s
}

// rejoin offers a join record for an agent.
func (l *link) rejoin(now time.Time, r *message.Rejoin) {
	if now.Sub(l.joined) < rejoinPause {
		return
	}
	l.joined = now
	h := &l.member.Hello
	l.Driver.Appender.Enqueue(message.Record{Join: &message.Join{
		VM: h.VM, Boot: r.Boot, Lease: r.Lease, Agent: r.Agent, Size: r.Size, Rack: h.Rack, Domain: h.Domain, HeldAttempts: r.HeldAttempts,
	}})
}
