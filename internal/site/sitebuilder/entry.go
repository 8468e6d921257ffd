// Package sitebuilder assembles the entry and agent processes for the users'
// platform.
package sitebuilder

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/netip"
	"time"

	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"

	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/frontend/agentbroker"
	"knapweedspur/internal/frontend/jobacceptor"
	"knapweedspur/internal/frontend/placementexplainer"
	"knapweedspur/internal/frontend/queuecataloger"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/leader"
	"knapweedspur/internal/job/logfollower"
	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/link/connector"
	"knapweedspur/internal/link/framer"
	"knapweedspur/internal/link/requestlimiter"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/metric/exporter"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/site/statusreporter"
	"knapweedspur/internal/wire/work"
	"knapweedspur/platform"
)

const (
	// shutdownDelay is how long a stopping entry continues to accept requests: the
	// load balancer checks once a second and needs two checks to send clients
	// elsewhere.
	shutdownDelay = 3 * time.Second
	// closeReserve is the part of the grace period kept for closing connections.
	closeReserve = time.Second
	// announceInterval is the time between announcements of an entry.
	announceInterval = leader.MemberTTL / 3
	// staleEntryAge is the age of the last announcement at which an entry is
	// removed from the log: three times as long as it counts as alive.
	staleEntryAge = 3 * leader.MemberTTL
	// announceRetryPause is the pause after a failed announcement.
	announceRetryPause = 200 * time.Millisecond
)

// entry is an entry process on the users' platform.
type entry struct {
	settings    *platform.Settings
	gates       gatekeeper.Gates
	logger      hclog.Logger
	workStream  *platform.Stream
	entryStream *platform.Stream
	follower    *logfollower.Follower
	watcher     *queuecataloger.Watcher
	leader      *leader.Leader
	broker      *agentbroker.Broker
	acceptor    *jobacceptor.Acceptor
	incarnation string
	servers     *serverGroup
	goroutines  *goroutineGroup
}

// EntryOptions returns the fx options that build and run an entry.
func EntryOptions(settings *platform.Settings, gates gatekeeper.Gates, limiter *requestlimiter.Limiter, logger hclog.Logger) fx.Option {
	return fx.Options(
		fx.Supply(settings, gates, limiter),
		fx.Provide(func() hclog.Logger { return logger }, platform.NewClient, newEntry),
		fx.Invoke(func(lc fx.Lifecycle, e *entry) { lc.Append(fx.Hook{OnStart: e.start, OnStop: e.stop}) }),
	)
}

