package planner

import (
	"time"

	"knapweedspur/internal/job/estimator"
	"knapweedspur/internal/job/keeper"
	"knapweedspur/internal/wire/work"
)

const (
	// learnEvery is the interval at which latencies are learned from: half of
	// the time that a figure covers.
	learnEvery = 250 * time.Millisecond
	// saveEvery is the interval at which the log gets what was learned, so that
	// the next leader need not begin anew.
	saveEvery = 2 * time.Second
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
func (b *Book) learn(now time.Time) {
	if now.Sub(b.learned) < learnEvery {
		return
	}
	b.learned = now
	samples := map[*step][]sample{}
	for _, v := range b.vms {
		if v.serving == 0 || !v.synced {
			continue
		}
		shares := v.shares()
		for _, p := range v.runs {
			if p.step.spec.Target > 0 && p.active && p.gauge > 0 {
				ratio := p.gauge * float64(time.Millisecond) / float64(p.step.spec.Target)
				samples[p.step] = append(samples[p.step], sample{estimator.Load(ratio), shares})
			}
		}
	}
	if len(samples) > 0 && now.Sub(b.saved) > saveEvery {
		b.saved = now
		b.records = append(b.records, keeper.EstimatesRecord(&work.Estimates{Pairs: b.interference.Pairs()}))
	}
	for s, list := range samples {
		s.load = b.ownLoad(s.spec.Image, list)
		for i := range list {
			b.interference.Observe(s.spec.Image, list[i].load-s.load, list[i].shares)
		}
	}
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
func (b *Book) ownLoad(image string, list []sample) float64 {
	sum, weights := 0.0, 0.0
	for i := range list {
		rise := b.interference.Rise(image, list[i].shares)
		weight := 1 / (baseFloor + rise*rise)
		sum += weight * max(list[i].load-rise, 0)
		weights += weight
	}
	return sum / weights
}
