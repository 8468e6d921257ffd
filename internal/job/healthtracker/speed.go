package healthtracker

import (
	"math"
	"slices"
	"time"
)

const (
	// slowFactor is how many times slower a slow VM is assumed to be, to weigh the
	// progress of a run as evidence.
	slowFactor = 5.0
	// slowEvidence is the logarithm of the odds from which a VM counts as slow. One
	// run is not enough, see maxEvidence.
	slowEvidence = 4.0
	// maxEvidence bounds what one run says: one task in about thirty takes far
	// longer than the others of its step wherever it runs.
	maxEvidence = 3.4
	// maxSoundEvidence bounds what earlier runs with usual progress weigh together,
	// so that a VM that turns slow is noticed by the next two.
	maxSoundEvidence = 2.5
	// tellingEvidence is the least evidence by which one run decides about a VM on
	// probation.
	tellingEvidence = 0.5
	// PeerSpread is the standard deviation of the logarithm of the rates of the tasks
	// of one step.
	PeerSpread = 0.5
	// DeclaredSpread is that of the declared durations of steps.
	DeclaredSpread = 1.0
	// unknownSpeed is the speed that is assumed of a slow VM without recent runs, and
	// minSpeed the lowest.
	unknownSpeed, minSpeed = 0.5, 0.05
)

// sample is what one run says about the speed of its VM.
type sample struct {
	run string
	// logRatio is the logarithm of the run's rate over the expected one, evidence
	// that of the odds that the VM is slow.
	logRatio, evidence float64
	at                 time.Time
	// slowSince is since when the run was slow at each measurement.
	slowSince time.Time
}

func (s *sample) telling() bool { return math.Abs(s.evidence) >= tellingEvidence }

// ObserveRun notes the ratio of the rate of a run to the expected one. spread is the
// standard deviation of its logarithm among sound VMs. Later calls for a run replace
// earlier ones.
func (h *Health) ObserveRun(run string, ratio, spread float64, now time.Time) {
	x, slow := math.Log(max(ratio, minSpeed/2)), math.Log(1/slowFactor)
	// The logarithm of the ratio of two normal densities around slow and around 0.
	evidence := (x*x - (x-slow)*(x-slow)) / (2 * spread * spread)
	s := sample{run, x, min(max(evidence, -maxEvidence), maxEvidence), now, now}
	if i := slices.IndexFunc(h.samples, func(o sample) bool { return o.run == run }); i >= 0 {
		if h.samples[i].evidence > 0 {
			s.slowSince = h.samples[i].slowSince
		}
		h.samples = slices.Delete(h.samples, i, i+1)
	}
	h.changed = true
	h.samples = append(h.samples, s)
	h.samples = h.samples[max(len(h.samples)-maxSamples, 0):]
}

// evidence returns the logarithm of the odds that the VM is slow, before the little
// that is known without any run. A slow VM slows all its runs, so runs with usual
// progress since the first slow one weigh more than those before.
func (h *Health) evidence(now time.Time) float64 {
	var since time.Time
	for i := range h.samples {
		if s := &h.samples[i]; s.evidence > 0 && (since.IsZero() || s.slowSince.Before(since)) {
			since = s.slowSince
		}
	}
	slow, beside, before := 0.0, 0.0, 0.0
	for i := range h.samples {
		s := &h.samples[i]
		weight := fade(now.Sub(s.at))
		switch {
		case s.evidence > 0:
			slow += s.evidence * weight
		case s.at.Before(since):
			before -= s.evidence * weight
		default:
			beside -= s.evidence * weight
		}
	}
	return slow - min(beside, 2*maxEvidence) - min(before, maxSoundEvidence)
}

// Speed returns the expected speed of the VM, 1 unless it is slow.
func (h *Health) Speed(now time.Time) float64 {
	if h.probation == nil || h.probation.cause != Slow {
		return 1
	}
	sum, weights := 0.0, 0.0
	for i := range h.samples {
		if s := &h.samples[i]; s.evidence > 0 {
			weight := fade(now.Sub(s.at))
			sum += weight * s.logRatio
			weights += weight
		}
	}
	// As the evidence fades, so does what it says.
	const priorWeight = 0.25
	sum += priorWeight * math.Log(unknownSpeed)
	return max(math.Exp(sum/(weights+priorWeight)), minSpeed)
}

const (
	// maxRates bounds the runs of a step that are compared.
	maxRates = 48
	// minPeers is the least number of runs on other VMs to compare with.
	minPeers = 2
	// rateAge is how long the rate of a run is compared with others.
	rateAge = 4 * time.Second
)

// Rates holds the rates of the latest runs of a step, in percent per second. All
// tasks of a step do about the same work, so differences between VMs tell their
// speeds, and a step that is harder than declared does not look like slow VMs.
type Rates struct{ list []rate }

type rate struct {
	run, vm string
	value   float64
	at      time.Time
}

// Observe notes the rate of a run.
func (r *Rates) Observe(run, vm string, value float64, now time.Time) {
	r.list = slices.DeleteFunc(r.list, func(o rate) bool { return o.run == run || now.Sub(o.at) > rateAge })
	r.list = append(r.list, rate{run, vm, value, now})
	r.list = r.list[max(len(r.list)-maxRates, 0):]
}

// Elsewhere returns the median rate on other VMs, or false if too few runs are known.
func (r *Rates) Elsewhere(vm string, now time.Time) (float64, bool) {
	var values []float64
	for i := range r.list {
		if o := &r.list[i]; o.vm != vm && now.Sub(o.at) <= rateAge {
			values = append(values, o.value)
		}
	}
	if len(values) < minPeers {
		return 0, false
	}
	slices.Sort(values)
	return values[len(values)/2], true
}
