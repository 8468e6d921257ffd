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
	"knapweedspur/internal/link/requestlimiter"
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
	// ConfigStream is the name of the configuration stream, which all regions share.
	ConfigStream = "config"
	// TaskStreamPrefix is followed by the region in the name of a task stream.
	TaskStreamPrefix = "tasks."

	logReadWait         = time.Second
	appendTimeout       = 5 * time.Second
	peerTimeout         = time.Second
	maxSnapshotBytes    = 64 << 20
	maxMissedHeartbeats = 5
)

// Incarnation identifies this process among all processes that ever ran.
type Incarnation string

// NewIncarnation returns a name with a random part that is not used again.
func NewIncarnation(prefix string) Incarnation { return Incarnation(prefix + "-" + rand.Text()[:16]) }

// Dependencies are the client of the log service and the network of an entry.
type Dependencies struct {
	Log     logclient.Log
	Network connector.Connector
}

// Options returns the fx options that provide the components of an entry.
func Options(s *Settings, logger hclog.Logger, d Dependencies) fx.Option {
	return fx.Options(
		fx.Supply(s),
		fx.Provide(
			func() hclog.Logger { return logger },
			func() logclient.Log { return d.Log },
			func() connector.Connector { return d.Network },
			func() *requestlimiter.Limiter { return requestlimiter.New(s.Requests, s.Limits, logger) },
			func() Incarnation { return NewIncarnation("entry") },
			func() *configcataloger.Cataloger { return &configcataloger.Cataloger{} },
			agenttracker.New,
			func() *retrybudgeter.Budget { return &retrybudgeter.Budget{} },
			newScheduler, newDriver, newPublisher, newForwarder, newAcceptor, newAuthorizer, newRunServer, newCallerServer, newControlServer, newEntry,
		),
		fx.Invoke(exportMetrics),
	)
}

func newScheduler(s *Settings, incarnation Incarnation, catalog *configcataloger.Cataloger) (*scheduler.Scheduler, error) {
	policy, err := placer.Lookup(s.Placement)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &scheduler.Scheduler{
		Entry: string(incarnation), Placement: policy, Hold: s.Hold, SuspectAfter: s.Suspect,
		Quota: func(team string) (message.Size, bool) {
			if spec := catalog.Current().Team(team); spec != nil {
				return spec.Quota, true
			}
			return message.Size{}, false
		},
	}, nil
}

func newAppender(s *Settings, incarnation Incarnation, log logclient.Log, stream string, logger hclog.Logger) *appender.Appender {
	return &appender.Appender{Log: log, Stream: stream, Writer: string(incarnation), MinInterval: s.Group, Timeout: appendTimeout, Logger: logger.Named("appender")}
}

func newDriver(s *Settings, incarnation Incarnation, log logclient.Log, network connector.Connector, k *scheduler.Scheduler, t *agenttracker.Tracker, logger hclog.Logger) *schedulerdriver.Driver {
	stream := TaskStreamPrefix + s.Region
	peers := &peerClient{token: s.Token, client: &http.Client{Timeout: peerTimeout, Transport: connector.NewTransport(network)}}
	taskAppender := newAppender(s, incarnation, log, stream, logger)
	taskAppender.SharedRate = s.Appends
	d := &schedulerdriver.Driver{
		Scheduler: k, Log: log, Stream: stream, ReadWait: logReadWait, ReadInterval: s.Pace, Appender: taskAppender, Tracker: t,
		Address: s.advertisedAddress(), AskPeers: peers.anyHears,
		Restorer: &restorer.Restorer[*taskreducer.State]{
			Log: log, Stream: stream, New: taskreducer.New, Restore: taskreducer.Restore,
			Peers: s.Peers, FetchFromPeer: peers.snapshot, Timeout: appendTimeout,
		},
		SnapshotEvery: s.SnapshotEvery, SnapshotRecords: uint64(s.SnapshotRecords), Logger: logger.Named("driver"),
	}
	taskAppender.WriterCount = d.WriterCount
	return d
}

