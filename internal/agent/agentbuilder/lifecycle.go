package agentbuilder

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"

	"knapweedspur/internal/link/requestlimiter"
)

// Start starts the agent.
func (a *Agent) Start(context.Context) error {
	metrics, err := a.serveMetrics()
	if err != nil {
		return err
	}
	a.metrics = metrics
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.goroutines.Go(func() { a.announcer.Run(ctx) })
	if a.dependencies.Upstream != nil {
		a.goroutines.Go(func() { a.watchHealth(ctx) })
	}
	if a.runner != nil {
		a.goroutines.Go(func() { a.runTasks(ctx) })
	}
	a.logger.Info("agent started", "vm", a.settings.VM, "service", a.settings.Service)
	return nil
}

// Stop shuts the agent down: it announces the shutdown to the entries, refuses
// new requests, and returns when the last request has finished or the context
// ends.
func (a *Agent) Stop(ctx context.Context) error {
	a.logger.Info("agent shutting down; waiting for requests in flight")
	a.admitter.StartShutdown()
	a.announcer.HeartbeatNow()
	a.waitForRequests(ctx)
	a.cancel()
	a.goroutines.Wait()
	if a.metrics != nil {
		_ = a.metrics.Close()
	}
	close(a.Done)
	return nil
}

// waitForRequests waits until the entries have been told of the shutdown and
// the last request has finished.
func (a *Agent) waitForRequests(ctx context.Context) {
	notice := time.NewTimer(shutdownNoticeDelay)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
		return
	}
	done := make(chan struct{})
	go func() {
		a.executor.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// runTasks runs the tasks, and signals when a later agent process has taken
// over the VM.
func (a *Agent) runTasks(ctx context.Context) {
	if err := a.runner.Run(ctx); err != nil && ctx.Err() == nil {
		a.Failed <- err
	}
}

// watchHealth polls the health of the upstream.
func (a *Agent) watchHealth(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, healthTimeout)
		healthy := a.dependencies.Upstream.Healthy(callCtx) == nil
		cancel()
		if healthy != a.admitter.Load().Healthy {
			a.admitter.SetHealthy(healthy)
			a.announcer.HeartbeatNow()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Agent) serveMetrics() (*http.Server, error) {
	if !a.settings.Metrics.IsValid() {
		return nil, nil
	}
	listener, err := a.dependencies.Network.Listen(a.settings.Metrics)
	if err != nil {
		return nil, err
	}
	r := mux.NewRouter()
	r.Handle("/debug/vars", expvar.Handler())
	r.HandleFunc("/-/health", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	s, listener := a.limiter.NewServer(listener, requestlimiter.Endpoint{Name: "metrics", Share: metricsShare, Handler: r})
	go func() { _ = s.Serve(listener) }()
	return s, nil
}

// RegisterLifecycle ties the agent to the lifecycle of the application. When a later
// agent process has taken over the VM, it shuts the application down.
func RegisterLifecycle(lc fx.Lifecycle, shutdown fx.Shutdowner, a *Agent) {
	lc.Append(fx.Hook{OnStart: a.Start, OnStop: a.Stop})
	go func() {
		select {
		case err := <-a.Failed:
			a.logger.Error("agent failed; exiting", "error", err)
			_ = shutdown.Shutdown(fx.ExitCode(1))
		case <-a.Done:
		}
	}()
}
