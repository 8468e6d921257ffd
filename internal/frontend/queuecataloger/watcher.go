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
	// firstBackoff and lastBackoff bound the pause after a failed read.
	firstBackoff = 30 * time.Millisecond
	lastBackoff  = 300 * time.Millisecond
)

// Watcher keeps the catalog up to date with the operators' stream.
type Watcher struct {
	Journal   journal.Journal
	Cataloger *Cataloger
	// Decode reads a catalog from a record, nil for a record of another kind.
	Decode func(journal.Record) (*Catalog, error)
	Logger hclog.Logger
	// Done is closed when Run has returned.
	Done chan struct{}

	// fresh is when the newest read was sent, on the boot clock.
	fresh atomic.Int64
	next  int64
}

// Age returns how old the knowledge of the configuration is.
func (w *Watcher) Age() time.Duration {
	fresh := w.fresh.Load()
	if fresh == 0 {
		return 24 * time.Hour
	}
	return bootclock.Now() - time.Duration(fresh)
}

// Run follows the operators' stream until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.Done)
	restart, lost, backoff := true, false, firstBackoff
	for ctx.Err() == nil {
		sent := bootclock.Now()
		var err error
		if restart {
			err = w.restart(ctx)
		} else {
			err = w.step(ctx)
		}
		var cut *journal.TruncatedError
		switch {
		case err == nil:
			w.fresh.Store(int64(sent))
			restart, backoff = false, firstBackoff
			if lost {
				lost = false
				w.Logger.Info("configuration regained")
			}
		case errors.As(err, &cut):
			restart = true
		default:
			if !lost && ctx.Err() == nil {
				lost = true
				w.Logger.Warn("configuration lost", "error", err.Error())
			}
			waiter.Sleep(ctx, backoff)
			backoff = min(2*backoff, lastBackoff)
		}
	}
}

func (w *Watcher) restart(ctx context.Context) error {
	next, err := journal.ReadNewest(ctx, w.Journal, w.take)
	if err != nil {
		return err
	}
	w.next = next
	return nil
}

func (w *Watcher) step(ctx context.Context) error {
	page, err := w.Journal.Read(ctx, w.next, pollWait)
	if err != nil {
		return err
	}
	for _, r := range page.Records {
		w.take(r)
		w.next = r.Offset + 1
	}
	return nil
}

func (w *Watcher) take(r journal.Record) {
	catalog, err := w.Decode(r)
	if err != nil {
		w.Logger.Error("configuration passed over", "offset", r.Offset, "error", err.Error())
		return
	}
	if catalog == nil {
		return
	}
	if w.Cataloger.Update(catalog) {
		w.Logger.Info("configuration in force", "version", catalog.Version, "queues", len(catalog.Queues), "offset", r.Offset)
	}
}
