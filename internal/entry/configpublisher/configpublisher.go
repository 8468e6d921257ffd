// Package configpublisher follows the configuration stream on an entry, keeps the
// catalog up to date, and publishes operators' changes.
package configpublisher

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/client/logclient"
	"knapweedspur/internal/config/configcataloger"
	"knapweedspur/internal/config/parser"
	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/log/appender"
	"knapweedspur/internal/log/tailer"
	"knapweedspur/internal/state/configreducer"
	"knapweedspur/internal/state/restorer"
	"knapweedspur/internal/state/snapshotter"
	"knapweedspur/internal/wire/message"
)

const (
	retryDelay            = time.Second
	snapshotCheckInterval = time.Second
	outageRetryAfter      = 5 * time.Second
	// maxEdits is the most edits in one change.
	maxEdits = 500
)

// Publisher follows the configuration stream and publishes changes. Set the
// exported fields before calling Run.
type Publisher struct {
	// Log is the client of the log service.
	Log logclient.Log
	// Stream is the name of the configuration stream.
	Stream string
	// ReadWait is how long a read of the log waits for new records.
	ReadWait time.Duration
	// ReadInterval is the minimum time between two reads of the log.
	ReadInterval time.Duration
	// Appender appends records to the stream.
	Appender *appender.Appender
	// Catalog is updated with each new configuration.
	Catalog *configcataloger.Cataloger
	// Restorer finds the state to start from.
	Restorer *restorer.Restorer[*configreducer.State]
	// IsSnapshotWriter reports whether this entry is the one that writes snapshots.
	IsSnapshotWriter func() bool
	// SnapshotEvery and SnapshotRecords bound the time and the number of appends
	// between two snapshots.
	SnapshotEvery   time.Duration
	SnapshotRecords uint64
	// Logger receives log messages.
	Logger hclog.Logger

	mu                 sync.Mutex
	state              *configreducer.State
	foldSignal         chan struct{}
	lastSnapshotTime   time.Time
	lastSnapshotOffset uint64
}

// Run follows the stream until the context ends.
func (p *Publisher) Run(ctx context.Context) {
	from, ok := p.restore(ctx)
	if !ok {
		return
	}
	tail := &tailer.Tailer{Log: p.Log, Stream: p.Stream, MaxWait: p.ReadWait, MinInterval: p.ReadInterval, Apply: p.apply, Recover: p.recoverFromTruncation, CaughtUp: p.onCaughtUp, Logger: p.Logger}
	go tail.Run(ctx, from)
	p.snapshotLoop(ctx)
}

// restore loads the newest configuration from the log or, while the log service is
// down, from peers. It retries until it has one or the context ends, and returns
// the offset to read from.
func (p *Publisher) restore(ctx context.Context) (uint64, bool) {
	for {
		state, err := p.Restorer.FromLog(ctx)
		found := err == nil
		if !found {
			p.Logger.Warn("waiting for the log service", "stream", p.Stream, "error", err)
			state, found = p.Restorer.FromPeers(ctx)
		}
		if found {
			p.setState(time.Now(), state, err != nil)
			return state.Next, true
		}
		select {
		case <-ctx.Done():
			return 0, false
		case <-time.After(retryDelay):
		}
	}
}

// setState sets the state. A snapshot from the log is put in force only after the
// stream has been read to its end; the configuration of a peer is in force
// already.
func (p *Publisher) setState(now time.Time, state *configreducer.State, fromPeer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	if p.foldSignal == nil {
		p.foldSignal = make(chan struct{})
	}
	p.lastSnapshotTime = now
	p.lastSnapshotOffset = state.Next
	if fromPeer {
		p.Logger.Warn("log service is down; using the configuration of another entry", "offset", state.Next)
		p.Catalog.Update(state)
	}
}

func (p *Publisher) recoverFromTruncation(ctx context.Context, from uint64) (uint64, error) {
	state, err := p.Restorer.NewerThan(ctx, from)
	if err != nil {
		return from, err
	}
	p.setState(time.Now(), state, false)
	return state.Next, nil
}

func (p *Publisher) apply(_ time.Time, offset uint64, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Fold(offset, value)
	close(p.foldSignal)
	p.foldSignal = make(chan struct{})
}

// onCaughtUp puts the folded state in force. It is called when the stream has been
// read to its end.
func (p *Publisher) onCaughtUp(time.Time, tailer.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.Catalog.Current()
	if current == nil || current.Next < p.state.Next {
		p.Catalog.Update(p.state)
	}
}

