package planner

import (
	"time"

	"knapweedspur/internal/job/sequencer"
)

const (
	// urgentPace is the pace at or below which a filler that makes its job late may
	// be moved, in percent.
	urgentPace = 80
	// minUrgentSpeedup is how many times faster such a filler must be on another VM.
	minUrgentSpeedup = 1.3
	// minPacePercent bounds the time that a filler is expected to take for the rest.
	minPacePercent = 5
)

// urgent reports whether a slowed filler would make its job late that can still be in
// time: one slow task of a step delays all that depend on it.
func (pl *Planner) urgent(p *placement, now time.Time) bool {
	s := p.step
	if p.pace > urgentPace || !pl.overloadedFillers(s) || s.job.sequenced[s.classKey()].Class != sequencer.InTime {
		return false
	}
	duration := pl.expectedDuration(s)
	rest := time.Duration(float64(duration) * float64(fullProgress-p.progressPercent) / float64(max(p.pace, minPacePercent)))
	following := pl.chains(s.job, s.occurrence)[s.key.Step] - duration
	deadline := s.job.dueAt(s.key.Occurrence).Add(pl.timeObjective(s))
	return now.Add(rest + following).After(deadline)
}

// overloadedFillers reports whether not all jobs of the pool that need what fillers may
// use can be in time.
func (pl *Planner) overloadedFillers(s *step) bool {
	q := pl.sequences[sequenceKind{s.job.record.Queue.Pool, true}]
	return q != nil && q.overloaded
}

// learnSpeeds notes how fast fillers of each image run beside serving tasks.
func (pl *Planner) learnSpeeds() {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, v := range pl.sortedVMs {
		if v.servingRuns == 0 {
			continue
		}
		for _, p := range v.runs {
			if p.step.spec.Filler && p.active {
				sums[p.step.spec.Image] += p.speed()
				counts[p.step.spec.Image]++
			}
		}
	}
	for image, count := range counts {
		pl.speeds.Observe(image, sums[image]/count)
	}
}