func newEntry(s *platform.Settings, gates gatekeeper.Gates, limiter *requestlimiter.Limiter, logger hclog.Logger, client *http.Client) *entry {
	stream := func(topic string) *platform.Stream {
		return &platform.Stream{Address: s.LogAddress, Client: client, Topic: topic, LinkRate: s.LinkRate, WriteRate: s.WriteRate}
	}
	e := &entry{
		settings: s, gates: gates, logger: logger, workStream: stream(platform.WorkStream), entryStream: stream(platform.EntryStream),
		incarnation: rand.Text()[:12], servers: &serverGroup{logger: logger, limiter: limiter}, goroutines: newGoroutineGroup(),
	}
	catalog := &queuecataloger.Cataloger{}
	e.watcher = &queuecataloger.Watcher{
		Journal: stream(platform.OperatorStream), Cataloger: catalog, Decode: platform.DecodeOperatorRecord,
		Logger: logger, HasPolicyService: s.PolicyAddress.IsValid(),
	}
	e.watcher.Init()
	e.leader = &leader.Leader{
		Journal: e.workStream, Logger: logger, Name: s.VMName, Incarnation: e.incarnation, Address: s.PeerAddress,
		Settings:   planner.Settings{MaxLease: s.MaxLease, FarFactor: s.FarFactor, MaxRequestAge: s.EvacuationBound / 2, StateLifetime: s.StateLifetime, Gates: gates},
		Evacuation: e.watcher.Evacuation, Client: client, CPUShare: s.CPUShare, MaxAppendBytes: s.MaxAppendBytes,
	}
	if s.PolicyAddress.IsValid() {
		e.leader.PolicyService = &platform.PolicyClient{Address: s.PolicyAddress, Client: client}
	}
	e.follower = &logfollower.Follower{Journal: e.workStream, Logger: logger, Observer: e.leader}
	e.broker = &agentbroker.Broker{Follower: e.follower, Leader: e.leader, Evacuation: e.watcher.Evacuation, Logger: logger}
	e.leader.Follower, e.leader.Agents = e.follower, e.broker
	e.acceptor = &jobacceptor.Acceptor{
		Journal: e.workStream, Follower: e.follower, Leader: e.leader, Cataloger: catalog, ConfigAge: e.watcher.Age,
		Logger: logger, MaxRecordBytes: s.MaxRecordBytes, Gates: gates,
	}
	e.leader.AppendLatency = exporter.NewHistogram("append_us")
	e.leader.PolicyLatency = exporter.NewHistogram("policy_query_us")
	exporter.Publish("policy_queries", func() any { return e.leader.PolicyCounts() })
	e.acceptor.AcceptLatency = exporter.NewHistogram("accept_us")
	exporter.Publish("view_age_us", func() any { return e.follower.Age().Microseconds() })
	exporter.Publish("leading_epoch", func() any { return e.leader.Leading() })
	exporter.Publish("without", func() any { return gates.Off() })
	exporter.Publish("evacuated", func() any { return e.watcher.Evacuation() })
	exporter.Publish("unserved_requests", func() any { return e.watcher.Unserved() })
	exporter.Publish("reported_absent", func() any { return e.acceptor.ReportedAbsent() })
	exporter.Publish("refused_for_room", func() any { return e.acceptor.RefusedForRoom() })
	exporter.Publish("forecast_age_us", func() any { return e.forecastAge() })
	exporter.Publish("work", func() any { return e.workCounts() })
	exporter.Publish("limited", limiter.Report)
	exporter.Publish("uneven", func() any { return e.leader.Uneven() })
	e.follower.Init()
	e.leader.Init(time.Now())
	e.broker.Init()
	return e
}

func (e *entry) start(context.Context) error {
	peers := mux.NewRouter()
	peers.Handle(framer.AgentPath, e.broker)
	peers.HandleFunc(leader.ProposalPath, e.leader.ServeProposal).Methods(http.MethodPost)
	peers.Handle(placementexplainer.Path, &placementexplainer.Explainer{
		Name: e.settings.VMName, Follower: e.follower, Planners: e.leader, FindQueue: e.acceptor.FindQueue, Decode: platform.DecodeJob,
		Situation: e.acceptor.Situation, Client: e.leader.Client, Logger: e.logger,
	}).Methods(http.MethodPost)
	peers.Handle(statusreporter.Path, &statusreporter.Reporter{
		Entry: e.settings.VMName, Domain: e.settings.Domain, Follower: e.follower, Cataloger: e.acceptor.Cataloger, Gates: e.gates, Logger: e.logger,
	}).Methods(http.MethodGet)
	peers.HandleFunc(leader.IncarnationPath, e.leader.ServeIncarnation).Methods(http.MethodGet)
	endpoints := []struct {
		address  netip.AddrPort
		endpoint requestlimiter.Endpoint
	}{
		{e.settings.ClientAddress, requestlimiter.Endpoint{Name: "clients", Share: mainShare, BodyFactor: jobFactor, Handler: platform.ClientHandler(e.acceptor)}},
		{e.settings.ReadinessAddress, requestlimiter.Endpoint{Name: "readiness", Share: sideShare, Handler: platform.ReadinessHandler(e.acceptor)}},
		{e.settings.PeerAddress, requestlimiter.Endpoint{Name: "peers", Share: mainShare, BodyFactor: peerFactor, Handler: peers}},
		{e.settings.MetricsAddress, metricsEndpoint()},
	}
	for _, h := range endpoints {
		if err := e.servers.serve(connector.HostNetwork{}, h.address, h.endpoint); err != nil {
			return err
		}
	}
	e.goroutines.run(e.follower.Run)
	e.goroutines.run(e.watcher.Run)
	e.goroutines.run(e.leader.Run)
	e.goroutines.run(e.announce)
	e.logger.Info("start", "role", "entry", "life", e.incarnation, "clients", e.settings.ClientAddress.String(), "store", e.settings.LogAddress.String(), "without", e.gates.String())
	return nil
}

