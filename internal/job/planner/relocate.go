package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

const (
	// fullPace is the pace of a task that is not throttled, in percent.
	fullPace = 100
	// slowPace is the pace at or below which a filler may be moved.
	slowPace = 45
	// stopPace is the pace at or below which a filler is stopped even if no
	// other VM is better, so that its memory can be used by others.
	stopPace = 10
	// minSlowTime is how long a filler must have been slow before it is moved.
	// A pace changes within 100 ms, but the effect on a latency shows only
	// within 500 ms.
	minSlowTime = 500 * time.Millisecond
	// minMoveSpeedup is how many times faster a filler must be on another VM to
	// be moved there.
	minMoveSpeedup = 2.0
	// maxMovesPerPass bounds the fillers that are moved in one pass, so that
	// later decisions see where the first ones went.
	maxMovesPerPass = 10
	// maxMoveChecks bounds the fillers for which a better VM is looked for in one pass. The
	// VMs take turns.
	maxMoveChecks = 400
	// minStay bounds how often a filler is moved: it may be moved once it has
	// been on its VM for half of this time.
	minStay = 2 * time.Second
	// From the run after freeMoves the time doubles with each run of a task, at most
	// maxStayDoublings times: a task that was slowed wherever it was moved gains little
	// by another move.
	freeMoves, maxStayDoublings = 2, 3
	// evacuationTime is how long before a draining worker may leave its runs are
	// stopped. It covers the time of a stop and its way to the worker and back.
	evacuationTime = 500 * time.Millisecond
	// weightsInterval is the interval at which agents are sent changed
	// interference weights.
	weightsInterval = 500 * time.Millisecond
	// weightStep is the unit to which weights are rounded before they are sent,
	// so that small changes need no message.
	weightStep = 0.1
)

// evacuateLeavingWorkers stops the runs of workers that are about to leave, while
// the workers can still confirm it. The tasks of a worker that has left wait for the
// end of its lease.
func (pl *Planner) evacuateLeavingWorkers(now time.Time) {
	for _, v := range pl.sortedVMs {
		if !v.synced || v.mayLeaveAt.IsZero() || now.Before(v.mayLeaveAt.Add(-evacuationTime)) {
			continue
		}
		for _, p := range v.runs {
			if i := runIndex(&p.step.tasks[p.index], p.run); i >= 0 {
				pl.stopRun(p.step, p.index, i, "the worker is about to leave", now)
			}
		}
	}
}

// moveSlowFillers stops throttled fillers that would run better on another VM.
// Tasks that checkpoint lose no work; others are moved only while their
// progress is small.
func (pl *Planner) moveSlowFillers(now time.Time) {
	if !pl.Settings.Gates.On(gatekeeper.Moves) || now.Sub(pl.lastMoveCheck) < minSlowTime/2 {
		return
	}
	pl.lastMoveCheck = now
	moves, checks := 0, 0
	for range pl.sortedVMs {
		pl.moveTurn = (pl.moveTurn + 1) % len(pl.sortedVMs)
		for _, p := range pl.movableFillers(pl.sortedVMs[pl.moveTurn], now) {
			if checks++; moves >= maxMovesPerPass || checks > maxMoveChecks {
				return
			}
			if pl.moveIfBetter(p, now) {
				moves++
			}
		}
	}
}

// maxUnsavedProgress is the progress, in percent, up to which a task that does
// not checkpoint may be moved.
const maxUnsavedProgress = 15

// movableFillers returns the fillers on a VM that may be moved, in a fixed
// order.
func (pl *Planner) movableFillers(v *vm, now time.Time) []*placement {
	var list []*placement
	for _, p := range v.runs {
		if p.movable(now) && (p.pace <= slowPace && now.Sub(p.placedAt) > p.leastStay() || pl.urgent(p, now)) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(p, o *placement) int {
		return cmp.Or(cmp.Compare(p.step.job.number, o.step.job.number), cmp.Compare(p.step.key.Step, o.step.key.Step), cmp.Compare(p.index, o.index))
	})
	return list
}

func (p *placement) movable(now time.Time) bool {
	s := p.step
	t := &s.tasks[p.index]
	i := runIndex(t, p.run)
	return s.spec.Filler && p.active && now.Sub(p.paceChangedAt) > minSlowTime && now.Sub(p.placedAt) > minStay/2 &&
		i >= 0 && t.Runs[i].StopReason == "" && (s.spec.Checkpoints || p.progressPercent <= maxUnsavedProgress) && s.job.outcome == nil
}

// leastStay returns how long a filler stays on its VM before it may be moved. It rests
// on the number of the run, which a new leader knows.
func (p *placement) leastStay() time.Duration {
	return minStay / 2 << min(max(p.run-freeMoves, 0), maxStayDoublings)
}

// moveIfBetter stops a filler if another VM is much better or its pace is at
// most stopPace, and reports whether it did. The next run is placed once the
// end of this one is known.
func (pl *Planner) moveIfBetter(p *placement, now time.Time) bool {
	s := p.step
	t := &s.tasks[p.index]
	bestCost := math.Inf(1)
	for _, v := range pl.sortedVMs {
		if v == p.vm || v.workerStatus.Pool != s.job.record.Queue.Pool || !v.usable(now) || !v.fits(s.spec) || !pl.domainOpen(v, now) || v.health.OnProbation() != "" || pl.promiseAgainst(v, s, now) != nil {
			continue
		}
		bestCost = min(bestCost, pl.cost(v, s, t, now))
	}
	currentCost := float64(fullPace) / float64(max(p.pace, 5))
	speedup := minMoveSpeedup
	if pl.urgent(p, now) {
		speedup = minUrgentSpeedup
	}
	if bestCost*speedup > currentCost && p.pace > stopPace {
		return false
	}
	pl.stopRun(s, p.index, runIndex(t, p.run), "move", now)
	return true
}

// sendWeights sends agents the interference weights for the images on their VMs
// if they changed.
func (pl *Planner) sendWeights(now time.Time) {
	for _, v := range pl.sortedVMs {
		if !v.synced || v.servingRuns == 0 || v.fillerMillicores == 0 || now.Sub(v.weightsCheckedAt) < weightsInterval {
			continue
		}
		v.weightsCheckedAt = now
		weights := pl.interferenceWeights(v)
		changed := len(weights) != len(v.sentWeights)
		for _, p := range weights {
			changed = changed || !v.sentWeights[p]
		}
		if !changed {
			continue
		}
		v.sentWeights = map[work.Interference]bool{}
		for _, p := range weights {
			v.sentWeights[p] = true
		}
		pl.pendingCommands(v).Interference = weights
	}
}

// interferenceWeights returns the weight of each pair of filler image and
// serving image on a VM.
func (pl *Planner) interferenceWeights(v *vm) []work.Interference {
	var weights []work.Interference
	seen := map[string]bool{}
	v.measureUse()
	for _, serving := range v.use.serving {
		servingImage := serving.step.spec.Image
		if seen[servingImage] {
			continue
		}
		seen[servingImage] = true
		for fillerImage := range v.use.fillerShares {
			weight := math.Round(pl.interference.Weight(fillerImage, servingImage)/weightStep) * weightStep
			weights = append(weights, work.Interference{FillerImage: fillerImage, ServingImage: servingImage, LoadIncrease: weight})
		}
	}
	return weights
}
