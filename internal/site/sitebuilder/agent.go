package sitebuilder

import (
	"context"
	"crypto/rand"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"

	"knapweedspur/internal/link/connector"
	"knapweedspur/internal/link/requestlimiter"
	"knapweedspur/internal/metric/exporter"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/sidecar/pacer"
	"knapweedspur/internal/sidecar/reporter"
	"knapweedspur/internal/sidecar/supervisor"
	"knapweedspur/platform"
)

// agent is an agent process on the users' platform.
type agent struct {
	settings   *platform.Settings
	gates      gatekeeper.Gates
	logger     hclog.Logger
	supervisor *supervisor.Supervisor
	reporter   *reporter.EntryClient
	servers    *serverGroup
	goroutines *goroutineGroup
}

// AgentOptions returns the fx options that build and run an agent.
func AgentOptions(settings *platform.Settings, gates gatekeeper.Gates, limiter *requestlimiter.Limiter, logger hclog.Logger) fx.Option {
	return fx.Options(
		fx.Supply(settings, gates, limiter),
		fx.Provide(func() hclog.Logger { return logger }, platform.NewClient, newAgent),
		fx.Invoke(func(lc fx.Lifecycle, a *agent) { lc.Append(fx.Hook{OnStart: a.start, OnStop: a.stop}) }),
	)
}

func newAgent(s *platform.Settings, gates gatekeeper.Gates, limiter *requestlimiter.Limiter, logger hclog.Logger, client *http.Client) *agent {
	a := &agent{settings: s, gates: gates, logger: logger, servers: &serverGroup{logger: logger, limiter: limiter}, goroutines: newGoroutineGroup()}
	a.reporter = &reporter.EntryClient{
		Client: client, Logger: logger, AgentIncarnation: rand.Text()[:12], Host: s.VMName,
		Finder: &platform.EntryFinder{Stream: &platform.Stream{Address: s.LogAddress, Client: client, Topic: platform.EntryStream}},
	}
	taskPacer := pacer.New()
	taskPacer.MaxTargetMiss, taskPacer.Gates = s.MaxTargetMiss, gates
	a.supervisor = &supervisor.Supervisor{
		Worker: &platform.WorkerClient{Address: s.WorkerAddress, Client: client}, Logger: logger, MaxLease: s.MaxLease,
		// The rest of the bound is for the call to the worker.
		MaxRequestAge: s.EvacuationBound * 3 / 4, OnChange: a.reporter.RequestReport, OnSessionStart: a.reporter.SendHeartbeatsNow,
	}
	if gates.On(gatekeeper.Pacing) {
		a.supervisor.Pacer = taskPacer
	}
	exporter.Publish("without", func() any { return gates.Off() })
	exporter.Publish("limited", limiter.Report)
	exporter.Publish("evacuation_refusals", func() any { return a.supervisor.EvacuationRefusals() })
	a.reporter.Supervisor = a.supervisor
	a.reporter.Init()
	a.supervisor.Init()
	return a
}

func (a *agent) start(context.Context) error {
	router := mux.NewRouter()
	platform.AddWorkerRoutes(router, a.supervisor)
	control := requestlimiter.Endpoint{Name: "control", Share: mainShare, BodyFactor: heartbeatFactor, Handler: router}
	if err := a.servers.serve(connector.HostNetwork{}, a.settings.ControlAddress, control); err != nil {
		return err
	}
	if err := a.servers.serve(connector.HostNetwork{}, a.settings.MetricsAddress, metricsEndpoint()); err != nil {
		return err
	}
	a.goroutines.run(a.supervisor.Run)
	a.goroutines.run(a.reporter.Run)
	a.logger.Info("start", "role", "agent", "life", a.reporter.AgentIncarnation, "worker", a.settings.WorkerAddress.String(), "without", a.gates.String())
	return nil
}

// stop stops the agent without draining: the worker continues under its lease,
// and the next agent of the VM asks the worker for its runs.
func (a *agent) stop(context.Context) error {
	a.logger.Info("stop", "role", "agent")
	a.goroutines.stop()
	a.servers.stop(closeReserve / 2)
	a.logger.Info("stopped", "role", "agent")
	return nil
}
