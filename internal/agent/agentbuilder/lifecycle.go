package agentbuilder

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
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
	a.group.Go(func() { a.announcer.Run(ctx) })
	if a.platform.Upstream != nil {
		a.group.Go(func() { a.watch(ctx) })
	}
	if a.runner != nil {
		a.group.Go(func() { a.keep(ctx) })
	}
	a.logger.Info("agent runs", "vm", a.settings.VM, "service", a.settings.Service)
	return nil
}

// Stop stops the agent: it says that it leaves, refuses what still comes, and
// ends when the last request has, or the context.
func (a *Agent) Stop(ctx context.Context) error {
	a.logger.Info("agent leaves; waiting for requests in flight")
	a.admitter.StartShutdown()
	a.announcer.HeartbeatNow()
	a.finish(ctx)
	a.cancel()
	a.group.Wait()
	if a.metrics != nil {
		_ = a.metrics.Close()
	}
	close(a.Done)
	return nil
}

// finish waits until the entries have heard and the last request has ended.
func (a *Agent) finish(ctx context.Context) {
	wait := time.NewTimer(saidAfter)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return
	}
	done := make(chan struct{})
	go func() {
		a.server.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// keep runs the tasks, and says so when a later process has the VM.
func (a *Agent) keep(ctx context.Context) {
	if err := a.runner.Run(ctx); err != nil && ctx.Err() == nil {
		a.Failed <- err
	}
}

// watch follows the health of the upstream.
func (a *Agent) watch(ctx context.Context) {
	ticker := time.NewTicker(healthEvery)
	defer ticker.Stop()
	for {
		call, cancel := context.WithTimeout(ctx, healthTimeout)
		healthy := a.platform.Upstream.Healthy(call) == nil
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
	listener, err := a.platform.Network.Listen(a.settings.Metrics)
	if err != nil {
		return nil, err
	}
	r := mux.NewRouter()
	r.Handle("/debug/vars", expvar.Handler())
	r.HandleFunc("/-/health", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	s := &http.Server{Handler: r, ReadHeaderTimeout: healthTimeout}
	go func() { _ = s.Serve(listener) }()
	return s, nil
}

// Hook ties an agent to the application's life. An agent whose VM a later
// process has taken ends the application.
func RegisterLifecycle(lc fx.Lifecycle, shutdown fx.Shutdowner, a *Agent) {
	lc.Append(fx.Hook{OnStart: a.Start, OnStop: a.Stop})
	go func() {
		select {
		case err := <-a.Failed:
			a.logger.Error("agent ends", "error", err)
			_ = shutdown.Shutdown(fx.ExitCode(1))
		case <-a.Done:
		}
	}()
}
