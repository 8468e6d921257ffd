package logfollower

import (
	"context"
	"time"
)

const (
	// clockInterval is how often the clock is looked at, and maxClockGap the gap from which
	// the process counts as suspended: above what a busy VM delays a look by.
	clockInterval = 100 * time.Millisecond
	maxClockGap   = 400 * time.Millisecond
	// resumeTime is how long after a suspension requests may be read that arrived during it.
	resumeTime = 500 * time.Millisecond
)

// suspension is the last time that the process did not run. A request that waited in a
// connection meanwhile may be as old as its beginning.
type suspension struct {
	// seenAt is the last look at the boot clock, 0 before the first.
	seenAt time.Duration
	// from and to are its bounds on the boot clock, position is that of the view before.
	from, to time.Duration
	position int64
}

// look notes the time and detects a suspension. It is called before the view changes.
func (s *suspension) look(now time.Duration, position int64) {
	if s.seenAt > 0 && now-s.seenAt > maxClockGap {
		s.from, s.to, s.position = s.seenAt, now, position
	}
	s.seenAt = now
}

// covers reports whether a request that is read at the given time may have arrived during
// the suspension.
func (s *suspension) covers(at time.Duration) bool {
	return s.to > 0 && at >= s.to && at < s.to+resumeTime
}

// watchClock looks at the clock until the context ends.
func (f *Follower) watchClock(ctx context.Context) {
	ticker := time.NewTicker(clockInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		f.mu.Lock()
		f.suspension.look(f.Clock(), f.state.Next)
		f.mu.Unlock()
	}
}

// Arrival returns bounds for a request that is being read: the offset of the first record
// that the view may have lacked when it arrived, and when on the boot clock it arrived at
// the earliest. It may have waited while this process was suspended.
func (f *Follower) Arrival() (position int64, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock()
	f.suspension.look(now, f.state.Next)
	if f.suspension.covers(now) {
		return f.suspension.position, f.suspension.from
	}
	return f.state.Next, now
}
