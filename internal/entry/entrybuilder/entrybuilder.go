package entrybuilder

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"

	"knapweedspur/internal/client/logclient"
	"knapweedspur/internal/config/configcataloger"
	"knapweedspur/internal/entry/agentacceptor"
	"knapweedspur/internal/entry/agenttracker"
	"knapweedspur/internal/entry/authorizer"
	"knapweedspur/internal/entry/callerserver"
	"knapweedspur/internal/entry/configpublisher"
	"knapweedspur/internal/entry/controlserver"
	"knapweedspur/internal/entry/runserver"
	"knapweedspur/internal/entry/schedulerdriver"
	"knapweedspur/internal/link/connector"
	"knapweedspur/internal/log/appender"
	"knapweedspur/internal/policy/placer"
	"knapweedspur/internal/policy/upstreamselector"
	"knapweedspur/internal/route/forwarder"
	"knapweedspur/internal/route/retrybudgeter"
	"knapweedspur/internal/state/configreducer"
	"knapweedspur/internal/state/restorer"
	"knapweedspur/internal/state/snapshotter"
	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/task/scheduler"
	"knapweedspur/internal/wire/admin"
	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/message"
)

const (
	// ConfigStream is the stream of the configuration, the same in all regions.
	ConfigStream = "config"
	// TaskStream begins the name of a region's task stream.
	TaskStreamPrefix = "tasks."

	logWait       = time.Second
	appendTimeout = 5 * time.Second
	peerTimeout   = time.Second
	maxSnapshot   = 64 << 20
	beatsMissed   = 5
)

// Incarnation names this process among all that ever ran.
type Incarnation string

// NewIncarnation makes a name that is never used twice.
func NewIncarnation(prefix string) Incarnation { return Incarnation(prefix + "-" + rand.Text()[:16]) }

// Platform is how an entry reaches what is outside of it.
type Platform struct {
	Log     logclient.Log
	Network connector.Connector
}

// Options returns the parts of an entry for fx.
func Options(s *Settings, logger hclog.Logger, p Platform) fx.Option {
	return fx.Options(
		fx.Supply(s),
		fx.Provide(
			func() hclog.Logger { return logger },
			func() logclient.Log { return p.Log },
			func() connector.Connector { return p.Network },
			func() Incarnation { return NewIncarnation("entry") },
			func() *configcataloger.Cataloger { return &configcataloger.Cataloger{} },
			agenttracker.New,
			func() *retrybudgeter.Budget { return &retrybudgeter.Budget{} },
			newKernel, newDriver, newPublisher, newForwarder, newLinker, newAuthorizer, newBookkeeper, newServer, newController, newEntry,
		),
		fx.Invoke(export),
	)
}

func newKernel(s *Settings, in Incarnation, catalog *configcataloger.Cataloger) (*scheduler.Scheduler, error) {
	place, err := placer.Lookup(s.Placement)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &scheduler.Scheduler{
		Entry: string(in), Placement: place, Hold: s.Hold, SuspectAfter: s.Suspect,
		Quota: func(team string) (message.Size, bool) {
			if spec := catalog.Current().Team(team); spec != nil {
				return spec.Quota, true
			}
			return message.Size{}, false
		},
	}, nil
}

func newAppender(s *Settings, in Incarnation, log logclient.Log, stream string, logger hclog.Logger) *appender.Appender {
	return &appender.Appender{Log: log, Stream: stream, Writer: string(in), MinInterval: s.Group, Timeout: appendTimeout, Logger: logger.Named("appender")}
}

func newDriver(s *Settings, in Incarnation, log logclient.Log, network connector.Connector, k *scheduler.Scheduler, t *agenttracker.Tracker, logger hclog.Logger) *schedulerdriver.Driver {
	stream := TaskStreamPrefix + s.Region
	peers := &peers{token: s.Token, client: &http.Client{Timeout: peerTimeout, Transport: connector.NewTransport(network)}}
	records := newAppender(s, in, log, stream, logger)
	records.SharedRate = s.Appends
	d := &schedulerdriver.Driver{
		Kernel: k, Log: log, Stream: stream, ReadWait: logWait, ReadInterval: s.Pace, Appender: records, Tracker: t,
		Address: s.advertised(), AskPeers: peers.heard,
		Restorer: &restorer.Restorer[*taskreducer.State]{
			Log: log, Stream: stream, New: taskreducer.New, Restore: taskreducer.Restore,
			Peers: s.Peers, FetchFromPeer: peers.snapshot, Timeout: appendTimeout,
		},
		SnapshotEvery: s.SnapshotEvery, SnapshotRecords: uint64(s.SnapshotRecords), Logger: logger.Named("driver"),
	}
	records.WriterCount = d.Writers
	return d
}

