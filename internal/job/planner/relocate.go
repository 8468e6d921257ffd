package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"knapweedspur/internal/wire/work"
)

const (
	// fullPace is the pace of a task that is not held back, in percent.
	fullPace = 100
	// slowPace is the pace from which a filler is better moved.
	slowPace = 45
	// haltPace is the pace at which a filler is better stopped, so that others
	// get its memory.
	haltPace = 10
	// slowTime is how long it must have been that slow: a pace changes within
	// a tenth of a second, a latency shows within half a second.
	slowTime = 500 * time.Millisecond
	// moveGain is how many times faster a filler must be elsewhere.
	moveGain = 2.0
	// maxMoves bounds the fillers that are moved in one pass, so that the
	// next ones see where the first went.
	maxMoves = 10
	// movedRest is how long a task that was moved stays.
	movedRest = 2 * time.Second
	// tellEvery is the interval at which agents hear of interference.
	tellEvery = 500 * time.Millisecond
	// weightStep is the unit in which weights are told, so that small changes
	// need no message.
	weightStep = 0.1
)

// relocate moves fillers that are held back to VMs where they may work. Tasks
// that checkpoint lose nothing by it; others are moved while they have done little.
func (b *Planner) relocate(now time.Time) {
	if now.Sub(b.relocated) < slowTime/2 {
		return
	}
	b.relocated = now
	moves := 0
	for _, v := range b.sorted {
		for _, p := range b.heldBack(v, now) {
			if moves >= maxMoves {
				return
			}
			if b.move(p, now) {
				moves++
			}
		}
	}
}

// littleDone is the progress up to which a task that does not checkpoint is
// moved, in percent.
const littleDone = 15

// heldBack returns the fillers of a VM that might be moved.
func (b *Planner) heldBack(v *vm, now time.Time) []*placement {
	var list []*placement
	for _, p := range v.runs {
		if p.heldBack(now) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(p, o *placement) int {
		return cmp.Or(cmp.Compare(p.step.job.number, o.step.job.number), cmp.Compare(p.step.key.Step, o.step.key.Step), cmp.Compare(p.index, o.index))
	})
	return list
}

func (p *placement) heldBack(now time.Time) bool {
	s := p.step
	t := &s.tasks[p.index]
	i := runIndex(t, p.run)
	return s.spec.Fills && p.active && p.pace <= slowPace && now.Sub(p.paced) > slowTime && now.Sub(p.since) > movedRest/2 &&
		i >= 0 && t.Runs[i].Halted == "" && (s.spec.Saves || p.percent <= littleDone) && s.job.outcome == nil
}

// move stops a filler if another VM is much better. Its next run is placed
// when the end of this one is known.
func (b *Planner) move(p *placement, now time.Time) bool {
	s := p.step
	t := &s.tasks[p.index]
	best := math.Inf(1)
	for _, v := range b.sorted {
		if v == p.vm || v.vitals.Pool != s.job.record.Queue.Pool || !v.usable(now) || !v.fits(s.spec) {
			continue
		}
		best = min(best, b.cost(v, s, t))
	}
	here := float64(fullPace) / float64(max(p.pace, 5))
	if best*moveGain > here && p.pace > haltPace {
		return false
	}
	b.halt(s, p.index, runIndex(t, p.run), "move", now)
	return true
}

// tell sends agents what is known of the pairs on their VMs.
func (b *Planner) tell(now time.Time) {
	for _, v := range b.sorted {
		if !v.synced || v.serving == 0 || v.filled == 0 || now.Sub(v.toldAt) < tellEvery {
			continue
		}
		v.toldAt = now
		presses := b.presses(v)
		changed := len(presses) != len(v.told)
		for _, p := range presses {
			changed = changed || !v.told[p]
		}
		if !changed {
			continue
		}
		v.told = map[work.Press]bool{}
		for _, p := range presses {
			v.told[p] = true
		}
		b.order(v).Presses = presses
	}
}

// presses returns the weights of the pairs of kinds on a VM.
func (b *Planner) presses(v *vm) []work.Press {
	var presses []work.Press
	for _, f := range v.runs {
		if !f.step.spec.Fills {
			continue
		}
		for _, s := range v.runs {
			if s.step.spec.Target <= 0 {
				continue
			}
			fill, serve := f.step.spec.Image, s.step.spec.Image
			weight := math.Round(b.interference.Weight(fill, serve)/weightStep) * weightStep
			if p := (work.Press{Fill: fill, Serve: serve, Weight: weight}); !slices.Contains(presses, p) {
				presses = append(presses, p)
			}
		}
	}
	return presses
}
