package planner

import (
	"cmp"
	"slices"
	"time"

	"knapweedspur/internal/job/estimator"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

const (
	// learnEvery is the interval at which latencies are learned from: half of
	// the time that a figure covers.
	learnEvery = 250 * time.Millisecond
	// saveEvery is the interval at which the log gets what was learned, so that
	// the next leader need not begin anew.
	saveEvery = 2 * time.Second
	// forecastLength is the time for which the load of a serving step is
	// foreseen, in seconds: beyond, a filler can be moved.
	forecastLength = 4
	// baseFloor keeps the weight of an undisturbed task finite.
	baseFloor = 0.03
)

// sample is the load of one serving task.
type sample struct {
	load   float64
	shares map[string]float64
}

// learn compares the tasks of each serving step with each other. They have the
// same load of their own, so that what differs comes from the fillers beside them.
func (b *Planner) learn(now time.Time) {
	if now.Sub(b.learned) < learnEvery {
		return
	}
	b.learned = now
	steps, samples := b.sample(now)
	if len(samples) > 0 && now.Sub(b.saved) > saveEvery {
		b.saved = now
		b.records = append(b.records, jobreducer.EstimatesRecord(&work.Estimates{Pairs: b.interference.Pairs()}))
	}
	for _, s := range steps {
		list := samples[s]
		s.load = b.ownLoad(s.spec.Image, list)
		s.forecast.Observe(s.load, now)
		s.ahead = s.forecast.Predict(forecastLength)
		for i := range list {
			b.interference.Observe(s.spec.Image, list[i].load, s.load, list[i].shares)
		}
	}
}

// sample returns the loads of serving tasks by their steps, in a fixed order.
func (b *Planner) sample(now time.Time) ([]*step, map[*step][]sample) {
	samples := map[*step][]sample{}
	var steps []*step
	for _, v := range b.sorted {
		if !v.synced {
			v.peaks = estimator.Peaks{}
			continue
		}
		if v.serving == 0 && v.filled == 0 {
			continue
		}
		shares := v.peaks.Observe(v.shares(), now.Sub(b.began))
		for _, p := range v.runs {
			if p.step.spec.Target > 0 && p.active && p.gauge > 0 {
				ratio := p.gauge * float64(time.Millisecond) / float64(p.step.spec.Target)
				if samples[p.step] == nil {
					steps = append(steps, p.step)
				}
				samples[p.step] = append(samples[p.step], sample{estimator.LoadFromLatency(ratio), shares})
			}
		}
	}
	slices.SortFunc(steps, func(s, o *step) int {
		return cmp.Or(cmp.Compare(s.job.number, o.job.number), cmp.Compare(s.key.Step, o.key.Step), cmp.Compare(s.key.Occurrence, o.key.Occurrence))
	})
	return steps, samples
}

// shares returns what kinds of fillers use of a VM.
func (v *vm) shares() map[string]float64 {
	shares := map[string]float64{}
	for _, p := range v.runs {
		if p.step.spec.Fills && p.active {
			shares[p.step.spec.Image] += p.gauge / float64(max(v.vitals.Size.Millis, 1))
		}
	}
	return shares
}

// ownLoad is the load of a serving step without fillers: the mean over its
// tasks less what the fillers beside them add, by the trust in each.
func (b *Planner) ownLoad(image string, list []sample) float64 {
	sum, weights := 0.0, 0.0
	for i := range list {
		rise := b.interference.AddedLoad(image, list[i].shares)
		weight := 1 / (baseFloor + rise*rise)
		sum += weight * max(list[i].load-rise, 0)
		weights += weight
	}
	return sum / weights
}
