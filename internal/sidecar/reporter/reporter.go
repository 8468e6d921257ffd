// Package reporter maintains an agent's connections to the entries. It sends
// heartbeats to each of them and reports to the leader.
package reporter

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/link/framer"
	"knapweedspur/internal/sidecar/supervisor"
	"knapweedspur/internal/wire/work"
)

const (
	// heartbeatInterval is the interval of heartbeats on each connection. The
	// lease is extended from the newest answer on any of them.
	heartbeatInterval = 300 * time.Millisecond
	// urgentHeartbeatInterval replaces heartbeatInterval while no entry has
	// confirmed the current session yet.
	urgentHeartbeatInterval = 40 * time.Millisecond
	// maxReportInterval is the longest time between two reports.
	maxReportInterval = 400 * time.Millisecond
	// minReportInterval is the shortest time between two reports.
	minReportInterval = 8 * time.Millisecond
	// connIdleTimeout is how long a connection may receive nothing before it is
	// closed.
	connIdleTimeout = 1500 * time.Millisecond
	// dialTimeout bounds a new connection.
	dialTimeout = 700 * time.Millisecond
	// minBackoff and maxBackoff bound the pause before a reconnect.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// discoveryInterval is how often the list of entries is read while no
	// leader is connected.
	discoveryInterval = time.Second
	// maxEntries limits the connections of an agent, apart from the one to the
	// leader.
	maxEntries = 32
)

// Finder reads the list of entries from the platform.
type Finder interface {
	// Find returns the addresses of entries that announced themselves.
	Find(ctx context.Context) ([]netip.AddrPort, error)
}

// EntryClient connects an agent with the entries.
type EntryClient struct {
	Supervisor *supervisor.Supervisor
	Finder     Finder
	Client     *http.Client
	Logger     hclog.Logger
	// AgentIncarnation identifies this agent process; it changes with each start.
	AgentIncarnation string
	// Host is the machine that the agent runs on: a worker that starts there
	// replaces the previous one.
	Host string
	// Done is closed when Run has returned.
	Done chan struct{}

	// runCtx is the context of Run. Work that an entry requested uses it, so
	// that the work continues when the connection to that entry ends.
	runCtx         context.Context
	group          sync.WaitGroup
	mu             sync.Mutex
	links          map[netip.AddrPort]*link
	reportRequests chan struct{}
	// heartbeatNow is closed to send heartbeats without waiting for the next
	// interval.
	heartbeatNow chan struct{}
}

// link maintains the connection to one entry, across reconnects. conn is nil while
// there is none.
type link struct {
	address netip.AddrPort

	mu    sync.Mutex
	conn  *framer.Conn
	leads bool
	epoch int64
	// introducedWorker identifies the worker process that the entry was told of.
	introducedWorker work.WorkerStatus
	// sent holds the unanswered heartbeats by number.
	sent       map[int64]sentHeartbeat
	lastNumber int64
}

type sentHeartbeat struct {
	heartbeat *work.Heartbeat
	at        time.Duration
}

// Init prepares the client. It must be called before any other method.
func (c *EntryClient) Init() {
	c.Done = make(chan struct{})
	c.links = map[netip.AddrPort]*link{}
	c.reportRequests = make(chan struct{}, 1)
	c.heartbeatNow = make(chan struct{})
}

// RequestReport requests a report to the leader as soon as the minimum interval
// allows.
func (c *EntryClient) RequestReport() {
	select {
	case c.reportRequests <- struct{}{}:
	default:
	}
}

// Run maintains the connections until the context ends.
func (c *EntryClient) Run(ctx context.Context) {
	defer close(c.Done)
	c.runCtx = ctx
	c.group.Go(func() { c.discoverEntries(ctx) })
	c.sendReports(ctx)
	c.group.Wait()
}

