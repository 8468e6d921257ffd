// Package reporter keeps an agent's connections to all entries: heartbeats to
// each, reports to the one that leads.
package reporter

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/clock/bootclock"
	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/link/framer"
	"knapweedspur/internal/sidecar/supervisor"
	"knapweedspur/internal/wire/work"
)

const (
	// beatEvery is the interval of heartbeats on each connection. A lease is
	// extended from the newest answer.
	beatEvery = 300 * time.Millisecond
	// beatSoon is the interval while a session waits for its first proof.
	beatSoon = 40 * time.Millisecond
	// reportEvery is the longest time between two reports.
	reportEvery = 400 * time.Millisecond
	// reportPause is the least time between two reports.
	reportPause = 8 * time.Millisecond
	// silence ends a connection on which nothing came.
	silence = 1500 * time.Millisecond
	// dialTimeout bounds a new connection.
	dialTimeout = 700 * time.Millisecond
	// firstBackoff and lastBackoff bound the pause after a lost connection.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = time.Second
	// seekEvery is how often the list of entries is read while none answers.
	seekEvery = time.Second
	// maxEntries bounds the connections of an agent.
	maxEntries = 32
)

// Finder reads the list of entries from the platform.
type Finder interface {
	// Find returns the addresses of entries that announced themselves.
	Find(ctx context.Context) ([]netip.AddrPort, error)
}

// Courier connects an agent with the entries.
type EntryClient struct {
	Supervisor *supervisor.Supervisor
	Finder Finder
	Client *http.Client
	Logger hclog.Logger
	// Agent is the life of this process.
	Agent string
	// Host is the name of the VM.
	Host string
	// Done is closed when Run has returned.
	Done chan struct{}

	// root is the context of Run: work that an entry asked for outlives the
	// connection that asked.
	root   context.Context
	group  sync.WaitGroup
	mu     sync.Mutex
	links  map[netip.AddrPort]*link
	report chan struct{}
	// nudge is closed when heartbeats should not wait.
	nudge chan struct{}
}

// link is the connection to one entry.
type link struct {
	address netip.AddrPort

	mu    sync.Mutex
	conn  *framer.Conn
	leads bool
	epoch int64
	// greeted is the worker's life that the entry knows of.
	greeted work.Vitals
	// sent holds the heartbeats without an answer.
	sent   map[int64]sentBeat
	number int64
}

type sentBeat struct {
	beat *work.Beat
	at   time.Duration
}

// Init prepares the courier.
func (c *EntryClient) Init() {
	c.Done = make(chan struct{})
	c.links = map[netip.AddrPort]*link{}
	c.report = make(chan struct{}, 1)
	c.nudge = make(chan struct{})
}

// Changed asks for a report soon.
func (c *EntryClient) RequestReport() {
	select {
	case c.report <- struct{}{}:
	default:
	}
}

// Run keeps the connections until the context ends.
func (c *EntryClient) Run(ctx context.Context) {
	defer close(c.Done)
	c.root = ctx
	c.group.Go(func() { c.seek(ctx) })
	c.reports(ctx)
	c.group.Wait()
}

// seek reads the list of entries, first often, then while none leads.
func (c *EntryClient) seek(ctx context.Context) {
	failed := false
	for ctx.Err() == nil {
		if c.leader() == nil {
			entries, err := c.Finder.Find(ctx)
			if err != nil && !failed {
				c.Logger.Warn("list of entries lost", "error", err.Error())
			}
			if err == nil && failed {
				c.Logger.Info("list of entries regained", "entries", len(entries))
			}
			failed = err != nil
			for _, address := range entries {
				c.connect(address)
			}
			if len(entries) == 0 {
				waiter.Pause(ctx, seekEvery/10)
				continue
			}
		}
		waiter.Pause(ctx, seekEvery)
	}
}

// connect begins a connection to an entry that has none.
func (c *EntryClient) connect(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[address] == nil && len(c.links) < maxEntries {
		c.open(address)
	}
}

// connectLeader begins a connection to the entry that leads, however many
// there are.
func (c *EntryClient) connectLeader(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address.IsValid() && c.links[address] == nil {
		c.open(address)
	}
}

// open begins a connection. The caller holds the lock.
func (c *EntryClient) open(address netip.AddrPort) {
	if c.root.Err() != nil {
		return
	}
	l := &link{address: address}
	c.links[address] = l
	c.group.Go(func() { c.keep(l) })
}

