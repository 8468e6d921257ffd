package supervisor

import (
	"context"
	"time"
)

const (
	// tickInterval is the interval at which the agent looks at the clock to notice that
	// it has not been running.
	tickInterval = 50 * time.Millisecond
	// maxTickGap is the longest time between two looks of an agent that is running: two
	// may be late or missing on a busy machine.
	maxTickGap = 3 * tickInterval
)

// stallDetector notices that the agent has not been running for a while, since it was
// frozen, or slowed by far, or its VM was suspended. What it receives first after that
// may be from before.
type stallDetector struct {
	// lookedAt is the boot clock at the last look.
	lookedAt time.Duration
	// endedAt is when the last stall ended, on the steady clock; 0 for none.
	endedAt time.Duration
}

// look records that the agent is running at the given time on both clocks.
func (d *stallDetector) look(boot, steady time.Duration) {
	if d.lookedAt != 0 && boot-d.lookedAt > maxTickGap {
		d.endedAt = steady
	}
	d.lookedAt = boot
}

// watchForStalls looks at the clock until the context ends.
func (s *Supervisor) watchForStalls(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		s.stalls.look(s.Clock(), s.Steady())
		s.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
