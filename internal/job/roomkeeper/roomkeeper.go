// Package roomkeeper says how much room is kept for short jobs.
//
// Long-running tasks reserve processors for far longer than short jobs have time
// to wait. Where clients ask for more long-running tasks than fit, those that
// arrive first would reserve every VM in full, and short jobs would miss their
// objectives. So a share of the processors is kept free of long-running tasks, as
// large as the short jobs that arrive need.
package roomkeeper

import (
	"math"
	"time"

	"knapweedspur/internal/wire/work"
)

const (
	// Window is the time constant over which the demand of short jobs is
	// averaged.
	Window = 20 * time.Second
	// initialShortShare is the demand of short jobs, as a share of the processors,
	// that a leader assumes at first. The assumption fades with Window.
	initialShortShare = 0.08
	// roomFactor is how many times the mean demand of short jobs is kept free,
	// because they arrive in bursts and do not fill gaps exactly.
	roomFactor = 2.0
	// minKeptShare is the share below which no room is kept, maxKeptShare the most
	// that is kept.
	minKeptShare, maxKeptShare = 0.01, 0.25
)

// Demand averages the demand of jobs whose steps reserve processors for a
// short time.
type Demand struct {
	startedAt time.Time
	// millicores is the mean demand of the jobs seen so far at updatedAt.
	millicores float64
	updatedAt  time.Time
}

// NewDemand returns the demand that a leader assumes when its term starts.
func NewDemand(startedAt time.Time) *Demand {
	return &Demand{startedAt: startedAt, updatedAt: startedAt}
}

// Observe adds the work of a step. It counts for no more than all its tasks at once.
func (w *Demand) Observe(spec *work.Step, now time.Time) {
	w.millicores = w.observed(now)
	w.updatedAt = now
	duration := min(spec.EstimatedDuration, Window)
	w.millicores += float64(spec.Tasks*spec.Size.Millicores) * duration.Seconds() / Window.Seconds()
}

func (w *Demand) observed(now time.Time) float64 {
	return w.millicores * decay(now.Sub(w.updatedAt))
}

// KeptShare returns the share of the processors to keep free of long-running
// tasks, given those of all VMs in millicores.
func (w *Demand) KeptShare(capacity int, now time.Time) float64 {
	demand := w.observed(now)/float64(max(capacity, 1)) + initialShortShare*decay(now.Sub(w.startedAt))
	share := roomFactor * demand
	if share < minKeptShare {
		return 0
	}
	return min(share, maxKeptShare)
}

func decay(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / Window.Seconds())
}
