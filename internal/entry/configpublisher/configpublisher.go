// Package configpublisher follows the configuration stream on an entry, keeps the
// catalog current and offers operators' changes.
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
	retryPause  = time.Second
	snapshotRun = time.Second
	outagePause = 5 * time.Second
	// maxEdits is the most edits of one change.
	maxEdits = 500
)

// Publisher follows the configuration. Set the exported fields, then Run.
type Publisher struct {
	// Log is the log service.
	Log logclient.Log
	// Stream is the configuration stream.
	Stream string
	// Wait is how long a read of the log waits.
	ReadWait time.Duration
	// Gap is the least time between two reads of the log.
	ReadInterval time.Duration
	// Appender offers records to the stream.
	Appender *appender.Appender
	// Catalog is kept current.
	Catalog *configcataloger.Cataloger
	// Restorer finds the state to begin from.
	Restorer *restorer.Restorer[*configreducer.State]
	// First reports whether this entry is the one to write snapshots.
	IsSnapshotWriter func() bool
	// SnapshotEvery and SnapshotRecords bound the time and the records between
	// two snapshots.
	SnapshotEvery   time.Duration
	SnapshotRecords uint64
	// Logger takes what happens.
	Logger hclog.Logger

	mu     sync.Mutex
	state  *configreducer.State
	folded chan struct{}
	last   time.Time
	lastAt uint64
}

// Run follows the stream until the context ends.
func (p *Publisher) Run(ctx context.Context) {
	from, ok := p.begin(ctx)
	if !ok {
		return
	}
	tail := &tailer.Tailer{Log: p.Log, Stream: p.Stream, MaxWait: p.ReadWait, MinInterval: p.ReadInterval, Apply: p.apply, Recover: p.recover, CaughtUp: p.viewed, Logger: p.Logger}
	go tail.Run(ctx, from)
	p.snapshots(ctx)
}

// begin takes the newest configuration of the log or, in an outage, of the
// peers, and waits until there is one.
func (p *Publisher) begin(ctx context.Context) (uint64, bool) {
	for {
		state, err := p.Restorer.FromLog(ctx)
		found := err == nil
		if !found {
			p.Logger.Warn("waiting for the log service", "stream", p.Stream, "error", err)
			state, found = p.Restorer.FromPeers(ctx)
		}
		if found {
			p.adopt(time.Now(), state, err != nil)
			return state.Next, true
		}
		select {
		case <-ctx.Done():
			return 0, false
		case <-time.After(retryPause):
		}
	}
}

// adopt takes a state. A snapshot of the log is put in force only when the
// stream was read to its end; what a peer has is in force already.
func (p *Publisher) adopt(now time.Time, state *configreducer.State, fromPeer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	if p.folded == nil {
		p.folded = make(chan struct{})
	}
	p.last = now
	p.lastAt = state.Next
	if fromPeer {
		p.Logger.Warn("the log is down; running with the configuration of another entry", "offset", state.Next)
		p.Catalog.Update(state)
	}
}

func (p *Publisher) recover(ctx context.Context, from uint64) (uint64, error) {
	state, err := p.Restorer.NewerThan(ctx, from)
	if err != nil {
		return from, err
	}
	p.adopt(time.Now(), state, false)
	return state.Next, nil
}

func (p *Publisher) apply(_ time.Time, offset uint64, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Fold(offset, value)
	close(p.folded)
	p.folded = make(chan struct{})
}

// viewed puts the folded state in force.
func (p *Publisher) viewed(time.Time, tailer.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.Catalog.Current()
	if current == nil || current.Next < p.state.Next {
		p.Catalog.Update(p.state)
	}
}

func (p *Publisher) snapshots(ctx context.Context) {
	ticker := time.NewTicker(snapshotRun)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.snapshot(ctx, now)
		}
	}
}

func (p *Publisher) snapshot(ctx context.Context, now time.Time) {
	if !p.IsSnapshotWriter() {
		return
	}
	p.mu.Lock()
	due := snapshotter.Due(now, p.last, p.state.Next, p.lastAt, p.SnapshotEvery, p.SnapshotRecords)
	if due {
		p.last = now
		p.lastAt = p.state.Next
	}
	p.mu.Unlock()
	if !due {
		return
	}
	s, err := p.Snapshot()
	if err == nil {
		call, cancel := context.WithTimeout(ctx, p.Appender.Timeout)
		defer cancel()
		err = snapshotter.Write(call, p.Log, p.Stream, s)
	}
	if err != nil {
		p.Logger.Warn("cannot write a snapshot; trying again later", "stream", p.Stream, "error", err)
	}
}

// Snapshot returns the configuration as other entries take it.
func (p *Publisher) Snapshot() (snapshotter.Snapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		return snapshotter.Snapshot{}, snapshotter.ErrNoSnapshot
	}
	data, err := p.state.Snapshot()
	return snapshotter.Snapshot{Next: p.state.Next, Data: data}, err
}

// Read calls f with the state, which f must not keep. It returns false while
// there is none.
func (p *Publisher) Read(f func(s *configreducer.State)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		return false
	}
	f(p.state)
	return true
}

// Publish offers a change and waits until it is folded. It returns the version
// that the change set.
func (p *Publisher) Publish(ctx context.Context, c *message.Change) (uint64, *verdict.Error) {
	if e := check(c); e != nil {
		return 0, e
	}
	if p.Appender.Stalled() {
		return 0, &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.LogUnavailable, Reason: "the log service does not answer; nothing was published", RetryAfter: outagePause}
	}
	ticket := p.Appender.Enqueue(message.Record{Change: c})
	if ticket == nil {
		return 0, &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.LogUnavailable, Reason: "too many records wait for the log service; nothing was published", RetryAfter: outagePause}
	}
	select {
	case <-ticket.Done:
	case <-ctx.Done():
		if p.Appender.Withdraw(ticket) == appender.Withdrawn {
			return 0, &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.LogUnavailable, Reason: "the log service did not answer in time; nothing was published", RetryAfter: outagePause}
		}
	}
	return p.settled(ctx, c.ID)
}

// settled waits until a change is folded and tells what became of it.
func (p *Publisher) settled(ctx context.Context, id string) (uint64, *verdict.Error) {
	for {
		p.mu.Lock()
		outcome, known := p.state.Changes[id]
		next := p.folded
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
			return 0, &verdict.Error{Verdict: verdict.Unknown, Cause: verdict.LogUnavailable, Reason: "the change may be in force or may yet be; look with `knapweedspur audit`", RetryAfter: outagePause}
		}
	}
}

// check refuses a change that holds what no entry could read.
func check(c *message.Change) *verdict.Error {
	if c.ID == "" || c.Who == "" || len(c.Edits) == 0 || len(c.Edits) > maxEdits {
		return invalid("a change needs an id, who makes it, and 1 to 500 edits")
	}
	seen := map[string]bool{}
	for _, e := range c.Edits {
		if seen[e.Name] {
			return invalid("the change edits " + e.Name + " twice")
		}
		seen[e.Name] = true
		if e.Body == "" {
			continue
		}
		spec, problems := parser.Parse(e.Name, []byte(e.Body))
		if len(problems) > 0 {
			return invalid(problems[0].String())
		}
		if spec.Name != e.Name {
			return invalid("the edit of " + e.Name + " holds a declaration of " + spec.Name)
		}
	}
	return nil
}

func invalid(reason string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Invalid, Reason: reason}
}
