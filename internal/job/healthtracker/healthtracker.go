// Package healthtracker judges VMs by the runs on them: which of them fail what they
// start, and which are slow. It has no clock and no network; the present time is an
// argument. What a VM says about its own health is not used: only results count.
package healthtracker

import (
	"math"
	"slices"
	"time"
)

const (
	// SuspectFailures is the number of failures, each of a different job than
	// the one before and without a success in between, from which a VM is
	// suspect.
	SuspectFailures = 2
	// SuspectPause is how long a VM gets no work after a failure there, before one
	// run is tried on it.
	SuspectPause = 1500 * time.Millisecond
	// RefusalPause is how long a VM gets no work after its agent or worker
	// refused a start.
	RefusalPause = 300 * time.Millisecond
	// halfLife is the time in which evidence about a VM loses half of its weight.
	// Workers are slow or fail for seconds, so older results say little.
	halfLife = 2500 * time.Millisecond
	// flakyFailures is the least number of jobs, weighed by age, with a failure on a
	// VM that fails a share of what it starts, and flakyShare the least share. Runs
	// fail by the fault of their job too, but rarely a third of them.
	flakyFailures, flakyShare = 2.5, 0.35
	// firstPause and maxPause bound how long a slow VM gets no work. The pause
	// doubles while the runs that are tried there are slow.
	firstPause, maxPause = time.Second, 4 * time.Second
	// soundRunLimit is the number of runs at once from which a VM on probation counts
	// as sound. The number doubles with each run that goes well.
	soundRunLimit = 4
	// maxSamples bounds the runs, and the results, that are kept of one VM.
	maxSamples = 16
)

// Cause is why a VM is on probation.
type Cause string

// The causes.
const (
	Slow  Cause = "slow"
	Flaky Cause = "fails often"
)

// Health holds the results of runs on a VM since its worker started. The zero value
// is a VM of which nothing is known, which counts as sound.
type Health struct {
	// failures counts failed runs since the last success. Consecutive failures
	// of the same job count once.
	failures      int
	lastFailedJob string
	lastFailure   time.Time
	lastRefusal   time.Time
	results       []result
	samples       []sample
	probation     *probation
	// changed is set if anything was learned since the last judgement.
	changed bool
}

// result is the end of a run.
type result struct {
	job    string
	failed bool
	at     time.Time
}

// probation is the state of a VM that gets little work until it shows that it is sound.
type probation struct {
	cause   Cause
	began   time.Time
	pause   time.Duration
	resumes time.Time
	// runLimit is how many runs may be tried at once.
	runLimit int
	// judged holds the runs that count already, and whether they went well.
	judged map[string]bool
}

// RecordSuccess notes that a run of a job completed.
func (h *Health) RecordSuccess(job string, now time.Time) {
	h.failures = 0
	h.lastFailedJob = ""
	h.addResult(result{job, false, now})
	if h.probation != nil && h.probation.cause == Flaky {
		h.pass()
	}
}

// RecordFailure counts a failed run of a job.
func (h *Health) RecordFailure(job string, now time.Time) {
	if job != h.lastFailedJob {
		h.failures++
		h.lastFailedJob, h.lastFailure = job, now
	} else if h.failures >= SuspectFailures {
		h.lastFailure = now
	}
	h.addResult(result{job, true, now})
	if h.probation != nil && h.probation.cause == Flaky {
		h.probation.resumes, h.probation.runLimit = now.Add(SuspectPause), 1
	}
}

func (h *Health) addResult(r result) {
	h.changed = true
	h.results = append(h.results, r)
	h.results = h.results[max(len(h.results)-maxSamples, 0):]
}

// RecordRefusal notes that the agent or the worker refused a start.
func (h *Health) RecordRefusal(now time.Time) { h.lastRefusal = now }

// Suspect reports whether runs of several jobs have failed in a row.
func (h *Health) Suspect() bool { return h.failures >= SuspectFailures }

// Paused reports whether the VM should get no work at all, since it has just refused
// a start or failed several in a row.
func (h *Health) Paused(now time.Time) bool {
	return now.Sub(h.lastRefusal) < RefusalPause || h.Suspect() && now.Sub(h.lastFailure) < SuspectPause
}

