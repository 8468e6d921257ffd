package planner

import (
	"math"
	"slices"
	"time"

	"knapweedspur/internal/job/healthtracker"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

// Uneven workers: the progress and the ends of runs say how fast and how reliable the
// VMs are (docs/design/speeds.md). Fillers, gangs and serving tasks say nothing about
// the speed: their own share of a VM, or other members, limit them too.

const (
	// rateWindow is the least time over which the rate of a run is measured. The
	// list of a worker is up to 250 ms old.
	rateWindow = 450 * time.Millisecond
	// minSlowWait and maxSlowWait bound how long a task waits for a sound VM while a
	// slow one has room. Tasks must not wait for more than 3 s beside free room.
	minSlowWait, maxSlowWait = 300 * time.Millisecond, 1300 * time.Millisecond
)

// showsSpeed reports whether the progress of the step's tasks shows the speed of VMs.
func (s *step) showsSpeed() bool {
	return !s.spec.Filler && !s.spec.LongRunning && !s.spec.Gang && s.spec.LatencyTarget == 0
}

// noteSilence notes that a VM was not heard for a while, or its worker not by its
// agent: times that span this say nothing about its speed.
func (v *vm) noteSilence(r *work.Report, now time.Time) {
	if r.WorkerSilence > 0 || now.Sub(v.lastContact) > maxWorkerSilence {
		v.silentAt = now
	}
}

// heard reports whether the agent and the worker of a VM answer.
func (v *vm) heard(now time.Time) bool {
	return v.connected && v.synced && !v.session.Revoked && v.workerGoneAt.IsZero() && v.workerSilence < maxWorkerSilence && now.Sub(v.lastContact) < agentTimeout/2
}

// noteProgress notes whether any run on the VM has progressed. While none has, the list
// of the worker may be an old one.
func (v *vm) noteProgress(r *work.Report, now time.Time) {
	for i := range r.ActiveRuns {
		a := &r.ActiveRuns[i]
		if p := v.runs[runKey{a.Task, a.Run}]; p != nil && a.ProgressPercent > p.progressPercent {
			v.progressedAt = now
			return
		}
	}
}

// noteSent notes the time when the start of a run is sent.
func (pl *Planner) noteSent(p *placement) {
	if p.sentAt.IsZero() {
		pl.onConfirm = append(pl.onConfirm, func(confirmed time.Time) { p.sentAt = confirmed })
	}
}

// observeProgress measures the rate of an active run.
func (pl *Planner) observeProgress(p *placement, now time.Time) {
	if !p.step.showsSpeed() || p.vm.workerStatus.WarmupLeft > 0 {
		return
	}
	if p.windowStart.IsZero() || p.progressPercent < p.windowPercent {
		p.windowStart, p.windowPercent = now, p.progressPercent
		return
	}
	elapsed := now.Sub(p.windowStart)
	if elapsed < rateWindow || !p.vm.progressedAt.Equal(now) {
		return
	}
	// Progress is rounded down.
	p.rate = (float64(p.progressPercent-p.windowPercent) + 0.5) / elapsed.Seconds()
	p.windowStart, p.windowPercent = now, p.progressPercent
	pl.observeRate(p, p.rate, now)
}

// observeEnd takes the time of a run that was too short for its rate to be measured.
func (pl *Planner) observeEnd(p *placement, e *work.RunEnd, now time.Time) {
	if e.Outcome != endDone || p.rate > 0 || !p.step.showsSpeed() || p.step.spec.Checkpoints || p.vm.workerStatus.WarmupLeft > 0 ||
		p.sentAt.IsZero() || !p.sentAt.After(p.vm.silentAt) || !now.After(p.sentAt) {
		return
	}
	pl.observeRate(p, fullProgress/now.Sub(p.sentAt).Seconds(), now)
}

// observeRate compares the rate of a run with those of its step on other VMs. If there
// are too few, it compares by how much the step is faster than declared with other
// steps elsewhere, which counts once for all tasks of the step.
func (pl *Planner) observeRate(p *placement, rate float64, now time.Time) {
	s, v := p.step, p.vm
	if s.spec.DataRack != "" && !slices.Contains(v.workerStatus.Labels, s.spec.DataRack) {
		rate *= pl.Settings.FarFactor
	}
	name := s.taskName(p.index)
	s.rates.Observe(name, v.name, rate, now)
	if peers, ok := s.rates.Elsewhere(v.name, now); ok {
		v.health.ObserveRun(name, rate/peers, healthtracker.PeerSpread, now)
		return
	}
	ratio := rate * s.spec.EstimatedDuration.Seconds() / fullProgress
	if ratio <= 0 {
		return
	}
	name = s.policyName()
	pl.declaredRates.Observe(name+" "+v.name, v.name, ratio, now)
	if usual, ok := pl.declaredRates.Elsewhere(v.name, now); ok {
		v.health.ObserveRun(name, ratio/usual, healthtracker.DeclaredSpread, now)
	}
}

// judgeVMs updates which VMs are slow or fail often.
func (pl *Planner) judgeVMs(now time.Time) {
	if !pl.Settings.Gates.On(gatekeeper.Speeds) {
		return
	}
	for _, v := range pl.sortedVMs {
		before := v.health.OnProbation()
		if !v.synced || !v.health.Update(now) {
			continue
		}
		if cause := v.health.OnProbation(); cause != "" {
			pl.counters.SlowVMs++
			pl.logDecision("slow VM", "vm", v.name, "cause", string(cause), "speed", v.health.Speed(now), "runs", len(v.runs))
		} else {
			pl.counters.SoundAgain++
			pl.logDecision("VM sound again", "vm", v.name, "cause", string(before))
		}
	}
	pl.saveProbations(now)
}

const (
	// probationSaveInterval is the least time between two records of the VMs on probation.
	probationSaveInterval = 2 * time.Second
	// maxSavedProbations bounds the VMs in the record, so that it stays below 2 KB.
	maxSavedProbations = 20
	// maxProbationAge is how old the record may be when a new leader reads it.
	maxProbationAge = 10 * time.Second
)

// probations returns the VMs on probation, at most maxSavedProbations.
func (pl *Planner) probations(now time.Time) []work.VMProbation {
	list := []work.VMProbation{}
	for _, v := range pl.sortedVMs {
		if cause := v.health.OnProbation(); cause != "" && len(list) < maxSavedProbations {
			speed := math.Round(100*v.health.Speed(now)) / 100
			list = append(list, work.VMProbation{VM: v.name, WorkerIncarnation: v.session.WorkerIncarnation, Cause: string(cause), Speed: speed})
		}
	}
	return list
}

// saveProbations writes the VMs on probation for the next leader when they have changed.
func (pl *Planner) saveProbations(now time.Time) {
	if now.Sub(pl.probationsSavedAt) < probationSaveInterval {
		return
	}
	list := pl.probations(now)
	if slices.EqualFunc(list, pl.savedProbations, func(a, b work.VMProbation) bool { return a.VM == b.VM && a.Cause == b.Cause }) {
		return
	}
	pl.probationsSavedAt, pl.savedProbations = now, list
	pl.records = append(pl.records, jobreducer.SpeedsRecord(&work.Speeds{VMs: list, WrittenAt: now}))
}

// restoreProbations puts VMs on probation that the last leader had on probation, if their workers
// are still the same.
func (pl *Planner) restoreProbations(speeds *work.Speeds, now time.Time) {
	if speeds == nil || !pl.Settings.Gates.On(gatekeeper.Speeds) || now.Sub(speeds.WrittenAt).Abs() > maxProbationAge {
		return
	}
	for _, t := range speeds.VMs {
		if v := pl.vms[t.VM]; v != nil && v.session.WorkerIncarnation == t.WorkerIncarnation {
			v.health.Restore(healthtracker.Cause(t.Cause), t.Speed, now)
		}
	}
	pl.savedProbations = speeds.VMs
}

// Counters count decisions about uneven VMs and tasks in this term.
type Counters struct {
	SlowVMs, SoundAgain int
	// Crashes is the number of workers that crashed, Suspects that of tasks that were put
	// in quarantine after one, Culprits that of jobs that failed since a task crashes its
	// workers.
	Crashes, Suspects, Culprits int
	// Hopeless jobs failed since a task failed as often as its queue allows.
	Hopeless int
	// Copies is the number of copies that were started, CopiesWon of those that
	// completed first.
	Copies, CopiesWon int
}

// Uneven returns the VMs on probation and the counters, for the metrics.
func (pl *Planner) Uneven(now time.Time) ([]work.VMProbation, Counters) {
	return pl.probations(now), pl.counters
}

// worthTrying reports whether a VM on probation may get a task of a step. It may as the
// last resort: no task must wait for long while there is room for it.
func (pl *Planner) worthTrying(v *vm, s *step, now time.Time) bool {
	if v.mayTry(s, now) {
		return true
	}
	if s.avoidsSince.IsZero() {
		s.avoidsSince = now
	}
	wait := maxSlowWait
	if v.health.OnProbation() == healthtracker.Slow {
		// Waiting costs less than the time that the task would lose there.
		lost := time.Duration(float64(pl.expectedDuration(s)) * (1/v.health.Speed(now) - 1))
		wait = min(max(lost, minSlowWait), maxSlowWait)
	}
	return now.Sub(s.avoidsSince) >= wait
}

// mayTry reports whether the VM is sound, or may be tried with a task of the step.
func (v *vm) mayTry(s *step, now time.Time) bool {
	slow := v.health.OnProbation() == healthtracker.Slow
	placedSince := func(since time.Time) int {
		count := 0
		for _, p := range v.runs {
			if !p.placedAt.Before(since) && (!slow || p.step.showsSpeed()) {
				count++
			}
		}
		return count
	}
	return (!slow || s.showsSpeed()) && v.health.MayStart(now, placedSince)
}
