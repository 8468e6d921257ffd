package leader_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// linkLatency is how long data takes between two hosts.
const linkLatency = 2 * time.Millisecond

// memoryNetwork connects hosts in memory. Data between two hosts waits while they
// are cut off from each other, and takes longer while their link is slow or the host that
// receives it has a backlog.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[netip.Addr]*memoryListener
	cutUntil  map[[2]netip.Addr]time.Time
	slowUntil map[[2]netip.Addr]time.Time
	// backlogs holds how long after its arrival a host handles data.
	backlogs map[netip.Addr]time.Duration
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: map[netip.Addr]*memoryListener{}, cutUntil: map[[2]netip.Addr]time.Time{}, slowUntil: map[[2]netip.Addr]time.Time{}, backlogs: map[netip.Addr]time.Duration{}}
}

func linkBetween(a, b netip.Addr) [2]netip.Addr {
	if b.Less(a) {
		a, b = b, a
	}
	return [2]netip.Addr{a, b}
}

// cut separates two hosts until the given time.
func (n *memoryNetwork) cut(a, b netip.Addr, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutUntil[linkBetween(a, b)] = until
}

// slow delays data between two hosts by half a second until the given time.
func (n *memoryNetwork) slow(a, b netip.Addr, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slowUntil[linkBetween(a, b)] = until
}

// setBacklog sets how long after its arrival a host handles data.
func (n *memoryNetwork) setBacklog(host netip.Addr, backlog time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.backlogs[host] = backlog
}

func (n *memoryNetwork) latency(from, to netip.Addr) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Now().Before(n.slowUntil[linkBetween(from, to)]) {
		return 500*time.Millisecond + n.backlogs[to]
	}
	return linkLatency + n.backlogs[to]
}

func (n *memoryNetwork) waitWhileCut(a, b netip.Addr) {
	for {
		n.mu.Lock()
		wait := time.Until(n.cutUntil[linkBetween(a, b)])
		n.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// client returns an HTTP client on a host.
func (n *memoryNetwork) client(host netip.Addr) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, host, netip.MustParseAddrPort(address).Addr())
	}}}
}

func (n *memoryNetwork) dial(ctx context.Context, from, to netip.Addr) (net.Conn, error) {
	connected := make(chan struct{})
	go func() {
		defer close(connected)
		time.Sleep(n.latency(from, to))
		n.waitWhileCut(from, to)
	}()
	select {
	case <-connected:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	listener := n.listeners[to]
	n.mu.Unlock()
	client, clientEnd := net.Pipe()
	serverEnd, server := net.Pipe()
	if listener == nil || !listener.offer(server) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	go n.carry(clientEnd, serverEnd, from, to)
	go n.carry(serverEnd, clientEnd, to, from)
	return client, nil
}

type chunk struct {
	data []byte
	at   time.Time
}

// carry copies data in one direction until either end is closed.
func (n *memoryNetwork) carry(source, target net.Conn, from, to netip.Addr) {
	queue := make(chan chunk, 10_000)
	go func() {
		defer close(queue)
		for {
			buffer := make([]byte, 16<<10)
			count, err := source.Read(buffer)
			if err != nil {
				return
			}
			queue <- chunk{buffer[:count], time.Now().Add(n.latency(from, to))}
		}
	}()
	broken := false
	for c := range queue {
		if broken {
			continue
		}
		time.Sleep(time.Until(c.at))
		n.waitWhileCut(from, to)
		if _, err := target.Write(c.data); err != nil {
			broken = true
			source.Close()
		}
	}
	if !broken {
		time.Sleep(n.latency(from, to))
		n.waitWhileCut(from, to)
	}
	target.Close()
	source.Close()
}

// memoryListener accepts the connections to a host.
type memoryListener struct {
	network *memoryNetwork
	address netip.AddrPort
	mu      sync.Mutex
	closed  bool
	waiting chan net.Conn
	conns   []net.Conn
}

func (n *memoryNetwork) listen(address netip.AddrPort) *memoryListener {
	l := &memoryListener{network: n, address: address, waiting: make(chan net.Conn, 1000)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address.Addr()] = l
	return l
}

func (l *memoryListener) offer(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conns = append(l.conns, conn)
	l.waiting <- conn
	return true
}

func (l *memoryListener) Accept() (net.Conn, error) {
	conn, ok := <-l.waiting
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close closes the listener and, as the end of a process does, all its connections.
func (l *memoryListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	close(l.waiting)
	for _, conn := range l.conns {
		conn.Close()
	}
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.listeners[l.address.Addr()] == l {
		delete(l.network.listeners, l.address.Addr())
	}
	return nil
}

func (l *memoryListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
