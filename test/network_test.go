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
	"time"
)

// network is a network in memory. Hosts can be cut off from each other in one
// or both directions: what is sent meanwhile arrives after the cut, as with TCP.
type network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	conns     map[*conn]struct{}
	cut       map[[2]string]bool
}

func newNetwork() *network {
	return &network{listeners: map[netip.AddrPort]*listener{}, conns: map[*conn]struct{}{}, cut: map[[2]string]bool{}}
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

func (h *host) dead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.killed
}

// Listen takes connections at an address.
func (h *host) Listen(address netip.AddrPort) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.listeners[address] != nil || h.dead() {
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

// Dial opens a connection.
func (h *host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	addr, err := netip.ParseAddrPort(address)
	if err != nil || h.dead() {
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
	cut := l != nil && (h.net.cut[[2]string{h.name, l.host.name}] || h.net.cut[[2]string{l.host.name, h.name}])
	h.net.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	if l == nil {
		return nil, refused
	}
	mine, theirs := h.net.pipe(h, l.host, addr)
	select {
	case l.accept <- theirs:
		return mine, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = mine.Close()
	return nil, refused
}

func (n *network) pipe(a, b *host, addr netip.AddrPort) (net.Conn, net.Conn) {
	there, back := newStream(), newStream()
	x := &conn{net: n, host: a, peer: b, in: back, out: there, addr: addr}
	y := &conn{net: n, host: b, peer: a, in: there, out: back, addr: addr}
	n.mu.Lock()
	defer n.mu.Unlock()
	there.held = n.cut[[2]string{a.name, b.name}]
	back.held = n.cut[[2]string{b.name, a.name}]
	n.conns[x] = struct{}{}
	n.conns[y] = struct{}{}
	return x, y
}

// cutOff stops or lets through what goes from one host to another.
func (n *network) cutOff(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = on
	for c := range n.conns {
		if c.host.name == from && c.peer.name == to {
			c.out.hold(on)
		}
	}
}

// kill ends all that a host has, at once.
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
	mu     sync.Mutex
	data   []byte
	closed bool
	held   bool
	wake   chan struct{}
}

const window = 1 << 20

func newStream() *stream { return &stream{wake: make(chan struct{})} }

// changed wakes all who wait. The lock is held.
func (s *stream) changed() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *stream) hold(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = on
	s.changed()
}

func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.changed()
}

type conn struct {
	net        *network
	host, peer *host
	in, out    *stream
	addr       netip.AddrPort
	mu         sync.Mutex
	readBy     time.Time
	writeBy    time.Time
	shut       bool
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		by, shut := c.readBy, c.shut
		c.mu.Unlock()
		if shut {
			return 0, net.ErrClosed
		}
		c.in.mu.Lock()
		if !c.in.held && len(c.in.data) > 0 {
			n := copy(p, c.in.data)
			c.in.data = c.in.data[n:]
			c.in.changed()
			c.in.mu.Unlock()
			return n, nil
		}
		if !c.in.held && c.in.closed {
			c.in.mu.Unlock()
			return 0, io.EOF
		}
		wake := c.in.wake
		c.in.mu.Unlock()
		if !await(wake, by) {
			return 0, os.ErrDeadlineExceeded
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	for {
		c.mu.Lock()
		by, shut := c.writeBy, c.shut
		c.mu.Unlock()
		if shut {
			return 0, net.ErrClosed
		}
		c.out.mu.Lock()
		if c.out.closed {
			c.out.mu.Unlock()
			return 0, syscall.EPIPE
		}
		if len(c.out.data) < window {
			c.out.data = append(c.out.data, p...)
			c.out.changed()
			c.out.mu.Unlock()
			return len(p), nil
		}
		wake := c.out.wake
		c.out.mu.Unlock()
		if !await(wake, by) {
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// await waits for a change or a deadline, and returns false for the latter.
func await(wake chan struct{}, by time.Time) bool {
	if by.IsZero() {
		<-wake
		return true
	}
	left := time.Until(by)
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(left)
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
	if c.shut {
		c.mu.Unlock()
		return nil
	}
	c.shut = true
	c.mu.Unlock()
	c.out.close()
	c.in.close()
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	delete(c.net.conns, c)
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(c.addr) }
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.addr) }

func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readBy = t
	c.mu.Unlock()
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.changed()
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeBy = t
	c.mu.Unlock()
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.out.changed()
	return nil
}
