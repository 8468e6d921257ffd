package requestlimiter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"

	"knapweedspur/internal/link/budgeter"
)

// Limiter bounds what the clients of all listeners of a process make it hold.
type Limiter struct {
	settings Settings
	budget   *budgeter.Budget
	events   *eventCounter
	logger   hclog.Logger
}

// New returns a limiter for a process on a VM. Settings that are not set have their
// defaults.
func New(settings Settings, vm VM, logger hclog.Logger) *Limiter {
	return &Limiter{settings: settings.withDefaults(), budget: budgeter.New(vm.limits()), events: newEventCounter(logger), logger: logger}
}

// Resize takes over changed limits of the VM.
func (l *Limiter) Resize(vm VM) {
	limits := vm.limits()
	if limits == l.budget.Limits() {
		return
	}
	l.budget.Resize(limits)
	l.logger.Info("limits of requests in progress changed", "bytes", limits.Bytes, "connections", limits.Connections)
}

// Report returns the limits, what is held, the most that ever was, and the number of
// events, for the metrics.
func (l *Limiter) Report() any {
	current, peak := l.budget.Usage()
	limits := l.budget.Limits()
	return map[string]any{
		"limit": budgeter.Usage(limits), "held": current, "peak": peak, "events": l.events.counts(),
	}
}

// Endpoint is a listener and what it serves.
type Endpoint struct {
	// Name is used in logs and metrics.
	Name string
	// Share is the part of the budget, from 0 to 1, that is kept for this listener.
	Share float64
	// BodyFactor is how many bytes the process holds for each byte of a body, at most.
	BodyFactor int64
	Handler    http.Handler
}

// server is an endpoint with its group of connections.
type server struct {
	net.Listener
	limiter  *Limiter
	name     string
	endpoint Endpoint
	group    *budgeter.Group
}

// NewServer returns an HTTP server for an endpoint, and the listener that it must serve.
func (l *Limiter) NewServer(listener net.Listener, e Endpoint) (*http.Server, net.Listener) {
	e.BodyFactor = max(e.BodyFactor, 1)
	if err := limitSocketBuffers(listener, l.settings.SocketBuffer); err != nil {
		l.logger.Warn("socket buffers keep the sizes of the system", "listener", e.Name, "error", err.Error())
	}
	s := &server{Listener: listener, limiter: l, name: e.Name, endpoint: e, group: l.budget.AddGroup(e.Share)}
	return &http.Server{
		Handler:           s.limitRequests(e.Handler),
		MaxHeaderBytes:    l.settings.HeadBytes,
		ReadHeaderTimeout: l.settings.HeadTimeout,
		ReadTimeout:       l.settings.RequestTimeout,
		IdleTimeout:       l.settings.IdleTimeout,
		ConnState:         noteState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		},
	}, s
}

// Accept accepts the next connection for which there is room, and refuses those before.
func (s *server) Accept() (net.Conn, error) {
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: conn, server: s, inHead: true}
		c.holder.Close = c.shedFor
		if s.limiter.budget.Open(s.group, &c.holder, time.Now()) {
			return c, nil
		}
		s.limiter.events.add(s.name, noConnection, 0)
		c.writeRefusal(http.StatusServiceUnavailable)
		_ = conn.Close() // nothing was read from it
	}
}

// limitSocketBuffers sets the buffers of a listener, which accepted connections inherit.
func limitSocketBuffers(listener net.Listener, bytes int) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return trace.Wrap(err)
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes))
	})
	return trace.Wrap(errors.Join(err, set))
}

func noteState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.end(time.Now())
	case http.StateHijacked:
		c.upgrade(time.Now())
	default: // nothing changes for the budget
	}
}

func statusLine(status int) string { return fmt.Sprintf("%d %s", status, http.StatusText(status)) }
