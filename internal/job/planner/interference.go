package planner

import (
	"cmp"
	"slices"
	"time"

	"knapweedspur/internal/job/estimator"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

const (
	// learnInterval is the interval at which interference is learned from
	// latencies: half of the window that one measurement covers.
	learnInterval = 250 * time.Millisecond
	// saveInterval is the interval at which the learned estimates are written
	// to the log, so that the next leader does not start without them.
	saveInterval = 2 * time.Second
	// varianceFloor keeps the weight of a sample finite if no fillers run
	// beside the task.
	varianceFloor = 0.03
)

// sample is a measured load of one serving task, with the shares of its VM that
// fillers used, by image.
type sample struct {
	load   float64
	shares map[string]float64
}

// learnInterference updates the interference weights by comparing the tasks of
// each serving step. All tasks of a step have the same load of their own, so
// differences between them are caused by the fillers on their VMs.
func (pl *Planner) learnInterference(now time.Time) {
	if now.Sub(pl.lastLearned) < learnInterval {
		return
	}
	pl.lastLearned = now
	pl.learnSpeeds()
	steps, samples := pl.collectSamples(now)
	if len(samples) > 0 && now.Sub(pl.estimatesSavedAt) > saveInterval {
		pl.estimatesSavedAt = now
		pl.records = append(pl.records, jobreducer.EstimatesRecord(&work.InterferenceEstimates{Pairs: pl.interference.Pairs()}))
	}
	for _, v := range pl.sortedVMs {
		v.use.known = false
	}
	for _, s := range steps {
		list := samples[s]
		s.load = pl.ownLoad(s.spec.Image, list)
		if !pl.Settings.Gates.On(gatekeeper.Weights) {
			continue
		}
		for i := range list {
			pl.interference.Observe(s.spec.Image, list[i].load, s.load, list[i].shares)
		}
	}
}

// collectSamples returns the measured loads of serving tasks by step, and the
// steps in a fixed order.
func (pl *Planner) collectSamples(now time.Time) ([]*step, map[*step][]sample) {
	samples := map[*step][]sample{}
	var steps []*step
	for _, v := range pl.sortedVMs {
		if !v.synced {
			v.fillerPeaks = estimator.Peaks{}
			continue
		}
		if v.servingRuns == 0 && v.fillerMillicores == 0 {
			continue
		}
		shares := v.fillerPeaks.Observe(v.measuredFillerShares(), now.Sub(pl.termStart))
		for _, p := range v.runs {
			if load := p.measuredLoad(); load > 0 {
				if samples[p.step] == nil {
					steps = append(steps, p.step)
				}
				samples[p.step] = append(samples[p.step], sample{load, shares})
			}
		}
	}
	slices.SortFunc(steps, func(s, o *step) int {
		return cmp.Or(cmp.Compare(s.job.number, o.job.number), cmp.Compare(s.key.Step, o.key.Step), cmp.Compare(s.key.Occurrence, o.key.Occurrence))
	})
	return steps, samples
}

// measuredLoad returns the load that the latency of a serving run shows, fillers
// included, or 0 if the run does not serve or has no latency yet.
func (p *placement) measuredLoad() float64 {
	target := p.step.spec.LatencyTarget
	if target <= 0 || !p.active || p.measurement <= 0 {
		return 0
	}
	return estimator.LoadFromLatency(p.measurement * float64(time.Millisecond) / float64(target))
}

// measuredFillerShares returns, by image, the shares of the VM that fillers use
// now.
func (v *vm) measuredFillerShares() map[string]float64 {
	shares := map[string]float64{}
	for _, p := range v.runs {
		if p.step.spec.Filler && p.active {
			addShare(shares, p.step.spec.Image, p.measurement/float64(max(v.workerStatus.Capacity.Millicores, 1)))
		}
	}
	return shares
}

// ownLoad returns the load of a serving step without the effect of fillers: the
// mean over its tasks of the load less the rise that fillers cause, where
// samples with a smaller rise weigh more.
func (pl *Planner) ownLoad(image string, list []sample) float64 {
	sum, weights := 0.0, 0.0
	for i := range list {
		rise := pl.interference.AddedLoad(image, list[i].shares)
		weight := 1 / (varianceFloor + rise*rise)
		sum += weight * max(list[i].load-rise, 0)
		weights += weight
	}
	return sum / weights
}
