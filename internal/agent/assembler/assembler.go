package assembler

import (
	"context"
	"crypto/rand"
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"

	"knapweedspur/internal/agent/admitter"
	"knapweedspur/internal/agent/announcer"
	"knapweedspur/internal/agent/runner"
	"knapweedspur/internal/agent/server"
	"knapweedspur/internal/metric/exporter"
	"knapweedspur/internal/platform/upstreamclient"
	"knapweedspur/internal/platform/workerclient"
)

const (
	healthEvery   = 500 * time.Millisecond
	healthTimeout = time.Second
	// saidAfter is how long entries may take to hear that the agent leaves.
	saidAfter = time.Second
	// idleConnections are kept to the upstream.
	idleConnections = 64
)

// Platform is how an agent reaches what is on its own VM. Nil means that the
// VM has none.
type Platform struct {
	Upstream upstreamclient.Upstream
	Worker   workerclient.Worker
}

// HTTP returns the platform over HTTP, as the settings give it.
func HTTP(s *Settings) Platform {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	var p Platform
	if s.Upstream.IsValid() {
		p.Upstream = &upstreamclient.HTTP{Address: s.Upstream, Client: client}
	}
	if s.Worker.IsValid() {
		p.Worker = &workerclient.HTTP{Address: s.Worker, Client: &http.Client{}}
	}
	return p
}

// Options returns the parts of an agent for fx.
func Options(s *Settings, logger hclog.Logger, p Platform) fx.Option {
	return fx.Options(
		fx.Supply(s, p),
		fx.Provide(func() hclog.Logger { return logger }, admitter.New, newAgent),
		fx.Invoke(run, export),
	)
}

func newAgent(s *Settings, p Platform, adm *admitter.Admitter, logger hclog.Logger) *agent {
	a := &agent{settings: s, name: s.VM + "-" + rand.Text()[:12], admitter: adm}
	a.server = &server.Server{Admitter: adm, Upstream: p.Upstream}
	header := http.Header{}
	if s.Token != "" {
		header.Set("Authorization", "Bearer "+s.Token)
	}
	a.announcer = &announcer.Announcer{
		Entries: s.Entries, Links: s.Links, Every: s.Beat, Scheme: "ws", Header: header, Client: &http.Client{},
		Hello: a.hello, Heartbeat: a.heartbeat, Connected: a.connected, Logger: logger.Named("announcer"),
	}
	a.announcer.Init()
	if p.Worker != nil {
		a.runner = &runner.Runner{Worker: p.Worker, Agent: a.name, Outbox: a.announcer, Every: s.Probe, Logger: logger.Named("runner")}
		a.runner.Init()
	}
	return a
}

// run starts the agent with the application and stops it with it: it says that
// it leaves, refuses what still comes, and ends when the last request has.
func run(lc fx.Lifecycle, shutdown fx.Shutdowner, a *agent, p Platform, logger hclog.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var metrics *http.Server
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			var err error
			if metrics, err = a.serveMetrics(); err != nil {
				return err
			}
			group.Go(func() { a.announcer.Run(ctx) })
			if p.Upstream != nil {
				group.Go(func() { a.watch(ctx, p.Upstream) })
			}
			if a.runner != nil {
				group.Go(func() { a.keep(ctx, shutdown, logger) })
			}
			logger.Info("agent runs", "vm", a.settings.VM, "service", a.settings.Service)
			return nil
		},
		OnStop: func(stop context.Context) error {
			logger.Info("agent leaves; waiting for requests in flight")
			a.admitter.Leave()
			a.announcer.Nudge()
			a.finish(stop)
			cancel()
			group.Wait()
			if metrics != nil {
				_ = metrics.Close()
			}
			return nil
		},
	})
}

// finish waits until the entries have heard and the last request has ended.
func (a *agent) finish(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		time.Sleep(saidAfter)
		a.server.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// keep runs the tasks, and ends the process when a later one has the VM.
func (a *agent) keep(ctx context.Context, shutdown fx.Shutdowner, logger hclog.Logger) {
	if err := a.runner.Run(ctx); err != nil && ctx.Err() == nil {
		logger.Error("agent ends", "error", err)
		_ = shutdown.Shutdown(fx.ExitCode(1))
	}
}

// watch follows the health of the upstream.
func (a *agent) watch(ctx context.Context, upstream upstreamclient.Upstream) {
	ticker := time.NewTicker(healthEvery)
	defer ticker.Stop()
	for {
		call, cancel := context.WithTimeout(ctx, healthTimeout)
		healthy := upstream.Healthy(call) == nil
		cancel()
		if healthy != a.admitter.Load().Healthy {
			a.admitter.SetOpen(healthy)
			a.announcer.Nudge()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *agent) serveMetrics() (*http.Server, error) {
	if !a.settings.Metrics.IsValid() {
		return nil, nil
	}
	listener, err := net.Listen("tcp", a.settings.Metrics.String())
	if err != nil {
		return nil, trace.Wrap(err, "listen on %s; is another process there?", a.settings.Metrics)
	}
	r := mux.NewRouter()
	r.Handle("/debug/vars", expvar.Handler())
	r.HandleFunc("/-/health", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	s := &http.Server{Handler: r, ReadHeaderTimeout: healthTimeout}
	go func() { _ = s.Serve(listener) }()
	return s, nil
}

// export publishes the metrics of an agent. docs/OPERATIONS.md lists them.
func export(a *agent) {
	exporter.Publish("knapweedspur", func() any {
		n := a.server.Counts()
		load := a.admitter.Load()
		values := map[string]any{
			"served": n.Served.Load(), "refused": n.Refused.Load(), "failed": n.Failed.Load(), "abandoned": n.Abandoned.Load(),
			"running": load.Running, "queued": load.Queued, "links": a.announcer.Connections(), "offset": a.offset.Load(),
		}
		if a.runner != nil && a.runner.Report() != nil {
			values["tasks"] = a.runner.Report().Tasks
			values["lease"] = a.runner.Report().Lease
		}
		return values
	})
}
