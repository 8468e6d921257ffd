// Package copier decides which running tasks get a second run on another VM, where
// their step allows copies. The first run that completes counts, the other is thrown
// away, so copies are bounded by a share of the work that is done. It has no clock and
// no network.
package copier

import (
	"cmp"
	"math"
	"time"
)

const (
	// minGainFactor and minGain are by how much the expected rest of a run must
	// exceed the time of a new one.
	minGainFactor = 1.6
	minGain       = 250 * time.Millisecond
	// scarceGainFactor is added to minGainFactor as the budget is used up, so that
	// some is left for the runs that are late by most.
	scarceGainFactor = 3.0
	// minEnded is the least number of ended runs of a step whose median is trusted.
	minEnded = 3
	// DefaultMaxWaste is the most work that copies may cause to be thrown away, as a
	// share of the work that was done in about the last wasteWindow.
	DefaultMaxWaste = 0.02
	wasteWindow     = time.Minute
	// minStragglerChance is the least share of copies of stragglers that must have
	// won lately. Whether a task takes long by its own nature, so that a copy takes
	// as long, only shows then. stragglerRetry is how often one is tried otherwise.
	minStragglerChance = 0.3
	stragglerRetry     = 8 * time.Second
	// chanceFade is the weight that earlier results keep with each new one.
	chanceFade = 0.9
)

// Cause is why a run is late.
type Cause string

// The causes.
const (
	SlowVM    Cause = "slow VM"
	Straggler Cause = "straggler"
)

// Run is a run that may get a copy.
type Run struct {
	Elapsed time.Duration
	// Percent is its progress and Rate its latest rate, in percent per second.
	Percent int
	Rate    float64
	// Speed is the speed of its VM, 1 unless the VM is known to be slow.
	Speed float64
	// Median is the median time of the ended runs of the step, Ended their number.
	Median time.Duration
	Ended  int
	// Cores is the processor share of the task.
	Cores float64
}

// Copy is what a copy of a run is expected to bring.
type Copy struct {
	Cause Cause
	// Rest is the expected rest of the run, Again the time of a new one.
	Rest, Again time.Duration
	// Waste is the work that is thrown away at most, in core-seconds.
	Waste float64
}

// Gain is the time that the copy is expected to save.
func (c *Copy) Gain() time.Duration { return c.Rest - c.Again }

// Consider returns what a copy of a run would bring, and whether that is enough.
func Consider(r *Run) (Copy, bool) {
	if r.Rate <= 0 || r.Percent >= 100 {
		return Copy{}, false
	}
	c := Copy{Rest: seconds(float64(100-r.Percent) / r.Rate)}
	switch {
	case r.Speed < 1:
		// The task needs the same work anywhere.
		c.Cause, c.Again = SlowVM, seconds(100/r.Rate*r.Speed)
	case r.Ended >= minEnded:
		c.Cause, c.Again = Straggler, r.Median
	default:
		return Copy{}, false
	}
	c.Waste = r.Cores * (r.Elapsed + c.Again).Seconds()
	return c, float64(c.Rest) > minGainFactor*float64(c.Again) && c.Gain() > minGain
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Budget bounds the work that copies cause to be thrown away. A new leader begins with
// nothing, and starts copies once enough work was done.
type Budget struct {
	// MaxWaste is the share of the work that may be thrown away, 0 for
	// DefaultMaxWaste.
	MaxWaste float64

	served, wasted float64
	updatedAt      time.Time
	// stragglersWon of stragglersTried copies of stragglers completed first, with
	// less weight to earlier ones; stragglerAt is when the last was started.
	stragglersWon, stragglersTried float64
	stragglerAt                    time.Time
}

func (b *Budget) fade(now time.Time) {
	factor := math.Exp(-now.Sub(b.updatedAt).Seconds() / wasteWindow.Seconds())
	if b.updatedAt.IsZero() {
		factor = 0
	}
	b.served *= factor
	b.wasted *= factor
	b.updatedAt = now
}

// Serve adds work that was done, in core-seconds.
func (b *Budget) Serve(work float64, now time.Time) {
	b.fade(now)
	b.served += work
}

// Waste adds work that was thrown away because of a copy.
func (b *Budget) Waste(work float64, now time.Time) {
	b.fade(now)
	b.wasted += work
}

// Settle notes whether a copy completed before the run that it copied.
func (b *Budget) Settle(cause Cause, won bool) {
	if cause != Straggler {
		return
	}
	b.stragglersWon, b.stragglersTried = chanceFade*b.stragglersWon, chanceFade*b.stragglersTried+1
	if won {
		b.stragglersWon++
	}
}

// Allows reports whether a copy may be started, given what the copies that run may
// still waste.
func (b *Budget) Allows(c *Copy, pending float64, now time.Time) bool {
	b.fade(now)
	budget := cmp.Or(b.MaxWaste, DefaultMaxWaste) * b.served
	if b.wasted+pending+c.Waste > budget {
		return false
	}
	used := (b.wasted + pending) / budget
	if float64(c.Rest) < (minGainFactor+scarceGainFactor*used)*float64(c.Again) {
		return false
	}
	if c.Cause != Straggler {
		return true
	}
	// One of two is assumed to win before results are known.
	chance := (b.stragglersWon + 0.5) / (b.stragglersTried + 1)
	if (b.stragglersTried == 0 || chance < minStragglerChance) && now.Sub(b.stragglerAt) < stragglerRetry {
		return false
	}
	b.stragglerAt = now
	return true
}