// LastFailure returns when a run that counts as a failure of the VM ended.
func (h *Health) LastFailure() time.Time { return h.lastFailure }

// Blamed reports whether a failure on the VM is more likely its fault than that of
// the job: runs of other jobs have failed there lately too.
func (h *Health) Blamed(now time.Time) bool {
	failures, _ := h.countResults(now)
	return h.Suspect() || h.probation != nil || failures > 1.5
}

// countResults returns the numbers of jobs that failed on the VM and of runs that
// completed, weighed by age.
func (h *Health) countResults(now time.Time) (failures, successes float64) {
	newest := map[string]float64{}
	for _, r := range h.results {
		weight := fade(now.Sub(r.at))
		if r.failed {
			newest[r.job] = max(newest[r.job], weight)
		} else {
			successes += weight
		}
	}
	for _, weight := range newest {
		failures += weight
	}
	return failures, successes
}

func fade(age time.Duration) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }

// MayStart reports whether the VM may get another run, given how many of the runs
// that were placed there since a time are still there.
func (h *Health) MayStart(now time.Time, placedSince func(time.Time) int) bool {
	t := h.probation
	return t == nil || !now.Before(t.resumes) && placedSince(t.resumes) < t.runLimit
}

// OnProbation returns why the VM gets little work, or "" if it is sound.
func (h *Health) OnProbation() Cause {
	if h.probation == nil {
		return ""
	}
	return h.probation.cause
}

// Restore puts a VM on probation that an earlier leader had on probation. It may be tried at
// once.
func (h *Health) Restore(cause Cause, speed float64, now time.Time) {
	h.probation = &probation{cause: cause, began: now, pause: firstPause, resumes: now, runLimit: 1, judged: map[string]bool{}}
	if cause == Slow {
		h.samples = []sample{{logRatio: math.Log(max(speed, minSpeed)), evidence: maxEvidence, at: now, slowSince: now}}
	}
}

// Update judges the VM by what is known now, and returns whether the judgement has
// changed.
func (h *Health) Update(now time.Time) bool {
	if h.probation != nil {
		return h.updateProbation(now)
	}
	if !h.changed {
		// Evidence only fades.
		return false
	}
	h.changed = false
	if h.evidence(now) >= slowEvidence {
		h.probation = &probation{cause: Slow, began: now, pause: firstPause, resumes: now.Add(firstPause), runLimit: 1, judged: map[string]bool{}}
		return true
	}
	failures, successes := h.countResults(now)
	if failures >= flakyFailures && failures >= flakyShare*(failures+successes) {
		h.probation = &probation{cause: Flaky, began: now, resumes: now.Add(SuspectPause), runLimit: 1, judged: map[string]bool{}}
		return true
	}
	return false
}

// updateProbation applies the progress of the runs on a slow VM, and ends a probation that
// was passed.
func (h *Health) updateProbation(now time.Time) bool {
	t := h.probation
	if t.cause == Slow {
		for i := range h.samples {
			if s := &h.samples[i]; s.at.After(t.began) && s.telling() {
				h.judge(s, now)
			}
		}
	}
	if t.runLimit < soundRunLimit {
		return false
	}
	h.probation, h.results = nil, nil
	h.samples = slices.DeleteFunc(h.samples, func(s sample) bool { return s.evidence > 0 })
	return true
}

// judge applies one run on a slow VM to its probation. A run counts once as slow, and once
// more if it turns out well.
func (h *Health) judge(s *sample, now time.Time) {
	t, good := h.probation, s.evidence < 0
	if before, counted := t.judged[s.run]; counted && before == good {
		return
	}
	switch {
	case good:
		h.pass()
	case s.at.Before(t.resumes):
		// The run was there before the pause.
		return
	default:
		t.pause = min(2*t.pause, maxPause)
		t.resumes, t.runLimit = now.Add(t.pause), 1
	}
	t.judged[s.run] = good
}

// pass counts a run that went well during a probation.
func (h *Health) pass() { h.probation.runLimit *= 2 }
