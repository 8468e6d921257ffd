// Package tailer follows a log stream and tracks how up to date its position in
// the stream is.
package tailer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/client/logclient"
)

const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// roundTripAllowance is added to the wait time of a read to cover the
	// network round trip.
	roundTripAllowance = 2 * time.Second
)

// View is the position up to which a stream has been read, and as of when.
type View struct {
	// ReadSent is when the read that reached the end of the stream was sent.
	ReadSent time.Time
	// Next is the offset after the last value read.
	Next uint64
}

// Tailer follows one stream. Set the exported fields, then call Run.
type Tailer struct {
	Log logclient.Log
	// Stream is the name of the stream.
	Stream string
	// MaxWait is how long a read waits for a new value.
	MaxWait time.Duration
	// MinInterval is the minimum time between the starts of two reads, so that a
	// busy stream is read in pages rather than value by value.
	MinInterval time.Duration
	// Apply is called with each value and its offset, in log order.
	Apply func(now time.Time, offset uint64, value []byte)
	// Recover is called when the log no longer keeps the values at the offset.
	// It returns the higher offset at which to continue.
	Recover func(ctx context.Context, from uint64) (uint64, error)
	// CaughtUp is called after each read that reached the end of the stream.
	CaughtUp func(now time.Time, v View)
	Logger   hclog.Logger

	view atomic.Pointer[View]
}

// View returns the newest view, or the zero View before the end of the stream
// was first reached.
func (t *Tailer) View() View {
	if v := t.view.Load(); v != nil {
		return *v
	}
	return View{}
}

// Run follows the stream from an offset until the context ends.
func (t *Tailer) Run(ctx context.Context, from uint64) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		start := time.Now()
		next, err := t.readAndApply(ctx, from)
		if err == nil {
			from = next
			backoff = initialBackoff
			sleep(ctx, t.MinInterval-time.Since(start))
			continue
		}
		if ctx.Err() != nil {
			return
		}
		t.Logger.Warn("log read failed; retrying", "stream", t.Stream, "offset", from, "error", err)
		sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// readAndApply reads one page, applies its values and returns the next offset.
func (t *Tailer) readAndApply(ctx context.Context, from uint64) (uint64, error) {
	sent := time.Now()
	page, err := t.readPage(ctx, from)
	var truncated *logclient.TruncatedError
	if errors.As(err, &truncated) {
		return t.Recover(ctx, from)
	}
	if err != nil {
		return from, err
	}
	if err := validatePage(page, from); err != nil {
		return from, err
	}
	now := time.Now()
	for i, value := range page.Items {
		offset := page.First + uint64(i)
		if offset < from {
			continue
		}
		t.Apply(now, offset, value)
		from = offset + 1
	}
	if from < page.Head {
		return from, nil
	}
	view := View{ReadSent: sent, Next: from}
	t.view.Store(&view)
	if t.CaughtUp != nil {
		t.CaughtUp(now, view)
	}
	return from, nil
}

// validatePage rejects a page that would make the reader skip offsets or go
// back.
func validatePage(page logclient.Page, from uint64) error {
	if page.First > from && len(page.Items) > 0 {
		return trace.BadParameter("log read skipped offsets %d to %d", from, page.First-1)
	}
	if page.Head < from {
		return trace.BadParameter("the log ends at offset %d, before offset %d already read; the log may have been replaced", page.Head, from)
	}
	if len(page.Items) == 0 && page.Head > from {
		return trace.BadParameter("log read at offset %d returned no values although the log ends at offset %d", from, page.Head)
	}
	return nil
}

func (t *Tailer) readPage(ctx context.Context, from uint64) (logclient.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, t.MaxWait+roundTripAllowance)
	defer cancel()
	return t.Log.Read(ctx, t.Stream, from, t.MaxWait)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
