// Package sitebuilder puts the parts of an entry and of an agent together for
// the users' platform.
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
	"knapweedspur/internal/frontend/queuecataloger"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/leader"
	"knapweedspur/internal/job/logfollower"
	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/link/connector"
	"knapweedspur/internal/link/framer"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/metric/exporter"
	"knapweedspur/internal/wire/work"
	"knapweedspur/platform"
)

const (
	// linger is how long a stopping entry goes on serving: the balancer needs
	// two of its checks, one a second, to send clients elsewhere.
	linger = 3 * time.Second
	// stopSlack is kept of the grace for closing connections.
	stopSlack = time.Second
	// headerTimeout bounds the time for the header of a request.
	headerTimeout = 3 * time.Second
	// idleTimeout closes connections of clients that were not used.
	idleTimeout = 60 * time.Second
	// memberEvery is how often an entry announces itself anew.
	memberEvery = leader.MemberTTL / 3
	// staleMember is when an entry that is not heard is removed: three times as
	// long as it counts.
	staleMember = 3 * leader.MemberTTL
	// memberRetry is the pause after an announcement that failed.
	memberRetry = 200 * time.Millisecond
)

// entry is an entry on the users' platform.
type entry struct {
	settings *platform.Settings
	logger   hclog.Logger
	work     *platform.Stream
	entries  *platform.Stream
	follower *logfollower.Follower
	watcher  *queuecataloger.Watcher
	leader   *leader.Leader
	board    *agentbroker.Server
	acceptor *jobacceptor.Acceptor
	life     string
	servers  *serverGroup
	group    *taskGroup
}

// EntryOptions returns the parts of an entry.
func EntryOptions(settings *platform.Settings, logger hclog.Logger) fx.Option {
	return fx.Options(
		fx.Supply(settings),
		fx.Provide(func() hclog.Logger { return logger }, platform.NewClient, newEntry),
		fx.Invoke(func(lc fx.Lifecycle, e *entry) { lc.Append(fx.Hook{OnStart: e.start, OnStop: e.stop}) }),
	)
}

func newEntry(s *platform.Settings, logger hclog.Logger, client *http.Client) *entry {
	stream := func(topic string) *platform.Stream {
		return &platform.Stream{Address: s.LogAddress, Client: client, Topic: topic}
	}
	e := &entry{
		settings: s, logger: logger, work: stream(platform.WorkStream), entries: stream(platform.EntryStream),
		life: rand.Text()[:12], servers: &serverGroup{logger: logger}, group: newTaskGroup(),
	}
	catalog := &queuecataloger.Cataloger{}
	e.watcher = &queuecataloger.Watcher{
		Journal: stream(platform.OperatorStream), Cataloger: catalog, Decode: platform.DecodeCatalog,
		Logger: logger, Done: make(chan struct{}),
	}
	e.leader = &leader.Leader{
		Journal: e.work, Logger: logger, Name: s.VMName, Life: e.life, Address: s.PeerAddress,
		Settings: planner.Settings{MaxLease: s.MaxLease, FarFactor: s.FarFactor}, Client: client, Strength: s.CPUShare, MaxCall: s.MaxAppendBytes,
	}
	if s.PolicyAddress.IsValid() {
		e.leader.Advisor = &platform.PolicyClient{Address: s.PolicyAddress, Client: client}
	}
	e.follower = &logfollower.Follower{Journal: e.work, Logger: logger, Observer: e.leader}
	e.board = &agentbroker.Server{Follower: e.follower, Leader: e.leader, Logger: logger}
	e.leader.Follower, e.leader.Links = e.follower, e.board
	e.acceptor = &jobacceptor.Acceptor{
		Journal: e.work, Follower: e.follower, Leader: e.leader, Cataloger: catalog, ConfigAge: e.watcher.Age,
		Logger: logger, MaxRecordBytes: s.MaxRecordBytes,
	}
	e.leader.Appends = exporter.NewHistogram("append_us")
	e.acceptor.AcceptLatency = exporter.NewHistogram("accept_us")
	exporter.Publish("view_age_us", func() any { return e.follower.Age().Microseconds() })
	exporter.Publish("leading_epoch", func() any { return e.leader.Leading() })
	exporter.Publish("work", func() any { return e.counts() })
	e.follower.Init()
	e.leader.Init(time.Now())
	e.board.Init()
	return e
}

