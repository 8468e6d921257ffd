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
	"knapweedspur/internal/metric/exporter"
)

const (
	healthEvery   = 500 * time.Millisecond
	healthTimeout = time.Second
	// saidAfter is how long entries may take to hear that the agent leaves.
	saidAfter = time.Second
)

// Platform is how an agent reaches what is on its own VM. Nil means that the
// VM has none.
type Dependencies struct {
	Upstream upstreamclient.Upstream
	Worker   workerclient.Worker
	Network  connector.Connector
}

// HTTP returns the platform over HTTP, as the settings give it.
func HTTPDependencies(s *Settings, network connector.Connector) Dependencies {
	p := Dependencies{Network: network}
	if s.Upstream.IsValid() {
		p.Upstream = &upstreamclient.HTTP{Address: s.Upstream, Client: upstreamclient.NewClient(connector.NewTransport(network))}
	}
	if s.Worker.IsValid() {
		p.Worker = &workerclient.HTTP{Address: s.Worker, Client: &http.Client{Transport: connector.NewTransport(network)}}
	}
	return p
}

// Options returns the parts of an agent for fx.
func Options(s *Settings, logger hclog.Logger, p Dependencies) fx.Option {
	return fx.Options(
		fx.Supply(s, p),
		fx.Provide(func() hclog.Logger { return logger }, requestadmitter.New, newAgent),
		fx.Invoke(export),
	)
}

func newAgent(s *Settings, p Dependencies, adm *requestadmitter.Admitter, logger hclog.Logger) *Agent {
	a := &Agent{settings: s, name: s.VM + "-" + rand.Text()[:12], admitter: adm, platform: p, logger: logger, Done: make(chan struct{}), Failed: make(chan error, 1)}
	a.server = &requestexecutor.Executor{Admitter: adm, Upstream: p.Upstream}
	header := http.Header{}
	if s.Token != "" {
		header.Set("Authorization", "Bearer "+s.Token)
	}
	a.announcer = &announcer.Announcer{
		Entries: s.Entries, ConnectionCount: s.Links, HeartbeatInterval: s.Beat, Scheme: "ws", Header: header, Client: &http.Client{Transport: connector.NewTransport(p.Network)},
		Hello: a.hello, Heartbeat: a.heartbeat, NewHandler: a.connected, Logger: logger.Named("announcer"),
	}
	a.announcer.Init()
	if p.Worker != nil {
		a.runner = &taskexecutor.Runner{Worker: p.Worker, Agent: a.name, Outbox: a.announcer, ProbeInterval: s.Probe, Logger: logger.Named("runner")}
		a.runner.Init()
	}
	return a
}

// export publishes the metrics of an agent. docs/OPERATIONS.md lists them.
func export(a *Agent) {
	exporter.Publish("knapweedspur", func() any {
		n := a.server.Counts()
		load := a.admitter.Load()
		sent, received, frames := framer.Traffic()
		values := map[string]any{
			"links":  map[string]int64{"sent": sent, "received": received, "frames": frames},
			"served": n.Served.Load(), "refused": n.Refused.Load(), "failed": n.Failed.Load(), "abandoned": n.Abandoned.Load(),
			"running": load.Running, "queued": load.Queued, "entries": a.announcer.Connections(), "offset": a.offset.Load(),
		}
		if a.runner != nil && a.runner.Report() != nil {
			values["tasks"] = a.runner.Report().Tasks
			values["lease"] = a.runner.Report().Lease
		}
		return values
	})
}
