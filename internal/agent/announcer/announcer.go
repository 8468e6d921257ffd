// Package announcer maintains an agent's connections to a few entries. It sends
// the agent's state to them and dispatches the frames they send.
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
	redialDelay = 500 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeat intervals without a frame
	// after which a connection is closed.
	maxMissedHeartbeats = 5
)

// Handler handles the frames of one connection.
type Handler interface {
	// Handle handles one frame.
	Handle(now time.Time, f *message.Frame)
	// Close is called when the connection has ended.
	Close()
}

// Announcer maintains the connections. Set the exported fields, then call Init
// and Run.
type Announcer struct {
	// Entries are the entry addresses from the settings.
	Entries []netip.AddrPort
	// ConnectionCount is the number of entries to stay connected to.
	ConnectionCount   int
	HeartbeatInterval time.Duration
	// Scheme is ws or wss.
	Scheme string
	// Header is sent with every connection request.
	Header http.Header
	Client *http.Client
	// Hello returns the first frame of a connection.
	Hello func() *message.Hello
	// Heartbeat returns the current state of the agent.
	Heartbeat func() *message.Heartbeat
	// NewHandler returns the handler of a new connection.
	NewHandler func(conn *Link) Handler
	Logger     hclog.Logger

	lastHeartbeat atomic.Int64

	mu           sync.Mutex
	aliveEntries map[netip.AddrPort]bool
	connections  map[netip.AddrPort]*connection
	wake         chan struct{}
}

// connection is maintained by one goroutine for one entry. link is nil while it
// is not established.
type connection struct {
	cancel context.CancelFunc
	link   *Link
}

// Link is one established connection to an entry.
type Link struct {
	conn  *framer.Conn
	Entry netip.AddrPort
}

// Send sends one frame to the entry, and closes the connection on failure.
func (l *Link) Send(f *message.Frame) error {
	err := l.conn.Send(f)
	if err != nil {
		l.conn.Close()
	}
	return err
}

// Init prepares the announcer. Call it before any other method.
func (a *Announcer) Init() {
	a.aliveEntries = map[netip.AddrPort]bool{}
	a.connections = map[netip.AddrPort]*connection{}
	a.wake = make(chan struct{}, 1)
}

// SetAliveEntries sets the addresses of the entries known to be alive. From then
// on the addresses from the settings are used only while there is no
// connection.
func (a *Announcer) SetAliveEntries(entries []netip.AddrPort) {
	a.mu.Lock()
	clear(a.aliveEntries)
	for _, e := range entries {
		a.aliveEntries[e] = true
	}
	a.mu.Unlock()
	a.HeartbeatNow()
}

// HeartbeatNow makes the announcer send a heartbeat and update its connections
// immediately.
func (a *Announcer) HeartbeatNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Connections returns the number of established connections.
func (a *Announcer) Connections() int { return len(a.links()) }

func (a *Announcer) links() []*Link {
	a.mu.Lock()
	defer a.mu.Unlock()
	var links []*Link
	for _, c := range a.connections {
		if c.link != nil {
			links = append(links, c.link)
		}
	}
	return links
}

// SendToAny sends a frame to one connected entry. It tries the entries in
// order, starting at index first modulo their number, until one send succeeds.
func (a *Announcer) SendToAny(first int, f *message.Frame) {
	links := a.links()
	for i := range links {
		if links[(first+i)%len(links)].Send(f) == nil {
			return
		}
	}
}

// SendProbe sends a probe to all connected entries, together with a heartbeat.
func (a *Announcer) SendProbe(p *message.Probe) {
	a.lastHeartbeat.Store(time.Now().UnixNano())
	a.broadcast(&message.Frame{Heartbeat: a.Heartbeat(), Probe: p})
}

// sendHeartbeat sends a heartbeat, unless one was sent with a probe less than
// half an interval ago. With force it is always sent.
func (a *Announcer) sendHeartbeat(now time.Time, force bool) {
	if !force && now.UnixNano()-a.lastHeartbeat.Load() < int64(a.HeartbeatInterval/2) {
		return
	}
	a.lastHeartbeat.Store(now.UnixNano())
	a.broadcast(&message.Frame{Heartbeat: a.Heartbeat()})
}

func (a *Announcer) broadcast(f *message.Frame) {
	for _, l := range a.links() {
		_ = l.Send(f)
	}
}

// Run maintains the connections until the context ends.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(a.HeartbeatInterval)
	defer ticker.Stop()
	force := true
	for {
		a.updateConnections(ctx)
		a.sendHeartbeat(time.Now(), force)
		select {
		case <-ctx.Done():
			a.closeAll()
			return
		case <-ticker.C:
			force = false
		case <-a.wake:
			force = true
		}
	}
}

func (a *Announcer) closeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.connections {
		c.cancel()
	}
}

// updateConnections opens and closes connections to match the entries that rank
// highest for this VM.
func (a *Announcer) updateConnections(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wanted := a.wantedEntries()
	for e := range wanted {
		if a.connections[e] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		c := &connection{cancel: cancel}
		a.connections[e] = c
		go a.maintainConnection(ctx, e, c)
	}
	for e, c := range a.connections {
		if !wanted[e] {
			c.cancel()
			delete(a.connections, e)
		}
	}
}

func (a *Announcer) wantedEntries() map[netip.AddrPort]bool {
	candidates := map[netip.AddrPort]bool{}
	for e := range a.aliveEntries {
		candidates[e] = true
	}
	limit := a.ConnectionCount
	if len(candidates) == 0 || !a.hasLink() {
		// With no connection left the known alive entries may be out of date, so
		// try all addresses.
		limit = len(a.aliveEntries) + len(a.Entries)
		for _, e := range a.Entries {
			candidates[e] = true
		}
	}
	names := make([]string, 0, len(candidates))
	byName := map[string]netip.AddrPort{}
	for e := range candidates {
		names = append(names, e.String())
		byName[e.String()] = e
	}
	wanted := map[netip.AddrPort]bool{}
	for _, name := range ranker.Top(a.Hello().VM, names, limit) {
		wanted[byName[name]] = true
	}
	return wanted
}

func (a *Announcer) hasLink() bool {
	for _, c := range a.connections {
		if c.link != nil {
			return true
		}
	}
	return false
}

// maintainConnection reconnects to one entry until the context ends.
func (a *Announcer) maintainConnection(ctx context.Context, entry netip.AddrPort, c *connection) {
	for ctx.Err() == nil {
		err := a.connect(ctx, entry, c)
		if ctx.Err() != nil {
			return
		}
		a.Logger.Debug("connection to an entry ended; reconnecting", "entry", entry, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

func (a *Announcer) connect(ctx context.Context, entry netip.AddrPort, c *connection) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := framer.Dial(dialCtx, a.Client, a.Scheme, entry, a.Header, maxMissedHeartbeats*a.HeartbeatInterval)
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
	a.setLink(c, link)
	defer a.setLink(c, nil)
	return a.receive(conn, handler)
}

func (a *Announcer) setLink(c *connection, link *Link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.link = link
}

// receive dispatches frames until the connection ends.
func (a *Announcer) receive(conn *framer.Conn, handler Handler) error {
	for {
		f, err := conn.Receive()
		if err != nil {
			return err
		}
		handler.Handle(time.Now(), f)
	}
}
