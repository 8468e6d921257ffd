package courier_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/link/carrier"
	"knapweedspur/internal/side/courier"
	"knapweedspur/internal/side/executor"
	"knapweedspur/internal/side/warden"
	"knapweedspur/internal/wire/work"
)

// entry plays an entry: it answers heartbeats and tells of all entries.
type entry struct {
	server *httptest.Server
	mu     sync.Mutex
	conn   *carrier.Conn
	beats  int
	tells  []netip.AddrPort
}

func newEntry(t *testing.T) *entry {
	e := &entry{}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := carrier.Accept(w, r, time.Minute)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conn = conn
		e.mu.Unlock()
		e.serve(conn)
	}))
	t.Cleanup(func() {
		e.cut()
		e.server.Close()
	})
	return e
}

func (e *entry) serve(conn *carrier.Conn) {
	for {
		var p work.Packet
		if conn.ReceiveValue(&p) != nil {
			return
		}
		if p.Beat == nil {
			continue
		}
		e.mu.Lock()
		e.beats++
		tells := e.tells
		e.mu.Unlock()
		if conn.SendValue(&work.Packet{Evidence: &work.Evidence{Number: p.Beat.Number, Entries: tells}}) != nil {
			return
		}
	}
}

func (e *entry) address() netip.AddrPort {
	return netip.MustParseAddrPort(e.server.Listener.Addr().String())
}

func (e *entry) cut() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		e.conn.Close()
	}
}

func (e *entry) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.beats
}

type finder []netip.AddrPort

func (f finder) Find(context.Context) ([]netip.AddrPort, error) { return f, nil }

// A hunt broke "twice" with this: the connection to an entry ended with the
// connection over which the agent had heard of that entry, and never came back.
func TestAConnectionOutlivesTheOneThatToldOfIt(t *testing.T) {
	first, second := newEntry(t), newEntry(t)
	first.tells = []netip.AddrPort{first.address(), second.address()}
	w := &warden.Warden{Worker: executor.Worker(nil), Logger: hclog.NewNullLogger(), Changed: func() {}}
	w.Init()
	c := &courier.Courier{Warden: w, Finder: finder{first.address()}, Client: http.DefaultClient, Logger: hclog.NewNullLogger(), Agent: "agent"}
	c.Init()
	ctx, stop := context.WithCancel(t.Context())
	go c.Run(ctx)
	defer func() {
		stop()
		first.cut()
		second.cut()
		<-c.Done
	}()
	wait(t, "heartbeats to the second entry", func() bool { return second.count() > 1 })
	first.server.Close()
	first.cut()
	time.Sleep(200 * time.Millisecond)
	before := second.count()
	wait(t, "heartbeats to the second entry after the first was lost", func() bool { return second.count() > before+2 })
}

func wait(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 100 {
		if done() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("no %s within 5 s", what)
}
