// Package announcer keeps an agent's connections to a few entries: it says
// that the agent is there, how it is, and hands on what entries ask.
package announcer

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/link/framer"
	"knapweedspur/internal/placement/ranker"
	"knapweedspur/internal/wire/message"
)

const (
	dialTimeout = 3 * time.Second
	redialPause = 500 * time.Millisecond
	// silence is how many heartbeat periods without a frame end a connection.
	silence = 5
)

// Handler takes the frames of one connection.
type Handler interface {
	// Handle takes one frame.
	Handle(now time.Time, f *message.Frame)
	// Close is called when the connection has ended.
	Close()
}

// Announcer keeps the connections. Set the exported fields, then Run.
type Announcer struct {
	// Entries are the addresses of the settings.
	Entries []netip.AddrPort
	// Links is how many entries to stay connected to.
	ConnectionCount int
	// Every is the time between heartbeats.
	HeartbeatInterval time.Duration
	// Scheme is ws or wss.
	Scheme string
	// Header goes with each connection.
	Header http.Header
	// Client opens the connections.
	Client *http.Client
	// Hello returns the first frame.
	Hello func() *message.Hello
	// Heartbeat returns the agent's state.
	Heartbeat func() *message.Heartbeat
	// Connected returns the handler of a new connection.
	NewHandler func(conn *Link) Handler
	// Logger takes what happens.
	Logger hclog.Logger

	beaten atomic.Int64

	mu    sync.Mutex
	known map[netip.AddrPort]bool
	loops map[netip.AddrPort]*loop
	nudge chan struct{}
}

type loop struct {
	cancel context.CancelFunc
	link   *Link
}

// Link is one connection to an entry.
type Link struct {
	conn  *framer.Conn
	Entry netip.AddrPort
}

// Send sends one frame to the entry.
func (l *Link) Send(f *message.Frame) error {
	err := l.conn.Send(f)
	if err != nil {
		l.conn.Close()
	}
	return err
}

// Init readies the announcer. Call it before Any, Probe or Learn.
func (a *Announcer) Init() {
	a.known = map[netip.AddrPort]bool{}
	a.loops = map[netip.AddrPort]*loop{}
	a.nudge = make(chan struct{}, 1)
}

// Learn sets the addresses of the entries alive, besides those of the settings.
func (a *Announcer) SetLiveEntries(entries []netip.AddrPort) {
	a.mu.Lock()
	clear(a.known)
	for _, e := range entries {
		a.known[e] = true
	}
	a.mu.Unlock()
	a.HeartbeatNow()
}

// Nudge makes the announcer send a heartbeat and review its connections now.
func (a *Announcer) HeartbeatNow() {
	select {
	case a.nudge <- struct{}{}:
	default:
	}
}

// Connections returns how many connections stand.
func (a *Announcer) Connections() int { return len(a.links()) }

func (a *Announcer) links() []*Link {
	a.mu.Lock()
	defer a.mu.Unlock()
	var links []*Link
	for _, l := range a.loops {
		if l.link != nil {
			links = append(links, l.link)
		}
	}
	return links
}

// Any sends a frame to one entry.
func (a *Announcer) SendToAny(turn int, f *message.Frame) {
	links := a.links()
	for i := range links {
		if links[(turn+i)%len(links)].Send(f) == nil {
			return
		}
	}
}

// Probe sends a probe to all connected entries, together with a heartbeat.
func (a *Announcer) SendProbe(p *message.Probe) {
	a.beaten.Store(time.Now().UnixNano())
	a.all(&message.Frame{Heartbeat: a.Heartbeat(), Probe: p})
}

// beat sends a heartbeat, unless one has just gone out with a probe.
func (a *Announcer) beat(now time.Time, nudged bool) {
	if !nudged && now.UnixNano()-a.beaten.Load() < int64(a.HeartbeatInterval/2) {
		return
	}
	a.beaten.Store(now.UnixNano())
	a.all(&message.Frame{Heartbeat: a.Heartbeat()})
}

func (a *Announcer) all(f *message.Frame) {
	for _, l := range a.links() {
		_ = l.Send(f)
	}
}

// Run keeps the connections until the context ends.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(a.HeartbeatInterval)
	defer ticker.Stop()
	nudged := true
	for {
		a.review(ctx)
		a.beat(time.Now(), nudged)
		select {
		case <-ctx.Done():
			a.closeAll()
			return
		case <-ticker.C:
			nudged = false
		case <-a.nudge:
			nudged = true
		}
	}
}

func (a *Announcer) closeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.loops {
		l.cancel()
	}
}

// review opens and closes connections so that the agent has those that its
// rank among the entries gives it.
func (a *Announcer) review(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wanted := a.wanted()
	for e := range wanted {
		if a.loops[e] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		l := &loop{cancel: cancel}
		a.loops[e] = l
		go a.keep(ctx, e, l)
	}
	for e, l := range a.loops {
		if !wanted[e] {
			l.cancel()
			delete(a.loops, e)
		}
	}
}

func (a *Announcer) wanted() map[netip.AddrPort]bool {
	all := map[netip.AddrPort]bool{}
	for e := range a.known {
		all[e] = true
	}
	limit := a.ConnectionCount
	if len(all) == 0 || !a.connected() {
		// With no connection left, what was known may be old: try everything.
		limit = len(a.known) + len(a.Entries)
		for _, e := range a.Entries {
			all[e] = true
		}
	}
	names := make([]string, 0, len(all))
	byName := map[string]netip.AddrPort{}
	for e := range all {
		names = append(names, e.String())
		byName[e.String()] = e
	}
	wanted := map[netip.AddrPort]bool{}
	for _, name := range ranker.Top(a.Hello().VM, names, limit) {
		wanted[byName[name]] = true
	}
	return wanted
}

func (a *Announcer) connected() bool {
	for _, l := range a.loops {
		if l.link != nil {
			return true
		}
	}
	return false
}

// keep stays connected to one entry until the context ends.
func (a *Announcer) keep(ctx context.Context, entry netip.AddrPort, l *loop) {
	for ctx.Err() == nil {
		err := a.connect(ctx, entry, l)
		if ctx.Err() != nil {
			return
		}
		a.Logger.Debug("connection to an entry ended; dialing again", "entry", entry, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

func (a *Announcer) connect(ctx context.Context, entry netip.AddrPort, l *loop) error {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := framer.Dial(dial, a.Client, a.Scheme, entry, a.Header, silence*a.HeartbeatInterval)
	cancel()
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, conn.Close)()
	link := &Link{conn: conn, Entry: entry}
	if err := link.Send(&message.Frame{Hello: a.Hello()}); err != nil {
		return err
	}
	if err := link.Send(&message.Frame{Heartbeat: a.Heartbeat()}); err != nil {
		return err
	}
	handler := a.NewHandler(link)
	defer handler.Close()
	a.set(l, link)
	defer a.set(l, nil)
	return a.receive(conn, handler)
}

func (a *Announcer) set(l *loop, link *Link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l.link = link
}

// receive hands on frames until the connection ends.
func (a *Announcer) receive(conn *framer.Conn, handler Handler) error {
	for {
		f, err := conn.Receive()
		if err != nil {
			return err
		}
		handler.Handle(time.Now(), f)
	}
}
