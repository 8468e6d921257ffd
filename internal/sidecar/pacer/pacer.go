// Package pacer throttles fillers, the tasks that run on capacity left by
// others, so that the serving tasks on the same VM meet their latency objective.
// The pace of a filler is the percentage of its processor share that it may use.
package pacer

import (
	"cmp"
	"slices"
	"time"

	"knapweedspur/internal/job/estimator"
	"knapweedspur/internal/job/loaddivider"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

const (
	// maxLoad is the load of a serving task up to which fillers may add load.
	// The task's latency reaches its objective at a load of 0.8.
	maxLoad = 0.77
	// distrustRatio is the ratio of tail latency to objective above which trust
	// in the model falls, recoveryRatio the one below which it rises again.
	distrustRatio = 0.9
	recoveryRatio = 0.7
	// trustDecrease and trustIncrease are the factors by which trust, the used
	// share of the budget, changes; minTrust is its lower bound.
	trustDecrease = 0.6
	trustIncrease = 1.6
	minTrust      = 0.2
	// minFillerUse is the share of a VM that fillers must use to be considered
	// the cause of a high latency.
	minFillerUse = 0.02
	// settleTime is how long a change takes to show in the latency: a pace takes
	// 100 ms to apply, and a latency covers the last half second.
	settleTime = 600 * time.Millisecond
	// initialLoad is assumed for a serving task without a latency yet. It is
	// half of maxLoad, so that fillers are slowed before requests arrive.
	initialLoad = maxLoad / 2
	// levelSmoothing is the weight of a new sample in a serving task's own load.
	levelSmoothing = 0.4
	// defaultWeight is assumed for pairs of images without a learned weight.
	defaultWeight = 1.0
	// slopeSmoothing is the weight of a new sample in the rate at which a load
	// changes. minElapsed is the least time in seconds by which the change of a
	// sample is divided.
	slopeSmoothing = 0.05
	minElapsed     = 0.1
	// trendExpiry is how long a trend stays valid without a new sample: a fifth
	// of the shortest observed load cycle, which is about ten seconds.
	trendExpiry = 2 * time.Second
	// lookAhead is the time until a decision takes full effect: the time to the
	// next poll plus the delay until a pace applies.
	lookAhead = 300 * time.Millisecond
	// fullPace is the whole share; paces are multiples of paceStep, in percent.
	fullPace = 100
	paceStep = 10
	// unknownPace marks a run whose pace an earlier agent process has set.
	unknownPace = -1
	// minRaiseInterval is the shortest time between two decisions that raise
	// paces.
	minRaiseInterval = 300 * time.Millisecond
)

// imagePair holds the image of a filler and that of a serving task beside it.
type imagePair struct{ filler, serving string }

// missRatio is the ratio of tail latency to objective from which a serving task
// counts as missing its objective.
const missRatio = 0.97

// Pacer divides the load that each serving task can take among the fillers of
// its VM. The fillers with the least interference run at full pace, the others
// share the remaining load.
type Pacer struct {
	// MaxTargetMiss is how long a serving task may miss its objective because of
	// fillers. After half of this time all fillers are paused, regardless of
	// the model. 0 disables this.
	MaxTargetMiss time.Duration
	// Gates says which mechanisms are switched off.
	Gates gatekeeper.Gates

	// missingSince is since when a serving task misses its objective, 0 if none
	// does.
	missingSince time.Duration
	// paused says that all fillers are paused because of MaxTargetMiss.
	paused   bool
	weights  map[imagePair]float64
	ownLoads map[string]*trend
	// peaks are the highest shares that fillers used while the current latencies
	// were measured.
	peaks estimator.Peaks
	// paces are the paces that the worker has confirmed, or unknownPace.
	paces    map[work.RunRef]int
	raisedAt time.Duration
	// trust is the used share of the budgets. It falls while a tail latency is
	// too high although the model predicted otherwise.
	trust          float64
	trustChangedAt time.Duration
}

// New returns a pacer without learned weights.
func New() *Pacer {
	return &Pacer{weights: map[imagePair]float64{}, ownLoads: map[string]*trend{}, paces: map[work.RunRef]int{}, trust: 1}
}

// Learn stores the leader's interference weights for pairs of images. A weight
// is the load that a filler adds to the serving task per VM that it fills.
func (p *Pacer) Learn(interference []work.Interference) {
	for _, x := range interference {
		p.weights[imagePair{x.FillerImage, x.ServingImage}] = x.LoadIncrease
	}
}

// Confirm records that the worker has applied a pace. Decide returns a change
// again until it is confirmed.
func (p *Pacer) Confirm(run work.RunRef, percent int) { p.paces[run] = percent }

// Adopt registers a run whose current pace is not known, so that the next
// decision sets its pace in any case.
func (p *Pacer) Adopt(run work.RunRef) { p.paces[run] = unknownPace }

func (p *Pacer) weight(fillerImage, servingImage string) float64 {
	if w, ok := p.weights[imagePair{fillerImage, servingImage}]; ok {
		return w
	}
	return defaultWeight
}

type filler struct {
	run   work.RunRef
	image string
	// usedShare is the share of the VM that it uses, fullShare the one that it
	// would use at full pace.
	usedShare, fullShare float64
	pace                 float64
}

type servingTask struct {
	task, image  string
	latencyRatio float64
}

// Decide returns the new paces of runs whose pace should change. starts holds
// the descriptions of the active runs by task, capacity is that of the VM, and
// now is on a clock that also runs while the VM is suspended.
func (p *Pacer) Decide(active []work.RunStatus, starts map[string]work.Start, capacity work.Size, now time.Duration) map[work.RunRef]int {
	fillers, servingTasks := p.classify(active, starts, float64(max(capacity.Millicores, 1)))
	if len(fillers) == 0 {
		p.trust, p.missingSince, p.paused = 1, 0, false
		return nil
	}
	p.updateTrust(servingTasks, fillers, now)
	if p.mustPause(servingTasks, fillers, now) {
		for i := range fillers {
			fillers[i].pace = 0
		}
		return p.changes(fillers, now)
	}
	shares := map[string]float64{}
	for i := range fillers {
		shares[fillers[i].image] += fillers[i].usedShare
	}
	peaks := p.peaks.Observe(shares, now)
	for _, s := range mostLoaded(servingTasks) {
		budget := max(maxLoad-p.ownLoad(s, peaks, now), loaddivider.MinBudget)
		p.limitPaces(fillers, s.image, budget*p.trust)
	}
	return p.changes(fillers, now)
}

// maxServingTasks bounds the serving tasks by which fillers are paced.
const maxServingTasks = 32

// mostLoaded returns the serving tasks by which fillers are paced: if there are many, those
// with the highest latencies beside their objectives.
func mostLoaded(tasks []servingTask) []servingTask {
	if len(tasks) <= maxServingTasks {
		return tasks
	}
	sorted := slices.Clone(tasks)
	slices.SortStableFunc(sorted, func(a, b servingTask) int { return cmp.Compare(b.latencyRatio, a.latencyRatio) })
	return sorted[:maxServingTasks]
}

// classify splits the active runs into fillers and serving tasks, and drops the
// state of those that are no longer active.
func (p *Pacer) classify(active []work.RunStatus, starts map[string]work.Start, capacity float64) ([]filler, []servingTask) {
	var fillers []filler
	var servingTasks []servingTask
	present := map[work.RunRef]bool{}
	serving := map[string]bool{}
	for i := range active {
		a := &active[i]
		s, ok := starts[a.Task]
		switch {
		case !ok:
		case s.LatencyTarget > 0:
			serving[a.Task] = true
			servingTasks = append(servingTasks, servingTask{a.Task, s.Image, a.Measurement * float64(time.Millisecond) / float64(s.LatencyTarget)})
		case s.Filler:
			run := work.RunRef{Task: a.Task, Run: a.Run}
			present[run] = true
			fillers = append(fillers, filler{run: run, image: s.Image, usedShare: a.Measurement / capacity, fullShare: float64(s.Millicores) / capacity, pace: 1})
		}
	}
	for task := range p.ownLoads {
		if !serving[task] {
			delete(p.ownLoads, task)
		}
	}
	for run := range p.paces {
		if !present[run] {
			delete(p.paces, run)
		}
	}
	return fillers, servingTasks
}

// updateTrust adapts the trust in the model to the measured latencies.
func (p *Pacer) updateTrust(servingTasks []servingTask, fillers []filler, now time.Duration) {
	if now-p.trustChangedAt < settleTime {
		return
	}
	worst, usedShare := 0.0, 0.0
	for i := range fillers {
		usedShare += fillers[i].usedShare
	}
	for _, s := range servingTasks {
		worst = max(worst, s.latencyRatio)
	}
	switch {
	case worst > distrustRatio && usedShare > minFillerUse:
		p.trust = max(p.trust*trustDecrease, minTrust)
		p.trustChangedAt = now
	case worst < recoveryRatio && p.trust < 1:
		p.trust = min(p.trust*trustIncrease, 1)
		p.trustChangedAt = now
	}
}

// mustPause reports whether all fillers must pause: a serving task has missed its
// objective for too long while fillers were running. They stay paused until the
// latency is below recoveryRatio.
func (p *Pacer) mustPause(servingTasks []servingTask, fillers []filler, now time.Duration) bool {
	worst, usedShare := 0.0, 0.0
	for _, s := range servingTasks {
		worst = max(worst, s.latencyRatio)
	}
	for i := range fillers {
		usedShare += fillers[i].usedShare
	}
	if worst < missRatio {
		p.missingSince, p.paused = 0, p.paused && worst > recoveryRatio
		return p.paused
	}
	if p.missingSince == 0 {
		p.missingSince = now
	}
	if p.MaxTargetMiss > 0 && now-p.missingSince > p.MaxTargetMiss/2 && usedShare > 0 {
		p.paused = true
	}
	return p.paused
}

// ownLoad returns the load of a serving task without the load that fillers add,
// as predicted for the time at which a decision takes effect. Without a latency it
// is initialLoad. shares holds the shares of the VM that fillers use, by image.
func (p *Pacer) ownLoad(s servingTask, shares map[string]float64, now time.Duration) float64 {
	if s.latencyRatio == 0 {
		return initialLoad
	}
	load := estimator.LoadFromLatency(s.latencyRatio)
	for image, share := range shares {
		load -= share * p.weight(image, s.image)
	}
	t := p.ownLoads[s.task]
	if t == nil || now-t.at > trendExpiry {
		t = &trend{level: max(load, 0), at: now}
		p.ownLoads[s.task] = t
	}
	level, rise := t.predict(max(load, 0), now)
	if !p.Gates.On(gatekeeper.Trend) {
		return level
	}
	return level + rise
}

// trend is a smoothed value with its rate of change (double exponential
// smoothing).
type trend struct {
	level, slope float64
	at           time.Duration
}

// predict adds a sample and returns the level and its rise until a decision takes
// effect. A downward slope is not extrapolated.
func (t *trend) predict(measured float64, now time.Duration) (level, rise float64) {
	if elapsed := (now - t.at).Seconds(); elapsed > 0 {
		expected := t.level + t.slope*elapsed
		t.level = expected + levelSmoothing*(measured-expected)
		t.slope += slopeSmoothing * (measured - expected) / max(elapsed, minElapsed)
		t.at = now
	}
	return max(t.level, 0), max(t.slope, 0) * lookAhead.Seconds()
}

// limitPaces lowers paces until the load that the fillers add to the serving
// tasks of an image is within the budget. It lowers those with the greatest weight
// first, down to a common limit on weight times pace.
func (p *Pacer) limitPaces(fillers []filler, servingImage string, budget float64) {
	parts := make([]loaddivider.Part, len(fillers))
	for i := range fillers {
		f := &fillers[i]
		parts[i] = loaddivider.Part{Weight: p.weight(f.image, servingImage) * f.pace, Share: f.fullShare}
	}
	limit := loaddivider.Limit(parts, budget)
	for i := range fillers {
		f := &fillers[i]
		f.pace = min(f.pace, loaddivider.Pace(p.weight(f.image, servingImage), limit))
	}
}

// changes returns the paces that differ from the confirmed ones. A pace is
// lowered at once, but raised only minRaiseInterval after the last raise.
func (p *Pacer) changes(fillers []filler, now time.Duration) map[work.RunRef]int {
	mayRaise := now-p.raisedAt >= minRaiseInterval
	changes := map[work.RunRef]int{}
	for i := range fillers {
		f := &fillers[i]
		pace := int(f.pace*fullPace) / paceStep * paceStep
		current, ok := p.paces[f.run]
		if !ok {
			current = fullPace
		}
		if pace < current || current == unknownPace || pace > current && mayRaise {
			changes[f.run] = pace
			if pace > current {
				p.raisedAt = now
			}
		}
	}
	return changes
}
