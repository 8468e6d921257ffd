package planner

import (
	"slices"
	"time"

	"knapweedspur/internal/job/durationestimator"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

const (
	// maxStartDelay is the most of the time before the first report of a run that
	// counts as running. Reports come at least every quarter of a second.
	maxStartDelay = 250 * time.Millisecond
	// maxResumedPercent is the progress up to which a run that resumes a checkpoint
	// says how long the whole task takes.
	maxResumedPercent = 50
)

// expectedDuration returns how long a task of the step is expected to take at full
// speed, from what the client declared and what earlier tasks took.
func (pl *Planner) expectedDuration(s *step) time.Duration {
	return pl.expectedStepDuration(s.job, s.key)
}

// expectedStepDuration is expectedDuration of a step that may not have started.
func (pl *Planner) expectedStepDuration(j *job, key jobreducer.StepKey) time.Duration {
	spec := &j.record.Steps[key.Step]
	if spec.LongRunning || !pl.Settings.Gates.On(gatekeeper.Durations) {
		return spec.EstimatedDuration
	}
	s := j.step(key)
	if s == nil {
		return pl.durations.Expected(j.kind(key.Step), spec.EstimatedDuration, durationestimator.Observation{})
	}
	if from := (knowledge{pl.durations.Changes(), s.observed}); s.expectedFrom != from || s.expected == 0 {
		s.expected, s.expectedFrom = pl.durations.Expected(j.kind(key.Step), spec.EstimatedDuration, s.observed), from
	}
	return s.expected
}

// longestDuration returns how long the longest task of a step is expected to take.
func (pl *Planner) longestDuration(j *job, key jobreducer.StepKey) time.Duration {
	spec, expected := &j.record.Steps[key.Step], pl.expectedStepDuration(j, key)
	if spec.LongRunning || !pl.Settings.Gates.On(gatekeeper.Durations) {
		return expected
	}
	var observed durationestimator.Observation
	if s := j.step(key); s != nil {
		observed = s.observed
	}
	return pl.durations.Longest(j.record.Queue.Name, expected, spec.Tasks, observed)
}

// knowledge is what an expected duration rests on.
type knowledge struct {
	changes  int64
	observed durationestimator.Observation
}

func (j *job) kind(index int) durationestimator.Kind {
	return durationestimator.Kind{Queue: j.record.Queue.Name, Image: j.record.Steps[index].Image, Step: index}
}

// measureTime adds the time since the last report of a run to its time at full
// speed. A filler counts by the processors that it was given.
func (p *placement) measureTime(now time.Time) {
	since := p.measuredAt
	if since.IsZero() {
		since = p.placedAt
		if earliest := now.Add(-maxStartDelay); since.Before(earliest) {
			since = earliest
		}
	}
	p.measuredAt = now
	p.fullSpeedTime += time.Duration(p.speed() * float64(now.Sub(since)))
}

// speed is the share of its processors that a run gets, as last reported.
func (p *placement) speed() float64 {
	switch spec := p.step.spec; {
	case !spec.Filler || !p.active:
		return 1
	case p.measurement > 0:
		return min(p.measurement/float64(max(spec.Size.Millicores, 1)), 1)
	default:
		return float64(p.pace) / fullPace
	}
}

// observeProgress notes the progress of the most advanced run of a step.
func (p *placement) observeProgress() {
	first := 0.0
	elapsed := p.fullSpeedTime
	if p.resumed() {
		first, elapsed = float64(p.firstPercent), p.fullSpeedTime-p.firstSpeedTime
	}
	o := &p.step.observed
	if percent := float64(p.progressPercent) - first; percent >= o.Percent && percent > 0 {
		o.Percent, o.Elapsed = percent, elapsed
	}
}

// resumed reports whether the run may have begun at a checkpoint.
func (p *placement) resumed() bool { return p.run > 1 && p.step.spec.Checkpoints }

// learnDuration notes how long a task took that ended, and learns from its step once
// all tasks of it have ended.
func (pl *Planner) learnDuration(p *placement, now time.Time) {
	s := p.step
	if s.spec.LongRunning {
		return
	}
	p.measureTime(now)
	duration, share := p.fullSpeedTime, 1.0
	if p.resumed() {
		duration, share = p.fullSpeedTime-p.firstSpeedTime, 1-float64(p.firstPercent)/100
	}
	if share < 1-maxResumedPercent/100.0 || duration <= 0 {
		return
	}
	if s.spec.DataRack != "" && !slices.Contains(p.vm.workerStatus.Labels, s.spec.DataRack) {
		share *= pl.Settings.FarFactor
	}
	s.observed.Add(time.Duration(float64(duration) / share))
}

// learnStep learns from a step whose tasks have all ended.
func (pl *Planner) learnStep(s *step) {
	if s.spec.LongRunning || s.learned || s.done < len(s.tasks) {
		return
	}
	s.learned = true
	pl.durations.Learn(s.job.kind(s.key.Step), s.spec.EstimatedDuration, s.observed)
}

// saveDurations writes what was learned to the log for the next leader.
func (pl *Planner) saveDurations(now time.Time) {
	if pl.durations.Changes() == pl.savedDurations || now.Sub(pl.durationsSavedAt) < saveInterval {
		return
	}
	pl.savedDurations, pl.durationsSavedAt = pl.durations.Changes(), now
	pl.records = append(pl.records, jobreducer.DurationsRecord(pl.durations.Table()))
}

// remainingWork returns the remaining work of an occurrence, in core-seconds.
func (pl *Planner) remainingWork(j *job, o *occurrence) float64 {
	return pl.estimate(j, o).remainingWork
}

// estimate returns the estimates of an occurrence, computed once in each pass.
func (pl *Planner) estimate(j *job, o *occurrence) *estimates {
	if o.chains != nil && o.pass == pl.pass {
		return &o.estimates
	}
	o.pass, o.remainingWork = pl.pass, 0
	o.chains = chainsBy(j, o.number, pl.expectedStepDuration)
	o.objective = objectiveOf(j, o.chains)
	for _, s := range o.steps {
		if tasks := len(s.tasks) - s.done; tasks > 0 {
			o.remainingWork += float64(tasks) * coreSeconds(s.spec, pl.expectedDuration(s))
		}
	}
	return &o.estimates
}

// totalWork returns the work of one occurrence, in core-seconds.
func (pl *Planner) totalWork(j *job) float64 {
	sum := 0.0
	for i := range j.record.Steps {
		spec := &j.record.Steps[i]
		sum += float64(spec.Tasks) * coreSeconds(spec, pl.expectedStepDuration(j, jobreducer.StepKey{Step: i}))
	}
	return sum
}

// coreSeconds is the work of a task of the given duration.
func coreSeconds(spec *work.Step, duration time.Duration) float64 {
	return duration.Seconds() * float64(spec.Size.Millicores) / 1000
}

// timeObjective returns the time within which the occurrence of a step should complete.
func (pl *Planner) timeObjective(s *step) time.Duration {
	return pl.estimate(s.job, s.occurrence).objective
}

// exactObjective is timeObjective by the longest task of each step, for the log.
func (pl *Planner) exactObjective(j *job, occurrence int) time.Duration {
	return objectiveOf(j, chainsBy(j, occurrence, pl.longestDuration))
}

// objectiveOf returns the objective of a job with the given chains.
func objectiveOf(j *job, chains []time.Duration) time.Duration {
	longest := time.Duration(0)
	for i, chain := range chains {
		if len(j.record.Steps[i].DependsOn) == 0 {
			longest = max(longest, chain)
		}
	}
	return time.Duration(j.record.Queue.Stretch*float64(longest)) + j.record.Queue.Target
}

// chains returns, for each step of an occurrence, the longest expected time from the
// start of the step to the end of the job.
func (pl *Planner) chains(j *job, o *occurrence) []time.Duration { return pl.estimate(j, o).chains }

// chainsBy is chains, given how long a step takes.
func chainsBy(j *job, occurrence int, duration func(*job, jobreducer.StepKey) time.Duration) []time.Duration {
	steps := j.record.Steps
	longest := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		longest[i] += duration(j, jobreducer.StepKey{Occurrence: occurrence, Step: i})
		for _, dependency := range steps[i].DependsOn {
			longest[dependency] = max(longest[dependency], longest[i])
		}
	}
	return longest
}