// forecastAge returns the age of the forecast of room in microseconds, nil if there is
// none, for the metrics.
func (e *entry) forecastAge() any {
	age, known := e.acceptor.ForecastAge()
	if !known {
		return nil
	}
	return age.Microseconds()
}

// workCounts returns the numbers of sessions, entries and jobs by state in the
// view, for the metrics.
func (e *entry) workCounts() map[string]int {
	c := map[string]int{}
	e.follower.View(func(state *jobreducer.State, _ time.Duration) {
		c["sessions"], c["entries"] = len(state.Sessions), len(state.Members)
		for _, j := range state.Jobs {
			switch {
			case j.Outcome != nil:
				c[j.Outcome.State]++
			case j.Started():
				c["running"]++
			default:
				c["queued"]++
			}
		}
	})
	return c
}

// announce periodically announces the address of this entry to agents and other
// entries.
func (e *entry) announce(ctx context.Context) {
	for ctx.Err() == nil {
		member := &work.Member{Name: e.settings.VMName, Incarnation: e.incarnation, Address: e.settings.PeerAddress, AnnouncedAt: time.Now(), CPUShare: e.settings.CPUShare}
		record := []journal.Record{jobreducer.MemberRecord(member)}
		_, err := e.entryStream.Append(ctx, record, nil)
		if err == nil {
			_, err = e.workStream.Append(ctx, record, nil)
		}
		if err != nil {
			waiter.Sleep(ctx, announceRetryPause)
			continue
		}
		e.removeStaleEntries(ctx, time.Now())
		waiter.Sleep(ctx, announceInterval)
	}
}

// removeStaleEntries removes entries whose last announcement is older than
// staleEntryAge.
func (e *entry) removeStaleEntries(ctx context.Context, now time.Time) {
	var stale []journal.Record
	e.follower.View(func(state *jobreducer.State, _ time.Duration) {
		for name, m := range state.Members {
			if now.Sub(m.AnnouncedAt) > staleEntryAge {
				stale = append(stale, jobreducer.MemberTombstone(name))
			}
		}
	})
	if len(stale) == 0 {
		return
	}
	for _, stream := range []journal.Journal{e.entryStream, e.workStream} {
		if _, err := stream.Append(ctx, stale, nil); err != nil {
			e.logger.Info("stale entries not removed", "entries", len(stale), "error", err.Error())
		}
	}
}

// splitGrace divides the grace period of a stopping entry into the time during
// which it accepts new requests and the time that open requests may still take.
func splitGrace(grace time.Duration) (serve, drain time.Duration) {
	serve = min(shutdownDelay, max(grace-closeReserve, 0))
	return serve, max(grace-serve-closeReserve/2, 0)
}

// stop hands leadership over, serves until the load balancer sends clients
// elsewhere, and drains the open requests.
func (e *entry) stop(context.Context) error {
	e.logger.Info("stop", "role", "entry", "linger", shutdownDelay.String())
	e.acceptor.StartDraining()
	e.leader.Resign()
	serve, drain := splitGrace(e.settings.Grace)
	time.Sleep(serve)
	e.servers.stop(drain)
	e.goroutines.stop()
	e.logger.Info("stopped", "role", "entry")
	return nil
}