func (e *entry) start(context.Context) error {
	peers := mux.NewRouter()
	peers.Handle(framer.AgentPath, e.board)
	peers.HandleFunc(leader.OfferPath, e.leader.ServeOffer).Methods(http.MethodPost)
	peers.HandleFunc(leader.LifePath, e.leader.ServeLife).Methods(http.MethodGet)
	handlers := []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{e.settings.ClientAddress, platform.ClientHandler(e.acceptor)},
		{e.settings.HealthAddress, platform.ReadyHandler(e.acceptor)},
		{e.settings.PeerAddress, peers},
		{e.settings.MetricsAddress, metricsHandler()},
	}
	for _, h := range handlers {
		if err := e.servers.serve(connector.HostNetwork{}, h.address, h.handler); err != nil {
			return err
		}
	}
	e.group.run(e.follower.Run)
	e.group.run(e.watcher.Run)
	e.group.run(e.leader.Run)
	e.group.run(e.announce)
	e.logger.Info("start", "role", "entry", "life", e.life, "clients", e.settings.ClientAddress.String(), "store", e.settings.LogAddress.String())
	return nil
}

// counts describes the view for the metrics.
func (e *entry) counts() map[string]int {
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

// announce tells agents and entries where this entry is, now and then.
func (e *entry) announce(ctx context.Context) {
	for ctx.Err() == nil {
		member := &work.Member{Name: e.settings.VMName, Incarnation: e.life, Address: e.settings.PeerAddress, AnnouncedAt: time.Now(), CPUShare: e.settings.CPUShare}
		record := []journal.Record{jobreducer.MemberRecord(member)}
		_, err := e.entries.Append(ctx, record, nil)
		if err == nil {
			_, err = e.work.Append(ctx, record, nil)
		}
		if err != nil {
			waiter.Sleep(ctx, memberRetry)
			continue
		}
		e.dropStale(ctx, time.Now())
		waiter.Sleep(ctx, memberEvery)
	}
}

// dropStale removes entries that have not announced themselves for long.
func (e *entry) dropStale(ctx context.Context, now time.Time) {
	var stale []journal.Record
	e.follower.View(func(state *jobreducer.State, _ time.Duration) {
		for name, m := range state.Members {
			if now.Sub(m.AnnouncedAt) > staleMember {
				stale = append(stale, jobreducer.MemberTombstone(name))
			}
		}
	})
	if len(stale) == 0 {
		return
	}
	for _, stream := range []journal.Journal{e.entries, e.work} {
		if _, err := stream.Append(ctx, stale, nil); err != nil {
			e.logger.Info("stale entries not removed", "entries", len(stale), "error", err.Error())
		}
	}
}

// stopTimes divides the grace of a stopping entry into the time in which it
// takes new requests and the time that those it has read may still take.
func stopTimes(grace time.Duration) (wait, drain time.Duration) {
	wait = min(linger, max(grace-stopSlack, 0))
	return wait, max(grace-wait-stopSlack/2, 0)
}

// stop hands the lead over, serves until clients have gone elsewhere, and
// closes what is left.
func (e *entry) stop(context.Context) error {
	e.logger.Info("stop", "role", "entry", "linger", linger.String())
	e.acceptor.StartDraining()
	e.leader.Resign()
	wait, drain := stopTimes(e.settings.Grace)
	time.Sleep(wait)
	e.servers.stop(drain)
	e.group.stop()
	e.logger.Info("stopped", "role", "entry")
	return nil
}
