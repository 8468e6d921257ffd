package planner

import (
	"slices"
	"time"

	"knapweedspur/internal/job/loaddivider"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

// The components of the cost of placing a task on a VM. A cost of 1 is the time
// that the task would take on an empty VM.
const (
	// excludedVMCost keeps a task off a VM where it failed, or that is suspect, unless
	// there is no other.
	excludedVMCost = 10.0
	// loadCost spreads tasks over VMs that are equally fast.
	loadCost = 0.3
	// servingLoadLimit is the load of a serving task up to which fillers are
	// placed beside it. Above it the agent slows fillers down.
	servingLoadLimit = 0.68
	// minServingLoad is the least load assumed of a serving task, because its load
	// varies.
	minServingLoad = 0.45
	// minPace is the lowest share at which a filler is assumed to run.
	minPace = 0.05
	// mixedImagesCost keeps serving tasks of different images on separate VMs.
	// firstServingCost is the cost of a VM without serving tasks, so that such
	// VMs stay free of them.
	mixedImagesCost  = 1.0
	firstServingCost = 0.3
	// minSlowCost is the least cost on a slow VM before its speed is applied.
	minSlowCost = 1.0
)

// cost returns the cost of running a task on a VM. Lower is better.
func (pl *Planner) cost(v *vm, s *step, t *work.Task, now time.Time) float64 {
	capacity := float64(max(v.workerStatus.Capacity.Millicores, 1))
	load := float64(v.expectedUse()+v.fillerUse()+s.spec.Size.Millicores) / capacity
	var cost float64
	switch {
	case s.spec.Filler:
		cost = pl.fillerCost(v, s, load)
	case s.spec.LatencyTarget > 0:
		cost = pl.servingCost(v, s, load)
	default:
		cost = max(1, load) + loadCost*load
	}
	if s.spec.DataRack != "" && !slices.Contains(v.workerStatus.Labels, s.spec.DataRack) {
		cost *= pl.Settings.FarFactor
	}
	if speed := v.health.Speed(now); speed < 1 && !v.mayTry(s, now) {
		// The cost of a serving task may be negative.
		cost = max(cost, minSlowCost) / speed
	}
	if slices.Contains(t.ExcludedVMs, v.name) || v.suspect(now) {
		cost += excludedVMCost
	}
	return cost
}

// fillerCost estimates the time that a filler would take, given the free processors and
// the pace that its agent will give it beside the serving tasks.
func (pl *Planner) fillerCost(v *vm, s *step, load float64) float64 {
	placed := v.fullPaceFillerShares()
	share := float64(s.spec.Size.Millicores) / float64(max(v.workerStatus.Capacity.Millicores, 1))
	var servings []loaddivider.Serving
	for _, p := range v.use.serving {
		serving := loaddivider.Serving{Load: p.expectedLoad(), Weight: pl.interference.Weight(s.spec.Image, p.step.spec.Image)}
		for image, placedShare := range placed {
			serving.Parts = append(serving.Parts, loaddivider.Part{Weight: pl.interference.Weight(image, p.step.spec.Image), Share: placedShare})
		}
		servings = append(servings, serving)
	}
	pace := max(loaddivider.Predict(servings, share, servingLoadLimit), minPace)
	return max(1, load)/pace + loadCost*load
}

// expectedLoad returns the load of a serving run without fillers. A new leader has the
// measured load of a run before it has learned that of the step.
func (p *placement) expectedLoad() float64 {
	if load := p.step.load; load > 0 {
		return max(load, minServingLoad)
	}
	return max(p.measuredLoad(), minServingLoad)
}

// fullPaceFillerShares returns, by image, the shares of the VM that fillers use
// when all run at full pace.
func (v *vm) fullPaceFillerShares() map[string]float64 {
	v.measureUse()
	return v.use.fillerShares
}

// servingCost places serving tasks with the same image together, so that
// fillers which interfere with that image find VMs without it.
func (pl *Planner) servingCost(v *vm, s *step, load float64) float64 {
	cost := -loadCost*load + pl.interference.AddedLoad(s.spec.Image, v.fullPaceFillerShares())
	if !pl.Settings.Gates.On(gatekeeper.Grouping) {
		return cost
	}
	if v.servingRuns > 0 {
		others := v.servingRuns - v.servingImages[s.spec.Image]
		cost += mixedImagesCost * float64(others) / float64(v.servingRuns)
	} else {
		cost += firstServingCost
	}
	return cost
}
