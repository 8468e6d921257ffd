// Package pacer decides at which share tasks work that fill a VM, so that the
// tasks beside them that serve stay under their latency objective.
package pacer

import (
	"time"

	"knapweedspur/internal/job/estimator"
	"knapweedspur/internal/wire/work"
)

const (
	// loadLimit is the load of a serving task up to which fillers may press on
	// it. Its latency is at its objective at 0.8.
	loadLimit = 0.77
	// leastBudget is granted even to fillers beside a serving task that is
	// over the limit by itself: it lets those work that hardly press.
	leastBudget = 0.05
	// alarmRatio is the ratio of tail latency to objective at which the model
	// is not trusted, calmRatio the one at which trust returns.
	alarmRatio = 0.9
	calmRatio  = 0.7
	// trustLoss and trustGain change the share of the budget that is used.
	trustLoss  = 0.6
	trustGain  = 1.6
	leastTrust = 0.2
	// leastUse is the share of a VM from which fillers can be the cause.
	leastUse = 0.02
	// settleTime is how long a change takes to show: the pace takes 100 ms,
	// and the latency is that of the last half second.
	settleTime = 600 * time.Millisecond
	// startingLoad is assumed of a serving task that gives no figure yet: half of
	// what it may bear, so that fillers are slowed before its users come.
	startingLoad = loadLimit / 2
	// ownWeight is the weight of a new figure of a serving task's own load.
	ownWeight = 0.4
	// unknownWeight is assumed of pairs of kinds that nothing is known of.
	unknownWeight = 1.0
	// harmless is a weight that asks for no pace.
	harmless = 0.05
	// slopeWeight is the weight of a new figure in the rate at which a load
	// changes, leastPassed the time in seconds below which none is told.
	slopeWeight = 0.05
	leastPassed = 0.1
	// trendLife is how long a slope holds without a new figure: a fifth of the
	// shortest swing that was seen, about ten seconds.
	trendLife = 2 * time.Second
	// lookAhead is the time until a decision shows in full: the next poll and
	// the delay of a pace.
	lookAhead = 300 * time.Millisecond
	// full is the whole share; paces are multiples of unit, in percent.
	full = 100
	unit = 10
	// unknownPace stands for the pace of a run that another process paced.
	unknownPace = -1
	// raisePause is the least time between two rises of a pace.
	raisePause = 300 * time.Millisecond
	// bisections find the limit on weights well within a unit of pace.
	bisections = 12
)

// pair is a kind that fills beside a kind that serves.
type pair struct{ fill, serve string }

// overLimit is the ratio above which a serving task misses its objective.
const overLimit = 0.97

// Pacer divides what each serving task can bear among the fillers of its VM.
// Those that press least work in full, the others as far as the rest allows.
type Pacer struct {
	// Harm is how long a serving task may miss its objective because of
	// fillers. After half of it all of them halt, whatever the model says.
	HarmLimit time.Duration

	// over is since when a serving task misses its objective, zero for not.
	over    time.Duration
	halted  bool
	weights map[pair]float64
	own     map[string]*trend
	// peaks are the shares that fillers used while the latencies were measured.
	peaks estimator.Peaks
	// paces are those in force by the worker's word.
	paces  map[work.Stop]int
	raised time.Duration
	// trust is the share of the budgets that is used; it falls while a tail
	// latency is too high in spite of the model.
	trust  float64
	judged time.Duration
}

// New returns a pacer that knows nothing.
func New() *Pacer {
	return &Pacer{weights: map[pair]float64{}, own: map[string]*trend{}, paces: map[work.Stop]int{}, trust: 1}
}

// Learn takes what the leader knows of pairs of kinds.
func (p *Pacer) Learn(presses []work.Press) {
	for _, x := range presses {
		p.weights[pair{x.Fill, x.Serve}] = x.Weight
	}
}

// Confirm takes the worker's word that a pace is in force. A change that is
// not confirmed is decided anew.
func (p *Pacer) Confirm(run work.Stop, percent int) { p.paces[run] = percent }

// Adopt takes a run whose pace is not known: it is set in any case.
func (p *Pacer) Adopt(run work.Stop) { p.paces[run] = unknownPace }

func (p *Pacer) weight(fill, serve string) float64 {
	if w, ok := p.weights[pair{fill, serve}]; ok {
		return w
	}
	return unknownWeight
}

type filler struct {
	run   work.Stop
	image string
	// used is the share of the VM that it uses, full what it would use.
	used, full float64
	pace       float64
}

type server struct {
	task, image string
	ratio       float64
}

// Decide returns the new paces of runs that should change. Starts tells what
// the active runs are, capacity is that of the VM; now is on a steady clock.
func (p *Pacer) Decide(active []work.Active, starts map[string]work.Start, capacity work.Size, now time.Duration) map[work.Stop]int {
	fillers, servers := p.sort(active, starts, float64(max(capacity.Millis, 1)))
	if len(fillers) == 0 {
		p.trust, p.over, p.halted = 1, 0, false
		return nil
	}
	p.judge(servers, fillers, now)
	if p.harmful(servers, fillers, now) {
		for i := range fillers {
			fillers[i].pace = 0
		}
		return p.changes(fillers, now)
	}
	shares := map[string]float64{}
	for i := range fillers {
		shares[fillers[i].image] += fillers[i].used
	}
	peaks := p.peaks.Observe(shares, now)
	for _, s := range servers {
		budget := max(loadLimit-p.ownLoad(s, peaks, now), leastBudget)
		p.divide(fillers, s.image, budget*p.trust)
	}
	return p.changes(fillers, now)
}

