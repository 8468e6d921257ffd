package entrybuilder

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"

	"knapweedspur/internal/entry/agentacceptor"
	"knapweedspur/internal/entry/callerserver"
	"knapweedspur/internal/entry/configpublisher"
	"knapweedspur/internal/entry/controlserver"
	"knapweedspur/internal/entry/schedulerdriver"
	"knapweedspur/internal/link/connector"
	"knapweedspur/internal/link/requestlimiter"
)

// Entry is an entry with all its components.
type Entry struct {
	components  components
	cancel      context.CancelFunc
	callerHTTP  *http.Server
	controlHTTP *http.Server
	goroutines  sync.WaitGroup
	// Done is closed when the entry has stopped.
	Done chan struct{}
}

// components are what an entry starts and stops.
type components struct {
	fx.In
	Settings      *Settings
	Driver        *schedulerdriver.Driver
	Publisher     *configpublisher.Publisher
	Acceptor      *agentacceptor.Acceptor
	CallerServer  *callerserver.Server
	ControlServer *controlserver.Server
	Network       connector.Connector
	Limiter       *requestlimiter.Limiter
	Logger        hclog.Logger
}

const (
	// listenerShare is the part of the budget of requests in progress that is kept for
	// each of the two listeners.
	listenerShare = 0.25
	// requestFactor is how many bytes an entry holds for a byte of a request: the body,
	// whose buffer grows by copying, and the frame. changeFactor is the same for a change.
	requestFactor, changeFactor = 4, 4
)

func newEntry(c components) *Entry {
	return &Entry{components: c, Done: make(chan struct{})}
}

// Start starts the entry. It returns before the entry is ready; the readiness check
// tells when it is.
func (e *Entry) Start(context.Context) error {
	var err error
	e.controlHTTP, err = e.serve(e.components.Settings.Control, requestlimiter.Endpoint{
		Name: "control", Share: listenerShare, BodyFactor: changeFactor, Handler: e.components.ControlServer.Handler(),
	})
	if err != nil {
		return err
	}
	e.callerHTTP, err = e.serve(e.components.Settings.Listen, requestlimiter.Endpoint{
		Name: "callers", Share: listenerShare, BodyFactor: requestFactor, Handler: e.components.CallerServer.Handler(),
	})
	if err != nil {
		_ = e.controlHTTP.Close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	for _, run := range []func(context.Context){e.components.Driver.Appender.Run, e.components.Publisher.Appender.Run, e.components.Driver.Run, e.components.Publisher.Run} {
		e.goroutines.Go(func() { run(ctx) })
	}
	e.components.Logger.Info("entry started", "callers", e.components.Settings.Listen, "control", e.components.Settings.Control)
	return nil
}

// Stop stops the entry. It lets the readiness check fail, waits until the load
// balancer has noticed and requests in flight have ended, and then stops the other
// components. The context bounds the waiting.
func (e *Entry) Stop(ctx context.Context) error {
	e.components.CallerServer.StartShutdown()
	e.components.Logger.Info("entry stopping; waiting for the load balancer, then for requests in flight")
	sleep(ctx, e.components.Settings.Settle)
	err := e.callerHTTP.Shutdown(ctx)
	e.components.Acceptor.Close()
	e.cancel()
	_ = e.callerHTTP.Close()
	_ = e.controlHTTP.Close()
	e.goroutines.Wait()
	close(e.Done)
	return trace.Wrap(err)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (e *Entry) serve(address netip.AddrPort, endpoint requestlimiter.Endpoint) (*http.Server, error) {
	listener, err := e.components.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	s, listener := e.components.Limiter.NewServer(listener, endpoint)
	go func() {
		if err := s.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			e.components.Logger.Error("HTTP server failed", "address", address, "error", err)
		}
	}()
	return s, nil
}

// RegisterLifecycle ties the entry to the lifecycle of the application.
func RegisterLifecycle(lc fx.Lifecycle, e *Entry) {
	lc.Append(fx.Hook{OnStart: e.Start, OnStop: e.Stop})
}
