package agentbuilder

import (
	"crypto/rand"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"

	"knapweedspur/internal/agent/announcer"
	"knapweedspur/internal/agent/requestadmitter"
	"knapweedspur/internal/agent/requestexecutor"
	"knapweedspur/internal/agent/taskexecutor"
	"knapweedspur/internal/client/upstreamclient"
	"knapweedspur/internal/client/workerclient"
	"knapweedspur/internal/link/connector"
	"knapweedspur/internal/link/framer"
	"knapweedspur/internal/link/requestlimiter"
	"knapweedspur/internal/metric/exporter"
)

const (
	healthInterval = 500 * time.Millisecond
	healthTimeout  = time.Second
	// metricsShare is the part of the budget of requests in progress that the only listener
	// may always use.
	metricsShare = 0.25
	// shutdownNoticeDelay is the time given to entries to stop sending requests
	// after a shutdown was announced.
	shutdownNoticeDelay = time.Second
)

// Dependencies are the clients of the services on the agent's VM, and its
// network. A nil client means that the VM does not run the service.
type Dependencies struct {
	Upstream upstreamclient.Upstream
	Worker   workerclient.Worker
	Network  connector.Connector
}

// HTTPDependencies returns HTTP clients for the addresses in the settings.
func HTTPDependencies(s *Settings, network connector.Connector) Dependencies {
	d := Dependencies{Network: network}
	if s.Upstream.IsValid() {
		d.Upstream = &upstreamclient.HTTP{Address: s.Upstream, Client: upstreamclient.NewClient(connector.NewTransport(network))}
	}
	if s.Worker.IsValid() {
		d.Worker = &workerclient.HTTP{Address: s.Worker, Client: &http.Client{Transport: connector.NewTransport(network)}}
	}
	return d
}

// Options returns the components of an agent for fx.
func Options(s *Settings, logger hclog.Logger, d Dependencies) fx.Option {
	return fx.Options(
		fx.Supply(s, d),
		fx.Provide(func() hclog.Logger { return logger }, requestadmitter.New, newAgent),
		fx.Invoke(exportMetrics),
	)
}

func newAgent(s *Settings, d Dependencies, admitter *requestadmitter.Admitter, logger hclog.Logger) *Agent {
	a := &Agent{settings: s, limiter: requestlimiter.New(s.Requests, s.Limits, logger), incarnation: s.VM + "-" + rand.Text()[:12], admitter: admitter, dependencies: d, logger: logger, Done: make(chan struct{}), Failed: make(chan error, 1)}
	a.executor = &requestexecutor.Executor{Admitter: admitter, Upstream: d.Upstream}
	header := http.Header{}
	if s.Token != "" {
		header.Set("Authorization", "Bearer "+s.Token)
	}
	a.announcer = &announcer.Announcer{
		Entries: s.Entries, ConnectionCount: s.Links, HeartbeatInterval: s.Beat, Scheme: "ws", Header: header, Client: &http.Client{Transport: connector.NewTransport(d.Network)},
		Hello: a.hello, Heartbeat: a.heartbeat, NewHandler: a.newHandler, Logger: logger.Named("announcer"),
	}
	a.announcer.Init()
	if d.Worker != nil {
		a.runner = &taskexecutor.Runner{Worker: d.Worker, Incarnation: a.incarnation, Outbox: a.announcer, ProbeInterval: s.Probe, Logger: logger.Named("runner")}
		a.runner.Init()
	}
	return a
}

// exportMetrics exports the metrics of an agent. docs/OPERATIONS.md lists them.
func exportMetrics(a *Agent) {
	exporter.Publish("limited", a.limiter.Report)
	exporter.Publish("knapweedspur", func() any {
		counts := a.executor.Counts()
		load := a.admitter.Load()
		sent, received, frames := framer.Traffic()
		values := map[string]any{
			"links":  map[string]int64{"sent": sent, "received": received, "frames": frames},
			"served": counts.Served.Load(), "refused": counts.Refused.Load(), "failed": counts.Failed.Load(), "abandoned": counts.Abandoned.Load(),
			"running": load.Running, "queued": load.Queued, "entries": a.announcer.Connections(), "offset": a.configOffset.Load(),
		}
		if a.runner != nil && a.runner.Report() != nil {
			values["tasks"] = a.runner.Report().Tasks
			values["lease"] = a.runner.Report().Lease
		}
		return values
	})
}
