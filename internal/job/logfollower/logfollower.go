// Package logfollower reads the work log continuously into a view of its state,
// from which clients and agents are answered, and tracks the age of the view.
package logfollower

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/clock/bootclock"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/log/journal"
)

const (
	// pollWait is how long a read waits for a record. It limits the age of the
	// view while nothing is written.
	pollWait = 250 * time.Millisecond
	// leaderReadPause is the pause after each read in the entry that leads,
	// followerReadPause that in the others. They limit the rate of calls to the
	// log store under load.
	leaderReadPause   = 15 * time.Millisecond
	followerReadPause = 50 * time.Millisecond
	// staleAge is the age above which a view counts as out of date: two
	// successive polls with their pauses, and the same time again as a margin.
	staleAge = 4 * pollWait
	// minBackoff and maxBackoff limit the pause after a failed read.
	minBackoff = 30 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
	// unknownAge is returned where an age is not known: older than any limit.
	unknownAge = 24 * time.Hour
)

// Observer is notified of changes to the view.
type Observer interface {
	// Applied is called with each record of the tail after it was applied.
	Applied(r journal.Record)
	// Leading returns the epoch in which this process leads, or 0 if it does not.
	Leading() int64
	// Rebuilt is called after the view was rebuilt from the newest records.
	Rebuilt()
}

// Follower keeps a view of the work log up to date.
type Follower struct {
	Journal  journal.Journal
	Logger   hclog.Logger
	Observer Observer
	// Clock returns the time since boot. If nil, Init sets the clock of the VM.
	Clock func() time.Duration
	// Done is closed when Run has returned.
	Done chan struct{}

	mu    sync.RWMutex
	state *jobreducer.State
	// caughtUpAt is when the last read that reached the end of the log was
	// sent, on the boot clock; 0 before the first.
	caughtUpAt time.Duration
	// completeFrom is the offset from which the view is one that the log had: the newest
	// records are read in pages, and those written meanwhile follow from the tail.
	completeFrom int64
	// answeredAt is when the last read that the log answered was sent, on the boot
	// clock.
	answeredAt time.Duration
	// recoveredAt is when the view last became current after it was out of date.
	recoveredAt time.Time
	// forecastAfter is a time on the boot clock after which the forecast in the view
	// was written, 0 if none is known.
	forecastAfter time.Duration
	// changed is closed and replaced after each read.
	changed chan struct{}
	// suspension tells what this process may have slept through.
	suspension suspension
	// awaited has an element while somebody waits for a record that the log has.
	awaited chan struct{}
}

// View calls read with the state and the age of the view, under a read lock.
func (f *Follower) View(read func(state *jobreducer.State, age time.Duration)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	read(f.state, f.age())
}

// age returns the age of the view, unknownAge before the first read. The caller
// holds the lock.
func (f *Follower) age() time.Duration {
	if f.caughtUpAt == 0 {
		return unknownAge
	}
	return f.Clock() - f.caughtUpAt
}

// Age returns the age of the view.
func (f *Follower) Age() time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.age()
}

// Unanswered returns how long the log has not answered this process. It is less than
// the age of a view that falls behind because much is written.
func (f *Follower) Unanswered() time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.Clock() - f.answeredAt
}

// RecoveredAt returns when the view last became current after it was out of date.
func (f *Follower) RecoveredAt() time.Time {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.recoveredAt
}

// forecastAge returns the greatest age that the forecast in the view can have. It rests
// on no clock of another machine: a forecast is younger than the last read before it
// that reached the end of the log. The caller holds the lock.
func (f *Follower) forecastAge() time.Duration {
	if f.forecastAfter == 0 {
		return unknownAge
	}
	return f.Clock() - f.forecastAfter
}

// Forecast calls read with the state and the greatest age that its forecast of room can
// have, under a read lock.
func (f *Follower) Forecast(read func(state *jobreducer.State, age time.Duration)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	read(f.state, f.forecastAge())
}

