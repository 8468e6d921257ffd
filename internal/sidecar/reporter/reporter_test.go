package reporter_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/link/framer"
	"knapweedspur/internal/sidecar/reporter"
	"knapweedspur/internal/sidecar/supervisor"
	"knapweedspur/internal/sidecar/workercontroller"
	"knapweedspur/internal/wire/work"
)

// fakeEntry answers heartbeats with a fixed list of entries and leader.
type fakeEntry struct {
	server     *httptest.Server
	mu         sync.Mutex
	conn       *framer.Conn
	heartbeats int
	entries    []netip.AddrPort
	leader     netip.AddrPort
}

func newFakeEntry(t *testing.T) *fakeEntry {
	e := &fakeEntry{}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := framer.Accept(w, r, time.Minute)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conn = conn
		e.mu.Unlock()
		e.serve(conn)
	}))
	t.Cleanup(func() {
		e.closeConn()
		e.server.Close()
	})
	return e
}

func (e *fakeEntry) serve(conn *framer.Conn) {
	for {
		var p work.Packet
		if conn.ReceiveValue(&p) != nil {
			return
		}
		if p.Heartbeat == nil {
			continue
		}
		e.mu.Lock()
		e.heartbeats++
		entries, leader := e.entries, e.leader
		e.mu.Unlock()
		if conn.SendValue(&work.Packet{HeartbeatReply: &work.HeartbeatReply{Number: p.Heartbeat.Number, Entries: entries, Leader: leader}}) != nil {
			return
		}
	}
}

func (e *fakeEntry) address() netip.AddrPort {
	return netip.MustParseAddrPort(e.server.Listener.Addr().String())
}

func (e *fakeEntry) closeConn() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		e.conn.Close()
	}
}

func (e *fakeEntry) heartbeatCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heartbeats
}

type staticFinder []netip.AddrPort

func (f staticFinder) Find(context.Context) ([]netip.AddrPort, error) { return f, nil }

// startClient runs a client that discovers only the first entry.
func startClient(t *testing.T, first, second *fakeEntry) {
	s := &supervisor.Supervisor{Worker: workercontroller.Worker(nil), Logger: hclog.NewNullLogger(), OnChange: func() {}}
	s.Init()
	c := &reporter.EntryClient{Supervisor: s, Finder: staticFinder{first.address()}, Client: http.DefaultClient, Logger: hclog.NewNullLogger(), AgentIncarnation: "agent"}
	c.Init()
	ctx, stop := context.WithCancel(t.Context())
	go c.Run(ctx)
	t.Cleanup(func() {
		stop()
		first.closeConn()
		second.closeConn()
		<-c.Done
	})
}

// Guards against connections that depend on the connection through which their
// entry was discovered: such a connection ended with that one and was never
// reopened. A fault-injection run failed its "twice" check because of this.
func TestConnectionSurvivesLossOfDiscoveringConnection(t *testing.T) {
	first, second := newFakeEntry(t), newFakeEntry(t)
	first.entries = []netip.AddrPort{first.address(), second.address()}
	startClient(t, first, second)
	waitFor(t, "heartbeats to the second entry", func() bool { return second.heartbeatCount() > 1 })
	first.server.Close()
	first.closeConn()
	time.Sleep(200 * time.Millisecond)
	before := second.heartbeatCount()
	waitFor(t, "heartbeats to the second entry after the first was lost", func() bool { return second.heartbeatCount() > before+2 })
}

// With more entries than the connection limit, the agent must still connect to
// the leader.
func TestLeaderIsConnectedBeyondConnectionLimit(t *testing.T) {
	first, second := newFakeEntry(t), newFakeEntry(t)
	for port := range uint16(40) {
		first.entries = append(first.entries, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port+1))
	}
	first.leader = second.address()
	startClient(t, first, second)
	waitFor(t, "heartbeats to the leader", func() bool { return second.heartbeatCount() > 1 })
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 100 {
		if condition() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("no %s within 5 s", what)
}