func newPublisher(s *Settings, incarnation Incarnation, log logclient.Log, network connector.Connector, c *configcataloger.Cataloger, d *schedulerdriver.Driver, logger hclog.Logger) *configpublisher.Publisher {
	peers := &peerClient{token: s.Token, client: &http.Client{Timeout: peerTimeout, Transport: connector.NewTransport(network)}}
	return &configpublisher.Publisher{
		Log: log, Stream: ConfigStream, ReadWait: logReadWait, ReadInterval: s.Pace, Appender: newAppender(s, incarnation, log, ConfigStream, logger), Catalog: c,
		Restorer: &restorer.Restorer[*configreducer.State]{
			Log: log, Stream: ConfigStream, New: configreducer.New, Restore: configreducer.Restore,
			Peers: s.Peers, FetchFromPeer: peers.snapshot, Timeout: appendTimeout,
		},
		IsSnapshotWriter: func() bool { return d.RanksFirst(ConfigStream) },
		SnapshotEvery:    s.SnapshotEvery, SnapshotRecords: uint64(s.SnapshotRecords), Logger: logger.Named("publisher"),
	}
}

func newForwarder(s *Settings, c *configcataloger.Cataloger, t *agenttracker.Tracker, b *retrybudgeter.Budget) (*forwarder.Forwarder, error) {
	policy, err := upstreamselector.Lookup(s.Routing)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &forwarder.Forwarder{Catalog: c, Tracker: t, Policy: policy, RetryBudget: b}, nil
}

func newAcceptor(s *Settings, c *configcataloger.Cataloger, t *agenttracker.Tracker, d *schedulerdriver.Driver, logger hclog.Logger) *agentacceptor.Acceptor {
	return &agentacceptor.Acceptor{Tracker: t, Driver: d, Catalog: c, Domain: s.Domain, IdleTimeout: maxMissedHeartbeats * s.Beat, Logger: logger.Named("linker")}
}

func newAuthorizer(s *Settings) *authorizer.Authorizer { return &authorizer.Authorizer{Token: s.Token} }

func newRunServer(d *schedulerdriver.Driver, c *configcataloger.Cataloger, a *authorizer.Authorizer) *runserver.Server {
	return &runserver.Server{Driver: d, Catalog: c, Authorizer: a}
}

func newCallerServer(f *forwarder.Forwarder, runs *runserver.Server, c *configcataloger.Cataloger) *callerserver.Server {
	return &callerserver.Server{Forward: f, Runs: runs, Catalog: c}
}

func newControlServer(s *Settings, a *authorizer.Authorizer, incarnation Incarnation, acceptor *agentacceptor.Acceptor, d *schedulerdriver.Driver, p *configpublisher.Publisher, t *agenttracker.Tracker, c *configcataloger.Cataloger, f *forwarder.Forwarder, runs *runserver.Server) *controlserver.Server {
	return &controlserver.Server{
		Entry: string(incarnation), Domain: s.Domain, Authorizer: a, AgentHandler: acceptor, Runs: runs, Driver: d, Publisher: p, Tracker: t, Catalog: c, Forwarder: f,
	}
}

// peerClient sends requests to other entries.
type peerClient struct {
	token  string
	client *http.Client
}

func (c *peerClient) get(ctx context.Context, peer netip.AddrPort, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.String()+path, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "ask entry %s", peer)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "ask entry %s: %s", peer, resp.Status)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxSnapshotBytes))
}

// anyHears reports whether any of the entries hears a VM.
func (c *peerClient) anyHears(ctx context.Context, vm string, entries []netip.AddrPort) bool {
	for _, e := range entries {
		body, err := c.get(ctx, e, "/v1/vms/"+vm+"/heard")
		var answer admin.Heard
		if err == nil && json.Unmarshal(body, &answer) == nil && answer.Heard {
			return true
		}
	}
	return false
}

func (c *peerClient) snapshot(ctx context.Context, peer netip.AddrPort, stream string) (snapshotter.Snapshot, error) {
	var s snapshotter.Snapshot
	body, err := c.get(ctx, peer, "/v1/snapshots/"+stream)
	if err != nil {
		return s, err
	}
	return s, codec.DecodeSnapshot(body, &s)
}
