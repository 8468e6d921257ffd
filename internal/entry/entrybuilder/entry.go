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
)

// Entry is a whole entry, to start and to stop.
type Entry struct {
	parts   parts
	cancel  context.CancelFunc
	callers *http.Server
	control *http.Server
	group   sync.WaitGroup
	// Done is closed when the entry has stopped.
	Done chan struct{}
}

// parts are what an entry starts and stops.
type parts struct {
	fx.In
	Settings   *Settings
	Driver     *schedulerdriver.Driver
	Publisher  *configpublisher.Publisher
	Acceptor     *agentacceptor.Acceptor
	CallerServer     *callerserver.Server
	ControlServer *controlserver.Server
	Network    connector.Connector
	Logger     hclog.Logger
}

func newEntry(p parts) *Entry {
	return &Entry{
		parts:   p,
		callers: &http.Server{Handler: p.CallerServer.Handler(), ReadHeaderTimeout: appendTimeout},
		control: &http.Server{Handler: p.ControlServer.Handler(), ReadHeaderTimeout: appendTimeout},
		Done:    make(chan struct{}),
	}
}

// Start starts the entry. It is ready when its readiness check says so.
func (e *Entry) Start(context.Context) error {
	if err := e.serve(e.control, e.parts.Settings.Control); err != nil {
		return err
	}
	if err := e.serve(e.callers, e.parts.Settings.Listen); err != nil {
		_ = e.control.Close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	for _, run := range []func(context.Context){e.parts.Driver.Appender.Run, e.parts.Publisher.Appender.Run, e.parts.Driver.Run, e.parts.Publisher.Run} {
		e.group.Go(func() { run(ctx) })
	}
	e.parts.Logger.Info("entry runs", "callers", e.parts.Settings.Listen, "control", e.parts.Settings.Control)
	return nil
}

// Stop stops the entry: the readiness check fails first, then requests in
// flight end, then the rest. The context bounds the wait for requests.
func (e *Entry) Stop(ctx context.Context) error {
	e.parts.CallerServer.Stop()
	e.parts.Logger.Info("entry stops; waiting for the balancer, then for requests in flight")
	wait(ctx, e.parts.Settings.Settle)
	err := e.callers.Shutdown(ctx)
	e.parts.Acceptor.Close()
	e.cancel()
	_ = e.callers.Close()
	_ = e.control.Close()
	e.group.Wait()
	close(e.Done)
	return trace.Wrap(err)
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (e *Entry) serve(s *http.Server, address netip.AddrPort) error {
	listener, err := e.parts.Network.Listen(address)
	if err != nil {
		return err
	}
	go func() {
		if err := s.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			e.parts.Logger.Error("server ended", "address", address, "error", err)
		}
	}()
	return nil
}

// Hook ties an entry to the application's life.
func AppendHooks(lc fx.Lifecycle, e *Entry) {
	lc.Append(fx.Hook{OnStart: e.Start, OnStop: e.Stop})
}