// discoverEntries reads the list of entries while no leader is connected, ten
// times as often while the list is empty or cannot be read.
func (c *EntryClient) discoverEntries(ctx context.Context) {
	failed := false
	for ctx.Err() == nil {
		if c.leader() == nil {
			entries, err := c.Finder.Find(ctx)
			if err != nil && !failed {
				c.Logger.Warn("cannot read the list of entries", "error", err.Error())
			}
			if err == nil && failed {
				c.Logger.Info("list of entries can be read again", "entries", len(entries))
			}
			failed = err != nil
			for _, address := range entries {
				c.connect(address)
			}
			if len(entries) == 0 {
				waiter.Sleep(ctx, discoveryInterval/10)
				continue
			}
		}
		waiter.Sleep(ctx, discoveryInterval)
	}
}

// connect opens a connection to an entry unless there is one, up to the limit.
func (c *EntryClient) connect(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[address] == nil && len(c.links) < maxEntries {
		c.openLocked(address)
	}
}

// connectLeader opens a connection to the leader unless there is one,
// regardless of the limit.
func (c *EntryClient) connectLeader(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address.IsValid() && c.links[address] == nil {
		c.openLocked(address)
	}
}

// openLocked starts to maintain a connection. The caller holds the lock.
func (c *EntryClient) openLocked(address netip.AddrPort) {
	if c.runCtx.Err() != nil {
		return
	}
	l := &link{address: address}
	c.links[address] = l
	c.group.Go(func() { c.maintainConnection(l) })
}

// maintainConnection connects to an entry, and reconnects with a backoff.
func (c *EntryClient) maintainConnection(l *link) {
	ctx := c.runCtx
	backoff := minBackoff
	for ctx.Err() == nil {
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		conn, err := framer.Dial(dialCtx, c.Client, "ws", l.address, nil, connIdleTimeout)
		cancel()
		if err != nil {
			waiter.Sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		c.Logger.Info("connected to entry", "entry", l.address.String())
		c.serve(ctx, l, conn)
		c.Logger.Info("connection to entry ended", "entry", l.address.String())
		waiter.Sleep(ctx, backoff)
	}
}

// serve uses a connection until it ends.
func (c *EntryClient) serve(ctx context.Context, l *link, conn *framer.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.conn, l.leads, l.introducedWorker, l.sent = conn, false, work.WorkerStatus{}, map[int64]sentHeartbeat{}
	l.mu.Unlock()
	go func() {
		c.sendHeartbeats(ctx, l)
		conn.Close()
	}()
	for {
		var p work.Packet
		if err := conn.ReceiveValue(&p); err != nil {
			break
		}
		c.handle(l, &p)
	}
	conn.Close()
	l.mu.Lock()
	l.conn, l.leads = nil, false
	l.mu.Unlock()
}

// sendHeartbeats sends heartbeats, and a hello for each new worker process.
func (c *EntryClient) sendHeartbeats(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		if !c.sendHello(l) || !c.sendHeartbeat(l) {
			return
		}
		interval := heartbeatInterval
		if c.Supervisor.AwaitsConfirmation() {
			interval = urgentHeartbeatInterval
		}
		c.waitForHeartbeat(ctx, interval)
	}
}

// waitForHeartbeat waits until the next heartbeat is due: after d, or at once
// when a session starts.
func (c *EntryClient) waitForHeartbeat(ctx context.Context, d time.Duration) {
	c.mu.Lock()
	heartbeatNow := c.heartbeatNow
	c.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-heartbeatNow:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// SendHeartbeatsNow sends a heartbeat on every connection without waiting for
// the next interval.
func (c *EntryClient) SendHeartbeatsNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.heartbeatNow)
	c.heartbeatNow = make(chan struct{})
}

