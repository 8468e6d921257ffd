// Package logfollower folds the work log into a view that clients and agents are
// answered from, and tells how old the view is.
package logfollower

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/clock/bootclock"
	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/log/journal"
)

const (
	// pollWait is how long a read waits for a record. It bounds the age of
	// the view while nothing is written.
	pollWait = 250 * time.Millisecond
	// readPause is the least time between two reads of the leader, idlePause
	// that of the others: they bound the calls to the store under load.
	readPause = 15 * time.Millisecond
	idlePause = 50 * time.Millisecond
	// gap is the age from which a view counts as having been out of date: two
	// polls in a row, with their pauses, and as much again.
	gap = 4 * pollWait
	// firstBackoff and lastBackoff bound the pause after a failed read.
	firstBackoff = 30 * time.Millisecond
	lastBackoff  = 300 * time.Millisecond
)

// Observer hears of each record after it was folded.
type Observer interface {
	// Folded hears of a record of the tail.
	Applied(r journal.Record)
	// Leading returns a term if this process leads in it, else 0.
	Leading() int64
	// Restarted hears that the view was built anew.
	Rebuilt()
}

// Follower follows the work log.
type Follower struct {
	Journal  journal.Journal
	Logger   hclog.Logger
	Observer Observer
	// Clock is the time since boot; Init sets that of the VM where it is nil.
	Clock func() time.Duration
	// Done is closed when Run has returned.
	Done chan struct{}

	mu    sync.RWMutex
	state *jobreducer.State
	// fresh is when the newest read was sent that left nothing unread, on
	// the boot clock; 0 before the first.
	fresh time.Duration
	// regained is when the view became young again after it was out of date.
	regained time.Time
	changed  chan struct{}
}

// View calls f with the state and the age of the view.
func (f *Follower) View(see func(state *jobreducer.State, age time.Duration)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	see(f.state, f.age())
}

// age is how old the view is; it is very old before the first read.
func (f *Follower) age() time.Duration {
	if f.fresh == 0 {
		return 24 * time.Hour
	}
	return f.Clock() - f.fresh
}

// Age returns how old the view is.
func (f *Follower) Age() time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.age()
}

// Regained returns when the view last became young again.
func (f *Follower) RecoveredAt() time.Time {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.regained
}

// Catch waits until the view is younger than the call. It returns an error if
// the context ends first.
func (f *Follower) CatchUp(ctx context.Context) error {
	now := f.Clock()
	return f.wait(ctx, func() bool { return f.fresh > now })
}

// Reach waits until the record at an offset is in the view.
func (f *Follower) WaitForOffset(ctx context.Context, offset int64) error {
	return f.wait(ctx, func() bool { return f.state.Next > offset && f.fresh > 0 })
}

func (f *Follower) wait(ctx context.Context, enough func() bool) error {
	for {
		f.mu.RLock()
		ok, changed := enough(), f.changed
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
	f.state = jobreducer.New()
	f.changed = make(chan struct{})
	f.Done = make(chan struct{})
}

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.Done)
	backoff, away := firstBackoff, false
	restart := true
	for ctx.Err() == nil {
		var err error
		if restart {
			err = f.restart(ctx)
		} else {
			err = f.step(ctx)
		}
		var cut *journal.CutError
		switch {
		case err == nil:
			restart = false
			backoff = firstBackoff
			if away {
				away = false
				f.Logger.Info("log regained")
			}
			if f.Observer.Leading() != 0 {
				waiter.Pause(ctx, readPause)
			} else {
				waiter.Pause(ctx, idlePause)
			}
		case errors.As(err, &cut):
			f.Logger.Warn("the log dropped records that were not read; the view is built anew", "first", cut.First)
			restart = true
		default:
			if !away && ctx.Err() == nil {
				away = true
				f.Logger.Warn("log lost", "error", err.Error(), "age", f.Age().String())
			}
			waiter.Pause(ctx, backoff)
			backoff = min(2*backoff, lastBackoff)
		}
	}
}

// restart builds the view from the newest record of each key.
func (f *Follower) restart(ctx context.Context) error {
	state := jobreducer.New()
	next, err := journal.ReadNewest(ctx, f.Journal, func(r journal.Record) { f.fold(state, r) })
	if err != nil {
		return err
	}
	state.Next = next
	f.mu.Lock()
	f.state, f.fresh = state, 0
	f.mu.Unlock()
	f.Logger.Info("view built from the log", "jobs", len(state.Jobs), "sessions", len(state.Sessions), "offset", next)
	if err := f.step(ctx); err != nil {
		return err
	}
	f.Observer.Rebuilt()
	return nil
}

func (f *Follower) fold(state *jobreducer.State, r journal.Record) {
	if err := state.Apply(r); err != nil {
		f.Logger.Error("record passed over", "offset", r.Offset, "error", err.Error())
	}
}

// step reads the tail once.
func (f *Follower) step(ctx context.Context) error {
	f.mu.RLock()
	next := f.state.Next
	f.mu.RUnlock()
	sent := f.Clock()
	page, err := f.Journal.Read(ctx, next, pollWait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	for _, r := range page.Records {
		f.fold(f.state, r)
		f.state.Next = r.Offset + 1
	}
	if f.state.Next >= page.Head {
		if f.age() > gap {
			f.regained = time.Now()
		}
		f.fresh = sent
	}
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	for _, r := range page.Records {
		f.Observer.Applied(r)
	}
	return nil
}
