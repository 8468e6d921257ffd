package queuecataloger

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/clock/bootclock"
	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/job/queryscheduler"
	"knapweedspur/internal/log/journal"
)

const (
	// pollWait is how long a read of the configuration waits for a change.
	pollWait = 500 * time.Millisecond
	// reloadWait is how long the read after a reload waits. Usually there is nothing
	// to read, and the requests are not known before.
	reloadWait = time.Millisecond
	// minBackoff is the pause after a failed read; it doubles up to maxBackoff.
	minBackoff = 30 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
)

// Watcher updates the catalog and the operators' requests from their stream.
type Watcher struct {
	Journal   journal.Journal
	Cataloger *Cataloger
	// Decode decodes a record. It returns nil for a record that changes nothing.
	Decode func(journal.Record) (Change, error)
	Logger hclog.Logger
	// HasPolicyService says that there is a service that approves VMs for the queues that need it.
	HasPolicyService bool
	// Clock returns the time since boot. If nil, Init sets the clock of the VM.
	Clock func() time.Duration
	// Done is closed when Run has returned.
	Done chan struct{}

	// lastReadSent is when the last successful read was sent, on the boot clock.
	lastReadSent atomic.Int64
	nextOffset   int64
	requests     *requests
	published    atomic.Pointer[publishedRequests]
	// skipped holds the offsets of records that cannot be decoded, by key.
	skipped map[string]int64
}

// Init prepares the watcher. It must be called before any other method.
func (w *Watcher) Init() {
	if w.Clock == nil {
		w.Clock = bootclock.Now
	}
	w.Done = make(chan struct{})
	w.requests, w.skipped = newRequests(), map[string]int64{}
}

// Age returns the time since the configuration was last known to be current.
func (w *Watcher) Age() time.Duration {
	sent := w.lastReadSent.Load()
	if sent == 0 {
		return 24 * time.Hour
	}
	return w.Clock() - time.Duration(sent)
}

// Run follows the operators' stream until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.Done)
	needsReload, unavailable, backoff := true, false, minBackoff
	for ctx.Err() == nil {
		sent := w.Clock()
		var err error
		if needsReload {
			err = w.reload(ctx)
		} else {
			err = w.readNext(ctx, pollWait, sent)
		}
		var truncated *journal.TruncatedError
		switch {
		case err == nil:
			w.lastReadSent.Store(int64(sent))
			needsReload, backoff = false, minBackoff
			if unavailable {
				unavailable = false
				w.Logger.Info("configuration stream available again")
			}
		case errors.As(err, &truncated):
			needsReload = true
		default:
			if !unavailable && ctx.Err() == nil {
				unavailable = true
				w.Logger.Warn("configuration stream unavailable", "error", err.Error())
			}
			waiter.Sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// reload rebuilds the requests from the newest record of each key. It reads what
// follows as well, since the newest records are not those of one moment.
func (w *Watcher) reload(ctx context.Context) error {
	former := w.requests
	rebuilt := newRequests()
	next, _, err := journal.ReadNewest(ctx, w.Journal, func(r journal.Record) { w.apply(rebuilt, former, r) })
	if err != nil {
		return err
	}
	if next < w.nextOffset {
		return fmt.Errorf("the operators' stream ends at offset %d and was read up to %d before", next, w.nextOffset)
	}
	w.requests, w.nextOffset = rebuilt, next
	return w.readNext(ctx, reloadWait, w.Clock())
}

// readNext reads the records that follow, and publishes the requests once it has read
// all. The call is sent at the given time on the boot clock.
func (w *Watcher) readNext(ctx context.Context, wait, sent time.Duration) error {
	page, err := w.Journal.Read(ctx, w.nextOffset, wait)
	if err != nil {
		return err
	}
	for _, r := range page.Records {
		w.apply(w.requests, w.requests, r)
		w.nextOffset = r.Offset + 1
	}
	if w.nextOffset >= page.Head {
		w.publish(sent)
	}
	return nil
}

// maxProblemLines bounds the lines about the queues of one version.
const maxProblemLines = 20

// logProblems logs what operators should know of the queues of a catalog.
func (w *Watcher) logProblems(c *Catalog) {
	lines := 0
	for _, q := range c.Queues {
		if q.Approval == nil {
			continue
		}
		problems := queryscheduler.Problems(q.Approval)
		if !w.HasPolicyService {
			problems = []string{"it needs approval, but the settings name no policy service: its jobs do not start"}
		}
		for _, problem := range problems {
			if lines++; lines > maxProblemLines {
				return
			}
			w.Logger.Warn("queue is hard to serve", "queue", q.Name, "version", c.Version, "problem", problem)
		}
	}
}

// apply applies a record to the requests and the catalog. A record that cannot be
// decoded leaves its key as it is in the former requests.
func (w *Watcher) apply(requests, former *requests, r journal.Record) {
	change, err := w.Decode(r)
	if err != nil {
		if offset, known := w.skipped[r.Key]; !known || r.Offset > offset {
			w.skipped[r.Key] = r.Offset
			w.Logger.Error("operator record skipped", "key", r.Key, "offset", r.Offset, "error", err.Error())
		}
		requests.keep(r.Key, former)
		return
	}
	switch c := change.(type) {
	case *Catalog:
		if w.Cataloger.Update(c) {
			w.Logger.Info("configuration in force", "version", c.Version, "queues", len(c.Queues), "offset", r.Offset)
			w.logProblems(c)
		}
	case *DomainChange:
		requests.setDomain(r.Key, c)
	case *UnservedRequest:
		requests.setUnserved(r, c)
	}
}