// sendHello introduces the worker to the entry unless the entry was told of the
// current worker process. It returns false if the connection is unusable.
func (c *EntryClient) sendHello(l *link) bool {
	status, ok := c.Supervisor.WorkerStatus()
	if !ok {
		return true
	}
	l.mu.Lock()
	known := l.introducedWorker.VM == status.VM && l.introducedWorker.Incarnation == status.Incarnation
	l.introducedWorker = status
	conn := l.conn
	l.mu.Unlock()
	if known || conn == nil {
		return conn != nil
	}
	return conn.SendValue(&work.Packet{Hello: &work.Hello{WorkerStatus: status, AgentIncarnation: c.AgentIncarnation, Host: c.Host}}) == nil
}

func (c *EntryClient) sendHeartbeat(l *link) bool {
	l.mu.Lock()
	conn := l.conn
	l.lastNumber++
	heartbeat := c.Supervisor.NewHeartbeat(l.lastNumber)
	l.sent[l.lastNumber] = sentHeartbeat{heartbeat, c.Supervisor.Clock()}
	delete(l.sent, l.lastNumber-maxUnansweredHeartbeats)
	l.mu.Unlock()
	return conn != nil && conn.SendValue(&work.Packet{Heartbeat: heartbeat}) == nil
}

// maxUnansweredHeartbeats is how many heartbeats of a connection are kept until
// their answer arrives.
const maxUnansweredHeartbeats = 16

func (c *EntryClient) handle(l *link, p *work.Packet) {
	if reply := p.HeartbeatReply; reply != nil {
		c.handleHeartbeatReply(l, reply)
		c.connectLeader(reply.Leader)
		for _, address := range reply.Entries {
			c.connect(address)
		}
	}
	if p.Grant != nil {
		c.Supervisor.AcceptGrant(p.Grant)
	}
	if p.Commands != nil {
		c.Supervisor.HandleCommands(c.runCtx, p.Commands)
	}
}

// handleHeartbeatReply handles the answer to a heartbeat. The age of the entry's
// view is subtracted from the time at which the heartbeat was sent, which can only
// make the confirmation older than it is.
func (c *EntryClient) handleHeartbeatReply(l *link, reply *work.HeartbeatReply) {
	l.mu.Lock()
	newLeader := reply.IsLeader && (!l.leads || l.epoch != reply.Epoch)
	l.leads, l.epoch = reply.IsLeader, reply.Epoch
	sent, ok := l.sent[reply.Number]
	delete(l.sent, reply.Number)
	l.mu.Unlock()
	if newLeader {
		c.Logger.Info("leader found", "entry", l.address.String(), "epoch", reply.Epoch)
		c.RequestReport()
	}
	// The requests come first: a session that is confirmed may start tasks at once.
	if ok && reply.Evacuation != nil {
		c.Supervisor.RecordEvacuation(reply.Evacuation, sent.at-reply.Evacuation.Age)
	}
	if ok && reply.SessionValid {
		c.Supervisor.RecordConfirmation(sent.heartbeat, sent.at-reply.Age)
	}
}

// leader returns the connection to the leader of the highest term, nil for none.
func (c *EntryClient) leader() *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found *link
	var epoch int64
	for _, l := range c.links {
		l.mu.Lock()
		if l.leads && l.conn != nil && (found == nil || l.epoch > epoch) {
			found, epoch = l, l.epoch
		}
		l.mu.Unlock()
	}
	return found
}

// sendReports sends reports to the leader: on changes, and at least once per
// maxReportInterval.
func (c *EntryClient) sendReports(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(maxReportInterval)
		select {
		case <-c.reportRequests:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		c.sendReport()
		waiter.Sleep(ctx, minReportInterval)
	}
}

func (c *EntryClient) sendReport() {
	l := c.leader()
	if l == nil || !c.sendHello(l) {
		return
	}
	l.mu.Lock()
	conn, epoch := l.conn, l.epoch
	l.mu.Unlock()
	report := c.Supervisor.Report(epoch)
	if report == nil || conn == nil {
		return
	}
	if err := conn.SendValue(&work.Packet{Report: report}); err != nil {
		conn.Close()
	}
}
