package sitebuilder

import (
	"context"
	"crypto/rand"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"

	"knapweedspur/internal/link/connector"
	"knapweedspur/internal/sidecar/pacer"
	"knapweedspur/internal/sidecar/reporter"
	"knapweedspur/internal/sidecar/supervisor"
	"knapweedspur/platform"
)

// agent is an agent on the users' platform.
type agent struct {
	settings *platform.Settings
	logger   hclog.Logger
	warden   *supervisor.Supervisor
	courier  *reporter.EntryClient
	servers  *serverGroup
	group    *taskGroup
}

// AgentOptions returns the parts of an agent.
func AgentOptions(settings *platform.Settings, logger hclog.Logger) fx.Option {
	return fx.Options(
		fx.Supply(settings),
		fx.Provide(func() hclog.Logger { return logger }, platform.NewClient, newAgent),
		fx.Invoke(func(lc fx.Lifecycle, a *agent) { lc.Append(fx.Hook{OnStart: a.start, OnStop: a.stop}) }),
	)
}

func newAgent(s *platform.Settings, logger hclog.Logger, client *http.Client) *agent {
	a := &agent{settings: s, logger: logger, servers: &serverGroup{logger: logger}, group: newTaskGroup()}
	a.courier = &reporter.EntryClient{
		Client: client, Logger: logger, Agent: rand.Text()[:12], Host: s.VMName,
		Finder: &platform.EntryFinder{Stream: &platform.Stream{Address: s.LogAddress, Client: client, Topic: platform.EntryStream}},
	}
	brake := pacer.New()
	brake.HarmLimit = s.MaxTargetMiss
	a.warden = &supervisor.Supervisor{
		Worker: &platform.WorkerClient{Address: s.WorkerAddress, Client: client}, Logger: logger, MaxLease: s.MaxLease, OnChange: a.courier.RequestReport, OnSessionStart: a.courier.SendHeartbeatsNow, Pacer: brake,
	}
	a.courier.Supervisor = a.warden
	a.courier.Init()
	a.warden.Init()
	return a
}

func (a *agent) start(context.Context) error {
	router := mux.NewRouter()
	platform.AddWorkerRoutes(router, a.warden)
	if err := a.servers.serve(connector.HostNetwork{}, a.settings.ControlAddress, router); err != nil {
		return err
	}
	if err := a.servers.serve(connector.HostNetwork{}, a.settings.MetricsAddress, metricsHandler()); err != nil {
		return err
	}
	a.group.run(a.warden.Run)
	a.group.run(a.courier.Run)
	a.logger.Info("start", "role", "agent", "life", a.courier.Agent, "worker", a.settings.WorkerAddress.String())
	return nil
}

// stop ends the agent at once: the worker goes on under its lease, and the
// next agent of the VM asks it what runs.
func (a *agent) stop(context.Context) error {
	a.logger.Info("stop", "role", "agent")
	a.group.stop()
	a.servers.stop(stopSlack / 2)
	a.logger.Info("stopped", "role", "agent")
	return nil
}