func newPublisher(s *Settings, in Incarnation, log logclient.Log, network connector.Connector, c *configcataloger.Cataloger, d *schedulerdriver.Driver, logger hclog.Logger) *configpublisher.Publisher {
	peers := &peers{token: s.Token, client: &http.Client{Timeout: peerTimeout, Transport: connector.NewTransport(network)}}
	return &configpublisher.Publisher{
		Log: log, Stream: ConfigStream, ReadWait: logWait, ReadInterval: s.Pace, Appender: newAppender(s, in, log, ConfigStream, logger), Catalog: c,
		Restorer: &restorer.Restorer[*configreducer.State]{
			Log: log, Stream: ConfigStream, New: configreducer.New, Restore: configreducer.Restore,
			Peers: s.Peers, FetchFromPeer: peers.snapshot, Timeout: appendTimeout,
		},
		IsSnapshotWriter:         func() bool { return d.RanksFirst(ConfigStream) },
		SnapshotEvery: s.SnapshotEvery, SnapshotRecords: uint64(s.SnapshotRecords), Logger: logger.Named("publisher"),
	}
}

func newForwarder(s *Settings, c *configcataloger.Cataloger, t *agenttracker.Tracker, b *retrybudgeter.Budget) (*forwarder.Forwarder, error) {
	choose, err := upstreamselector.Lookup(s.Routing)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &forwarder.Forwarder{Catalog: c, Tracker: t, Policy: choose, RetryBudget: b}, nil
}

func newLinker(s *Settings, c *configcataloger.Cataloger, t *agenttracker.Tracker, d *schedulerdriver.Driver, logger hclog.Logger) *agentacceptor.Acceptor {
	return &agentacceptor.Acceptor{Tracker: t, Driver: d, Catalog: c, Domain: s.Domain, SilenceTimeout: beatsMissed * s.Beat, Logger: logger.Named("linker")}
}

func newAuthorizer(s *Settings) *authorizer.Authorizer { return &authorizer.Authorizer{Token: s.Token} }

func newBookkeeper(d *schedulerdriver.Driver, c *configcataloger.Cataloger, a *authorizer.Authorizer) *runserver.Server {
	return &runserver.Server{Driver: d, Catalog: c, Authorizer: a}
}

func newServer(f *forwarder.Forwarder, b *runserver.Server, c *configcataloger.Cataloger) *callerserver.Server {
	return &callerserver.Server{Forward: f, Runs: b, Catalog: c}
}

func newController(s *Settings, a *authorizer.Authorizer, in Incarnation, l *agentacceptor.Acceptor, d *schedulerdriver.Driver, p *configpublisher.Publisher, t *agenttracker.Tracker, c *configcataloger.Cataloger, f *forwarder.Forwarder, b *runserver.Server) *controlserver.Server {
	return &controlserver.Server{
		Entry: string(in), Domain: s.Domain, Authorizer: a, AgentHandler: l, Runs: b, Driver: d, Publisher: p, Tracker: t, Catalog: c, Forwarder: f,
	}
}

// peers asks other entries.
type peers struct {
	token  string
	client *http.Client
}

func (p *peers) get(ctx context.Context, peer netip.AddrPort, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.String()+path, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+p.token)
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "ask entry %s", peer)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "ask entry %s: %s", peer, resp.Status)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxSnapshot))
}

// heard reports whether any of the entries hears a VM.
func (p *peers) heard(ctx context.Context, vm string, entries []netip.AddrPort) bool {
	for _, e := range entries {
		body, err := p.get(ctx, e, "/v1/vms/"+vm+"/heard")
		var answer admin.Heard
		if err == nil && json.Unmarshal(body, &answer) == nil && answer.Heard {
			return true
		}
	}
	return false
}

func (p *peers) snapshot(ctx context.Context, peer netip.AddrPort, stream string) (snapshotter.Snapshot, error) {
	var s snapshotter.Snapshot
	body, err := p.get(ctx, peer, "/v1/snapshots/"+stream)
	if err != nil {
		return s, err
	}
	return s, codec.DecodeSnapshot(body, &s)
}