// CatchUp waits until the view includes everything that was in the log at the
// time of the call. It returns an error if the context ends first.
func (f *Follower) CatchUp(ctx context.Context) error {
	now := f.Clock()
	return f.waitUntil(ctx, func() bool { return f.caughtUpAt > now })
}

// WaitForOffset waits until the record at an offset, which the log has, is in the view.
// It returns an error if the context ends first.
func (f *Follower) WaitForOffset(ctx context.Context, offset int64) error {
	select {
	case f.awaited <- struct{}{}:
	default:
	}
	return f.waitUntil(ctx, func() bool { return f.state.Next > offset && f.state.Next >= f.completeFrom })
}

func (f *Follower) waitUntil(ctx context.Context, condition func() bool) error {
	for {
		f.mu.RLock()
		ok, changed := condition(), f.changed
		f.mu.RUnlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Init prepares the follower. It must be called before Run and View.
func (f *Follower) Init() {
	if f.Clock == nil {
		f.Clock = bootclock.Now
	}
	f.state, f.completeFrom = jobreducer.New(), math.MaxInt64
	f.answeredAt = f.Clock()
	f.changed = make(chan struct{})
	f.awaited = make(chan struct{}, 1)
	f.Done = make(chan struct{})
}

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.Done)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		f.watchClock(ctx)
	}()
	defer func() { <-watched }()
	backoff, lost := minBackoff, false
	rebuild := true
	for ctx.Err() == nil {
		var err error
		if rebuild {
			err = f.rebuild(ctx)
		} else {
			err = f.poll(ctx)
		}
		var cut *journal.TruncatedError
		switch {
		case err == nil:
			rebuild = false
			backoff = minBackoff
			if lost {
				lost = false
				f.Logger.Info("log regained")
			}
			if f.Observer.Leading() != 0 {
				f.pause(ctx, leaderReadPause)
			} else {
				f.pause(ctx, followerReadPause)
			}
		case errors.As(err, &cut):
			f.Logger.Warn("log was truncated before it was read; rebuilding the view", "first", cut.OldestOffset)
			rebuild = true
		default:
			if !lost && ctx.Err() == nil {
				lost = true
				f.Logger.Warn("log lost", "error", err.Error(), "age", f.Age().String())
			}
			f.pause(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// pause waits before the next read, unless a record is awaited.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.awaited:
	case <-ctx.Done():
	}
}

// rebuild replaces the view by one built from the newest record of each key.
func (f *Follower) rebuild(ctx context.Context) error {
	state := jobreducer.New()
	next, end, err := journal.ReadNewest(ctx, f.Journal, func(r journal.Record) { f.apply(state, r) })
	if err != nil {
		return err
	}
	state.Next = next
	f.mu.Lock()
	f.state, f.completeFrom, f.caughtUpAt, f.forecastAfter = state, end, 0, 0
	f.mu.Unlock()
	f.Logger.Info("view built from the log", "jobs", len(state.Jobs), "sessions", len(state.Sessions), "offset", next)
	if err := f.poll(ctx); err != nil {
		return err
	}
	f.Observer.Rebuilt()
	return nil
}

func (f *Follower) apply(state *jobreducer.State, r journal.Record) {
	if err := state.Apply(r); err != nil {
		f.Logger.Error("skipped unreadable record", "offset", r.Offset, "error", err.Error())
	}
}

// poll reads the tail of the log once.
func (f *Follower) poll(ctx context.Context) error {
	f.mu.RLock()
	next := f.state.Next
	f.mu.RUnlock()
	sent := f.Clock()
	page, err := f.Journal.Read(ctx, next, pollWait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.suspension.look(f.Clock(), f.state.Next)
	f.answeredAt = sent
	forecast := f.state.Forecast
	for _, r := range page.Records {
		f.apply(f.state, r)
		f.state.Next = r.Offset + 1
	}
	if f.state.Forecast != forecast {
		f.forecastAfter = f.caughtUpAt
	}
	if f.state.Next >= page.Head {
		if f.age() > staleAge {
			f.recoveredAt = time.Now()
		}
		f.caughtUpAt = sent
	}
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	for _, r := range page.Records {
		f.Observer.Applied(r)
	}
	return nil
}
