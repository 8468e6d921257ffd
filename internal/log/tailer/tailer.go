// Package tailer follows a log stream and knows how old its view of it is.
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
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
	// slack is added to the wait of a read for its way there and back.
	slack = 2 * time.Second
)

// View is how far a stream was seen, and when.
type View struct {
	// Asked is when the read that showed the end of the stream was sent.
	ReadSent time.Time
	// Next is the offset after the last value seen.
	Next uint64
}

// Tailer follows one stream. Set the exported fields, then Run.
type Tailer struct {
	// Log is the log service.
	Log logclient.Log
	// Stream is the stream to follow.
	Stream string
	// Wait is how long a read waits for something new.
	MaxWait time.Duration
	// Gap is the least time between two reads, so that a busy stream is read in
	// pages and not value by value.
	MinInterval time.Duration
	// Apply takes the value at an offset. It is called in order.
	Apply func(now time.Time, offset uint64, value []byte)
	// Recover is called when the records at the offset are no longer kept. It
	// returns the higher offset to go on from.
	Recover func(ctx context.Context, from uint64) (uint64, error)
	// Viewed is called after each read that reached the end of the stream.
	CaughtUp func(now time.Time, v View)
	// Logger takes what goes wrong.
	Logger hclog.Logger

	view atomic.Pointer[View]
}

// View returns the newest view. It is the zero View before the end was seen.
func (t *Tailer) View() View {
	if v := t.view.Load(); v != nil {
		return *v
	}
	return View{}
}

// Run follows the stream from an offset until the context ends.
func (t *Tailer) Run(ctx context.Context, from uint64) {
	pause := firstPause
	for ctx.Err() == nil {
		begin := time.Now()
		next, err := t.read(ctx, from)
		if err == nil {
			from = next
			pause = firstPause
			wait(ctx, t.MinInterval-time.Since(begin))
			continue
		}
		if ctx.Err() != nil {
			return
		}
		t.Logger.Warn("cannot read the log; trying again", "stream", t.Stream, "offset", from, "error", err)
		wait(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}

// read applies one page and returns the offset after it.
func (t *Tailer) read(ctx context.Context, from uint64) (uint64, error) {
	asked := time.Now()
	page, err := t.page(ctx, from)
	var cut *logclient.TruncatedError
	if errors.As(err, &cut) {
		return t.Recover(ctx, from)
	}
	if err != nil {
		return from, err
	}
	if err := check(page, from); err != nil {
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
	view := View{ReadSent: asked, Next: from}
	t.view.Store(&view)
	if t.CaughtUp != nil {
		t.CaughtUp(now, view)
	}
	return from, nil
}

// check refuses a page that would make the fold skip records or go back.
func check(page logclient.Page, from uint64) error {
	if page.First > from && len(page.Items) > 0 {
		return trace.BadParameter("the log left out offsets %d to %d", from, page.First-1)
	}
	if page.Head < from {
		return trace.BadParameter("the log ends at %d, before offset %d that it gave out; is it another log?", page.Head, from)
	}
	if len(page.Items) == 0 && page.Head > from {
		return trace.BadParameter("the log gave nothing at %d and ends at %d", from, page.Head)
	}
	return nil
}

func (t *Tailer) page(ctx context.Context, from uint64) (logclient.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, t.MaxWait+slack)
	defer cancel()
	return t.Log.Read(ctx, t.Stream, from, t.MaxWait)
}

func wait(ctx context.Context, d time.Duration) {
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
