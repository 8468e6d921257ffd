package planner

import (
	"math"
	"slices"

	"knapweedspur/internal/wire/work"
)

// The parts of the cost of a VM. One is the time that the task would take on
// an empty VM.
const (
	// shunCost keeps a task off a VM where it failed, unless nothing else is there.
	shunCost = 10.0
	// loadCost spreads tasks over VMs that are equally fast.
	loadCost = 0.3
	// loadLimit is the load of a serving task up to which its VM is filled;
	// beyond, the agent slows fillers down.
	loadLimit = 0.68
	// usualLoad is assumed of a serving task that has less load now: it swings.
	usualLoad = 0.45
	// leastRise keeps a pace finite.
	leastRise = 0.001
	// leastPace is the least share at which a filler is assumed to work.
	leastPace = 0.05
	// pressCost is added for the load that a filler would add to a serving task
	// that it pushes over the limit.
	pressCost = 2
	// mixCost keeps kinds of serving tasks apart, openCost a VM without any free.
	mixCost  = 1.0
	openCost = 0.3
)

// cost tells how unfit a VM is for a task.
func (b *Planner) cost(v *vm, s *step, t *work.Task) float64 {
	capacity := float64(max(v.vitals.Size.Millis, 1))
	load := float64(v.busy()+v.filling()+s.spec.Size.Millis) / capacity
	var cost float64
	switch {
	case s.spec.Fills:
		cost = b.fillCost(v, s, load)
	case s.spec.Target > 0:
		cost = b.serveCost(v, s, load)
	default:
		cost = max(1, load) + loadCost*load
	}
	if s.spec.Rack != "" && !slices.Contains(v.vitals.Labels, s.spec.Rack) {
		cost *= b.Settings.FarFactor
	}
	if slices.Contains(t.Shunned, v.name) {
		cost += shunCost
	}
	return cost
}

// fillCost is the time that a filler would take, given the processors left
// and the pace that the serving tasks beside it allow.
func (b *Planner) fillCost(v *vm, s *step, load float64) float64 {
	share := float64(s.spec.Size.Millis) / float64(max(v.vitals.Size.Millis, 1))
	placed := v.placedShares()
	var paces [forecastLength]float64
	seconds := max(1, min(int(math.Ceil(s.spec.Estimate.Seconds())), forecastLength))
	for i := range seconds {
		paces[i] = 1
	}
	excess := 0.0
	for _, p := range v.runs {
		serve := p.step.spec
		if serve.Target <= 0 {
			continue
		}
		rise := share * b.interference.Weight(s.spec.Image, serve.Image)
		before := b.interference.AddedLoad(serve.Image, placed)
		for i := range seconds {
			own := p.step.expected(i)
			if own+before+rise <= loadLimit {
				continue
			}
			paces[i] = min(paces[i], max((loadLimit-own-before)/max(rise, leastRise), leastPace))
			excess = max(excess, rise)
		}
	}
	pace := 0.0
	for i := range seconds {
		pace += paces[i] / float64(seconds)
	}
	return max(1, load)/pace + loadCost*load + pressCost*excess
}

// expected is the load of a serving step after some seconds.
func (s *step) expected(seconds int) float64 {
	if s.ahead == nil {
		return max(s.load, usualLoad)
	}
	return s.ahead[seconds]
}

// placedShares returns what kinds of fillers use of a VM when all work in full.
func (v *vm) placedShares() map[string]float64 {
	shares := map[string]float64{}
	for _, p := range v.runs {
		if p.step.spec.Fills {
			shares[p.step.spec.Image] += float64(p.step.spec.Size.Millis) / float64(max(v.vitals.Size.Millis, 1))
		}
	}
	return shares
}

// serveCost gathers serving tasks of a kind, so that a kind of filler that
// presses on it finds VMs without it.
func (b *Planner) serveCost(v *vm, s *step, load float64) float64 {
	cost := -loadCost * load
	others := 0
	for _, p := range v.runs {
		if p.step.spec.Target > 0 && p.step.spec.Image != s.spec.Image {
			others++
		}
	}
	if v.serving > 0 {
		cost += mixCost * float64(others) / float64(v.serving)
	} else {
		cost += openCost
	}
	return cost + b.interference.AddedLoad(s.spec.Image, v.placedShares())
}