func (p *Publisher) snapshotLoop(ctx context.Context) {
	ticker := time.NewTicker(snapshotCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.snapshotIfDue(ctx, now)
		}
	}
}

func (p *Publisher) snapshotIfDue(ctx context.Context, now time.Time) {
	if !p.IsSnapshotWriter() {
		return
	}
	p.mu.Lock()
	due := snapshotter.Due(now, p.lastSnapshotTime, p.state.Next, p.lastSnapshotOffset, p.SnapshotEvery, p.SnapshotRecords)
	if due {
		p.lastSnapshotTime = now
		p.lastSnapshotOffset = p.state.Next
	}
	p.mu.Unlock()
	if !due {
		return
	}
	s, err := p.Snapshot()
	if err == nil {
		writeCtx, cancel := context.WithTimeout(ctx, p.Appender.Timeout)
		defer cancel()
		err = snapshotter.Write(writeCtx, p.Log, p.Stream, s)
	}
	if err != nil {
		p.Logger.Warn("cannot write a snapshot; trying again later", "stream", p.Stream, "error", err)
	}
}

// Snapshot returns a snapshot of the configuration, for other entries.
func (p *Publisher) Snapshot() (snapshotter.Snapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		return snapshotter.Snapshot{}, snapshotter.ErrNoSnapshot
	}
	data, err := p.state.Snapshot()
	return snapshotter.Snapshot{Next: p.state.Next, Data: data}, err
}

// Read calls f with the state, which f must not retain. It returns false before
// the state is restored.
func (p *Publisher) Read(f func(s *configreducer.State)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		return false
	}
	f(p.state)
	return true
}

// Publish appends a change and waits until it is folded. It returns the version
// that the change has created.
func (p *Publisher) Publish(ctx context.Context, c *message.Change) (uint64, *verdict.Error) {
	if e := validate(c); e != nil {
		return 0, e
	}
	if p.Appender.Stalled() {
		return 0, &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.LogUnavailable, Reason: "the log service does not answer; nothing was published", RetryAfter: outageRetryAfter}
	}
	pending := p.Appender.Enqueue(message.Record{Change: c})
	if pending == nil {
		return 0, &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.LogUnavailable, Reason: "too many records wait for the log service; nothing was published", RetryAfter: outageRetryAfter}
	}
	select {
	case <-pending.Done:
	case <-ctx.Done():
		if p.Appender.Withdraw(pending) == appender.Withdrawn {
			return 0, &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.LogUnavailable, Reason: "the log service did not answer in time; nothing was published", RetryAfter: outageRetryAfter}
		}
	}
	return p.waitFolded(ctx, c.ID)
}

// waitFolded waits until a change is folded and returns its outcome.
func (p *Publisher) waitFolded(ctx context.Context, id string) (uint64, *verdict.Error) {
	for {
		p.mu.Lock()
		outcome, known := p.state.Changes[id]
		next := p.foldSignal
		p.mu.Unlock()
		if known && outcome.Version == 0 {
			return 0, &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Conflict, Reason: outcome.Reason}
		}
		if known {
			return outcome.Version, nil
		}
		select {
		case <-next:
		case <-ctx.Done():
			return 0, &verdict.Error{Verdict: verdict.Unknown, Cause: verdict.LogUnavailable, Reason: "the change may be in force or may yet be; look with `knapweedspur audit`", RetryAfter: outageRetryAfter}
		}
	}
}

// validate rejects a malformed change, and one with a declaration that entries
// cannot read.
func validate(c *message.Change) *verdict.Error {
	if c.ID == "" || c.Who == "" || len(c.Edits) == 0 || len(c.Edits) > maxEdits {
		return invalidError("a change needs an id, who makes it, and 1 to 500 edits")
	}
	seen := map[string]bool{}
	for _, e := range c.Edits {
		if seen[e.Name] {
			return invalidError("the change edits " + e.Name + " twice")
		}
		seen[e.Name] = true
		if e.Body == "" {
			continue
		}
		spec, problems := parser.Parse(e.Name, []byte(e.Body))
		if len(problems) > 0 {
			return invalidError(problems[0].String())
		}
		if spec.Name != e.Name {
			return invalidError("the edit of " + e.Name + " holds a declaration of " + spec.Name)
		}
	}
	return nil
}

func invalidError(reason string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Invalid, Reason: reason}
}
