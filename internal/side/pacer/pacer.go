// Package pacer decides at which share tasks work that fill a VM, so that the
// tasks beside them that serve stay under their latency objective.
package pacer

import (
	"time"

	"knapweedspur/internal/wire/work"
)

const (
	// cutRatio is the ratio of tail latency to objective at which fillers slow down.
	cutRatio = 0.85
	// raiseRatio is the ratio below which they speed up.
	raiseRatio = 0.55
	// cutFactor is what is left of the share after a cut.
	cutFactor = 0.5
	// raiseStep is added to the share at a time, in percent.
	raiseStep = 15
	// floor is the least share before a filler is halted, in percent.
	floor = 8
	// full is the whole share.
	full = 100
	// settleTime is how long a change takes to show: the pace takes 100 ms,
	// and the latency is that of the last half second.
	settleTime = 600 * time.Millisecond
)

// Pacer keeps one share for all fillers of a VM: it halves when a serving
// task comes near its objective and rises by steps while all are well below.
type Pacer struct {
	share   int
	changed time.Duration
	paces   map[work.Stop]int
}

// New returns a pacer that lets fillers work in full.
func New() *Pacer { return &Pacer{share: full, paces: map[work.Stop]int{}} }

// Decide returns the new paces of runs that should change. Starts tells what
// the active runs are; now is on a steady clock.
func (p *Pacer) Decide(active []work.Active, starts map[string]work.Start, now time.Duration) map[work.Stop]int {
	worst, serving := 0.0, false
	for i := range active {
		if s, ok := starts[active[i].Task]; ok && s.Target > 0 {
			serving = true
			worst = max(worst, active[i].Gauge/(float64(s.Target)/float64(time.Millisecond)))
		}
	}
	p.adjust(worst, serving, now)
	changes := map[work.Stop]int{}
	seen := map[work.Stop]bool{}
	for i := range active {
		s, ok := starts[active[i].Task]
		if !ok || !s.Fills {
			continue
		}
		run := work.Stop{Task: active[i].Task, Run: active[i].Run}
		seen[run] = true
		if current, ok := p.paces[run]; !ok && p.share < full || ok && current != p.share {
			p.paces[run] = p.share
			changes[run] = p.share
		}
	}
	for run := range p.paces {
		if !seen[run] {
			delete(p.paces, run)
		}
	}
	return changes
}

// adjust moves the share.
func (p *Pacer) adjust(worst float64, serving bool, now time.Duration) {
	switch {
	case !serving:
		p.share = full
	case now-p.changed < settleTime:
	case worst > cutRatio:
		p.share = int(float64(p.share) * cutFactor)
		if p.share < floor {
			p.share = 0
		}
		p.changed = now
	case worst < raiseRatio && p.share < full:
		p.share = min(p.share+raiseStep, full)
		p.changed = now
	}
}