// keep dials an entry again and again.
func (c *EntryClient) keep(l *link) {
	ctx := c.root
	backoff := firstBackoff
	for ctx.Err() == nil {
		dial, cancel := context.WithTimeout(ctx, dialTimeout)
		conn, err := framer.Dial(dial, c.Client, "ws", l.address, nil, silence)
		cancel()
		if err != nil {
			waiter.Pause(ctx, backoff)
			backoff = min(2*backoff, lastBackoff)
			continue
		}
		backoff = firstBackoff
		c.Logger.Info("entry linked", "entry", l.address.String())
		c.serve(ctx, l, conn)
		c.Logger.Info("entry lost", "entry", l.address.String())
		waiter.Pause(ctx, backoff)
	}
}

// serve uses a connection until it ends.
func (c *EntryClient) serve(ctx context.Context, l *link, conn *framer.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.conn, l.leads, l.greeted, l.sent = conn, false, work.Vitals{}, map[int64]sentBeat{}
	l.mu.Unlock()
	go func() {
		c.beats(ctx, l)
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

// beats sends heartbeats, and introduces each life of the worker.
func (c *EntryClient) beats(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		if !c.greet(l) || !c.beat(l) {
			return
		}
		every := beatEvery
		if c.Supervisor.Unvouched() {
			every = beatSoon
		}
		c.await(ctx, every)
	}
}

// await waits for the next heartbeat, or for a session that has just begun.
func (c *EntryClient) await(ctx context.Context, d time.Duration) {
	c.mu.Lock()
	nudge := c.nudge
	c.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-nudge:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Begun sends heartbeats on all connections at once.
func (c *EntryClient) SendHeartbeatsNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.nudge)
	c.nudge = make(chan struct{})
}

// greet introduces the worker if the entry does not know its current life.
func (c *EntryClient) greet(l *link) bool {
	vitals, ok := c.Supervisor.Vitals()
	if !ok {
		return true
	}
	l.mu.Lock()
	known := l.greeted.VM == vitals.VM && l.greeted.Born == vitals.Born
	l.greeted = vitals
	conn := l.conn
	l.mu.Unlock()
	if known || conn == nil {
		return conn != nil
	}
	return conn.SendValue(&work.Packet{Hello: &work.Hello{Vitals: vitals, Agent: c.Agent, Host: c.Host}}) == nil
}

func (c *EntryClient) beat(l *link) bool {
	l.mu.Lock()
	conn := l.conn
	l.number++
	beat := c.Supervisor.Beat(l.number)
	l.sent[l.number] = sentBeat{beat, bootclock.Now()}
	delete(l.sent, l.number-beatsKept)
	l.mu.Unlock()
	return conn != nil && conn.SendValue(&work.Packet{Beat: beat}) == nil
}

// beatsKept is how many heartbeats may wait for an answer.
const beatsKept = 16

func (c *EntryClient) handle(l *link, p *work.Packet) {
	if e := p.Evidence; e != nil {
		c.evidence(l, e)
		c.connectLeader(e.Leader)
		for _, address := range e.Entries {
			c.connect(address)
		}
	}
	if p.Grant != nil {
		c.Supervisor.Grant(p.Grant)
	}
	if p.Orders != nil {
		c.Supervisor.Orders(c.root, p.Orders)
	}
}

// evidence takes the answer to a heartbeat.
func (c *EntryClient) evidence(l *link, e *work.Evidence) {
	l.mu.Lock()
	began := e.Leads && (!l.leads || l.epoch != e.Epoch)
	l.leads, l.epoch = e.Leads, e.Epoch
	sent, ok := l.sent[e.Number]
	delete(l.sent, e.Number)
	l.mu.Unlock()
	if began {
		c.Logger.Info("leader found", "entry", l.address.String(), "epoch", e.Epoch)
		c.RequestReport()
	}
	if ok && e.Valid {
		c.Supervisor.Vouched(sent.beat, sent.at-e.Age)
	}
}

// leader returns the connection to the entry that leads, nil for none.
func (c *EntryClient) leader() *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found *link
	for _, l := range c.links {
		l.mu.Lock()
		if l.leads && l.conn != nil && (found == nil || l.epoch > found.epoch) {
			found = l
		}
		l.mu.Unlock()
	}
	return found
}

// reports sends reports to the leader: on changes, and now and then.
func (c *EntryClient) reports(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(reportEvery)
		select {
		case <-c.report:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		c.send()
		waiter.Pause(ctx, reportPause)
	}
}

func (c *EntryClient) send() {
	l := c.leader()
	if l == nil || !c.greet(l) {
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
