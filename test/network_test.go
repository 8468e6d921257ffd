package test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// network is an in-memory network. Traffic between two hosts can be blocked in
// one or both directions: data sent meanwhile is delivered when the block is
// lifted, as TCP does by retransmission.
type network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	conns     map[*conn]struct{}
	blocked   map[[2]string]bool
}

func newNetwork() *network {
	return &network{listeners: map[netip.AddrPort]*listener{}, conns: map[*conn]struct{}{}, blocked: map[[2]string]bool{}}
}

// host is one process's view of the network.
type host struct {
	net    *network
	name   string
	mu     sync.Mutex
	killed bool
}

func (n *network) host(name string) *host { return &host{net: n, name: name} }

type listener struct {
	host    *host
	address netip.AddrPort
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.host.net.mu.Lock()
		defer l.host.net.mu.Unlock()
		if l.host.net.listeners[l.address] == l {
			delete(l.host.net.listeners, l.address)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

func (h *host) isKilled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.killed
}

// Listen accepts connections at an address.
func (h *host) Listen(address netip.AddrPort) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.listeners[address] != nil || h.isKilled() {
		return nil, syscall.EADDRINUSE
	}
	l := &listener{host: h, address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	h.net.listeners[address] = l
	return l, nil
}

const (
	latency     = 500 * time.Microsecond
	dialTimeout = 3 * time.Second
)

// Dial opens a connection to a listener. It times out while traffic with the
// listener's host is blocked in either direction.
func (h *host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	addr, err := netip.ParseAddrPort(address)
	if err != nil || h.isKilled() {
		return nil, refused
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case <-time.After(latency):
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	h.net.mu.Lock()
	l := h.net.listeners[addr]
	blocked := l != nil && (h.net.blocked[[2]string{h.name, l.host.name}] || h.net.blocked[[2]string{l.host.name, h.name}])
	h.net.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	if l == nil {
		return nil, refused
	}
	clientConn, serverConn := h.net.pipe(h, l.host, addr)
	select {
	case l.accept <- serverConn:
		return clientConn, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = clientConn.Close()
	return nil, refused
}

// pipe creates the two ends of a connection.
func (n *network) pipe(client, server *host, addr netip.AddrPort) (net.Conn, net.Conn) {
	toServer, toClient := newStream(), newStream()
	clientConn := &conn{net: n, host: client, peer: server, in: toClient, out: toServer, addr: addr}
	serverConn := &conn{net: n, host: server, peer: client, in: toServer, out: toClient, addr: addr}
	n.mu.Lock()
	defer n.mu.Unlock()
	toServer.blocked = n.blocked[[2]string{client.name, server.name}]
	toClient.blocked = n.blocked[[2]string{server.name, client.name}]
	n.conns[clientConn] = struct{}{}
	n.conns[serverConn] = struct{}{}
	return clientConn, serverConn
}

// setBlocked blocks or unblocks traffic from one host to another.
func (n *network) setBlocked(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{from, to}] = blocked
	for c := range n.conns {
		if c.host.name == from && c.peer.name == to {
			c.out.setBlocked(blocked)
		}
	}
}

// kill closes all listeners and connections of a host at once.
func (h *host) kill() {
	h.mu.Lock()
	h.killed = true
	h.mu.Unlock()
	h.net.mu.Lock()
	var listeners []*listener
	for _, l := range h.net.listeners {
		if l.host == h {
			listeners = append(listeners, l)
		}
	}
	var conns []*conn
	for c := range h.net.conns {
		if c.host == h {
			conns = append(conns, c)
		}
	}
	h.net.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

// stream is one direction of a connection.
type stream struct {
	mu      sync.Mutex
	data    []byte
	closed  bool
	blocked bool
	wake    chan struct{}
}

// maxBuffered is the number of unread bytes at which writes block.
const maxBuffered = 1 << 20

func newStream() *stream { return &stream{wake: make(chan struct{})} }

// broadcast wakes all waiting readers and writers. The caller holds the lock.
func (s *stream) broadcast() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *stream) setBlocked(blocked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocked = blocked
	s.broadcast()
}

// nextChange returns a channel that is closed at the next change. A reader or
// writer must take it before it looks at what it waits for: a change in between
// would otherwise go unnoticed.
func (s *stream) nextChange() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wake
}

func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.broadcast()
}

type conn struct {
	net           *network
	host, peer    *host
	in, out       *stream
	addr          netip.AddrPort
	mu            sync.Mutex
	readDeadline  time.Time
	writeDeadline time.Time
	closed        bool
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		wake := c.in.nextChange()
		c.mu.Lock()
		deadline, closed := c.readDeadline, c.closed
		c.mu.Unlock()
		if closed {
			return 0, net.ErrClosed
		}
		c.in.mu.Lock()
		if !c.in.blocked && len(c.in.data) > 0 {
			n := copy(p, c.in.data)
			c.in.data = c.in.data[n:]
			c.in.broadcast()
			c.in.mu.Unlock()
			return n, nil
		}
		if !c.in.blocked && c.in.closed {
			c.in.mu.Unlock()
			return 0, io.EOF
		}
		c.in.mu.Unlock()
		if !waitForChange(wake, deadline) {
			return 0, os.ErrDeadlineExceeded
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	for {
		wake := c.out.nextChange()
		c.mu.Lock()
		deadline, closed := c.writeDeadline, c.closed
		c.mu.Unlock()
		if closed {
			return 0, net.ErrClosed
		}
		c.out.mu.Lock()
		if c.out.closed {
			c.out.mu.Unlock()
			return 0, syscall.EPIPE
		}
		if len(c.out.data) < maxBuffered {
			c.out.data = append(c.out.data, p...)
			c.out.broadcast()
			c.out.mu.Unlock()
			return len(p), nil
		}
		c.out.mu.Unlock()
		if !waitForChange(wake, deadline) {
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// waitForChange waits for a change or the deadline, and returns false if the
// deadline passed first.
func waitForChange(wake chan struct{}, deadline time.Time) bool {
	if deadline.IsZero() {
		<-wake
		return true
	}
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return false
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-wake:
		return true
	case <-timer.C:
		return false
	}
}

func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	c.out.close()
	c.in.close()
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	delete(c.net.conns, c)
	return nil
}

// Guards the emulated network against a lost wakeup: a Close between the reader's
// look at closed and its wait left the reader of a blocked stream waiting for
// ever, and the whole scenario with it. The test holds the stream's lock, so that
// the reader is within that gap, and closes the connection meanwhile.
func TestCloseWakesReaderOfBlockedStream(t *testing.T) {
	n := newNetwork()
	client, server := n.host("client"), n.host("server")
	n.setBlocked("server", "client", true)
	end, _ := n.pipe(client, server, netip.AddrPort{})
	c := end.(*conn)
	c.in.mu.Lock()
	ended := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.in.closed = true
	c.in.broadcast()
	c.in.mu.Unlock()
	select {
	case err := <-ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("the reader of a closed connection got %v, want %v", err, net.ErrClosed)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the reader still waits 5 s after the close")
	}
}

func (c *conn) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(c.addr) }
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.addr) }

func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.broadcast()
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.out.broadcast()
	return nil
}
