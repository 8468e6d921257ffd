package queuecataloger

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/clock/bootclock"
	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/log/journal"
)

const (
	// pollWait is how long a read of the configuration waits for a change.
	pollWait = 500 * time.Millisecond
	// minBackoff is the pause after a failed read; it doubles up to maxBackoff.
	minBackoff = 30 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
)

// Watcher updates the catalog from the operators' stream.
type Watcher struct {
	Journal   journal.Journal
	Cataloger *Cataloger
	// Decode decodes a catalog from a record. It returns nil for a record that
	// holds no catalog.
	Decode func(journal.Record) (*Catalog, error)
	Logger hclog.Logger
	// Done is closed when Run has returned.
	Done chan struct{}

	// lastReadSent is when the last successful read was sent, on the boot clock.
	lastReadSent atomic.Int64
	nextOffset   int64
}

// Age returns the time since the configuration was last known to be current.
func (w *Watcher) Age() time.Duration {
	sent := w.lastReadSent.Load()
	if sent == 0 {
		return 24 * time.Hour
	}
	return bootclock.Now() - time.Duration(sent)
}

// Run follows the operators' stream until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.Done)
	needsReload, unavailable, backoff := true, false, minBackoff
	for ctx.Err() == nil {
		sent := bootclock.Now()
		var err error
		if needsReload {
			err = w.reload(ctx)
		} else {
			err = w.readNext(ctx)
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

func (w *Watcher) reload(ctx context.Context) error {
	next, err := journal.ReadNewest(ctx, w.Journal, w.apply)
	if err != nil {
		return err
	}
	w.nextOffset = next
	return nil
}

func (w *Watcher) readNext(ctx context.Context) error {
	page, err := w.Journal.Read(ctx, w.nextOffset, pollWait)
	if err != nil {
		return err
	}
	for _, r := range page.Records {
		w.apply(r)
		w.nextOffset = r.Offset + 1
	}
	return nil
}

func (w *Watcher) apply(r journal.Record) {
	catalog, err := w.Decode(r)
	if err != nil {
		w.Logger.Error("configuration record skipped", "offset", r.Offset, "error", err.Error())
		return
	}
	if catalog == nil {
		return
	}
	if w.Cataloger.Update(catalog) {
		w.Logger.Info("configuration in force", "version", catalog.Version, "queues", len(catalog.Queues), "offset", r.Offset)
	}
}