// sort tells fillers from serving tasks.
func (p *Pacer) sort(active []work.Active, starts map[string]work.Start, capacity float64) ([]filler, []server) {
	var fillers []filler
	var servers []server
	present := map[work.Stop]bool{}
	serving := map[string]bool{}
	for i := range active {
		a := &active[i]
		s, ok := starts[a.Task]
		switch {
		case !ok:
		case s.Target > 0:
			serving[a.Task] = true
			servers = append(servers, server{a.Task, s.Image, a.Gauge * float64(time.Millisecond) / float64(s.Target)})
		case s.Fills:
			run := work.Stop{Task: a.Task, Run: a.Run}
			present[run] = true
			fillers = append(fillers, filler{run: run, image: s.Image, used: a.Gauge / capacity, full: float64(s.Millis) / capacity, pace: 1})
		}
	}
	for task := range p.own {
		if !serving[task] {
			delete(p.own, task)
		}
	}
	for run := range p.paces {
		if !present[run] {
			delete(p.paces, run)
		}
	}
	return fillers, servers
}

// judge adapts the trust in the model to what it led to.
func (p *Pacer) judge(servers []server, fillers []filler, now time.Duration) {
	if now-p.judged < settleTime {
		return
	}
	worst, used := 0.0, 0.0
	for i := range fillers {
		used += fillers[i].used
	}
	for _, s := range servers {
		worst = max(worst, s.ratio)
	}
	switch {
	case worst > alarmRatio && used > leastUse:
		p.trust = max(p.trust*trustLoss, leastTrust)
		p.judged = now
	case worst < calmRatio && p.trust < 1:
		p.trust = min(p.trust*trustGain, 1)
		p.judged = now
	}
}

// harmful says whether fillers must halt: a serving task has missed its
// objective for too long, and some of them have been at work meanwhile.
func (p *Pacer) harmful(servers []server, fillers []filler, now time.Duration) bool {
	worst, used := 0.0, 0.0
	for _, s := range servers {
		worst = max(worst, s.ratio)
	}
	for i := range fillers {
		used += fillers[i].used
	}
	if worst < overLimit {
		p.over, p.halted = 0, p.halted && worst > calmRatio
		return p.halted
	}
	if p.over == 0 {
		p.over = now
	}
	if p.HarmLimit > 0 && now-p.over > p.HarmLimit/2 && used > 0 {
		p.halted = true
	}
	return p.halted
}

// ownLoad is the smoothed load of a serving task without its fillers.
func (p *Pacer) ownLoad(s server, shares map[string]float64, now time.Duration) float64 {
	if s.ratio == 0 {
		return startingLoad
	}
	load := estimator.LoadFromLatency(s.ratio)
	for image, share := range shares {
		load -= share * p.weight(image, s.image)
	}
	t := p.own[s.task]
	if t == nil || now-t.at > trendLife {
		t = &trend{level: max(load, 0), at: now}
		p.own[s.task] = t
	}
	return t.ahead(max(load, 0), now)
}

// trend is a smoothed figure with the rate at which it changes.
type trend struct {
	level, slope float64
	at           time.Duration
}

// ahead takes a new figure and returns the one to expect when a decision takes
// effect. A fall is not relied upon.
func (t *trend) ahead(figure float64, now time.Duration) float64 {
	if passed := (now - t.at).Seconds(); passed > 0 {
		expected := t.level + t.slope*passed
		t.level = expected + ownWeight*(figure-expected)
		t.slope += slopeWeight * (figure - expected) / max(passed, leastPassed)
		t.at = now
	}
	return max(t.level, 0) + max(t.slope, 0)*lookAhead.Seconds()
}

// divide lowers paces until the fillers press on a kind of serving task no
// more than the budget. It lowers those with the greatest weight first, down to
// a common limit on weight times pace.
func (p *Pacer) divide(fillers []filler, serve string, budget float64) {
	if p.pressure(fillers, serve, 1e9) <= budget {
		return
	}
	low, high := 0.0, 10.0
	for range bisections {
		middle := (low + high) / 2
		if p.pressure(fillers, serve, middle) > budget {
			high = middle
		} else {
			low = middle
		}
	}
	for i := range fillers {
		f := &fillers[i]
		if w := p.weight(f.image, serve); w > harmless {
			f.pace = min(f.pace, low/w)
		}
	}
}

// pressure is what fillers add to a load if weight times pace is limited.
func (p *Pacer) pressure(fillers []filler, serve string, limit float64) float64 {
	sum := 0.0
	for i := range fillers {
		f := &fillers[i]
		sum += f.full * min(p.weight(f.image, serve)*f.pace, limit)
	}
	return sum
}

// changes returns the paces that differ from those in force. Lower ones take
// effect at once, higher ones after a pause.
func (p *Pacer) changes(fillers []filler, now time.Duration) map[work.Stop]int {
	mayRaise := now-p.raised >= raisePause
	changes := map[work.Stop]int{}
	for i := range fillers {
		f := &fillers[i]
		pace := int(f.pace*full) / unit * unit
		current, ok := p.paces[f.run]
		if !ok {
			current = full
		}
		if pace < current || current == unknownPace || pace > current && mayRaise {
			changes[f.run] = pace
			if pace > current {
				p.raised = now
			}
		}
	}
	return changes
}
