// Package durationestimator learns how long tasks run from steps that ended. Clients
// declare durations that are off, each client by its own factor and spread, while the
// tasks of one step take about the same time.
package durationestimator

import (
	"math"
	"time"
)

const (
	// initialSpread is the spread (standard deviation of the logarithm) of declared
	// durations that is assumed of a queue before steps of it have ended.
	initialSpread = 0.3
	// minSpread is the least spread that is assumed, however well declarations were.
	minSpread = 0.05
	// taskSpread is the spread of the tasks of one step around its duration.
	taskSpread = 0.25
	// maxLogRatio bounds the learned factor between real and declared durations, so
	// that a client that declares a wrong unit does not get an endless estimate.
	maxLogRatio = 2.1
	// priorCount is how many ended steps the initial assumptions weigh as much as.
	priorCount = 4.0
	// forget is the weight that earlier steps keep when another one ends: a change
	// shows within two dozen.
	forget = 1 - 1.0/16
	// minProgress is the progress in percent from which a running task says how long
	// it will take.
	minProgress = 10
	// percentError is the error of a progress in percent, which is a whole number.
	percentError = 0.5
)

// Kind identifies tasks that are alike: an image at a position in the jobs of a
// queue.
type Kind struct {
	Queue, Image string
	Step         int
}

// Observation is what is known of the tasks of a running step.
type Observation struct {
	// Ended counts the tasks that ended, LogSum is the sum of the logarithms of their
	// durations in seconds at full speed.
	Ended  int
	LogSum float64
	// LogSquares is the sum of the squares of these logarithms, Longest the longest of
	// the durations.
	LogSquares float64
	Longest    time.Duration
	// Elapsed is how long the most advanced running task ran, at full speed, for
	// Percent of its work.
	Elapsed time.Duration
	Percent float64
}

// Add adds a task that ended.
func (o *Observation) Add(duration time.Duration) {
	o.Ended++
	o.LogSum += logSeconds(duration)
	o.LogSquares += logSeconds(duration) * logSeconds(duration)
	o.Longest = max(o.Longest, duration)
}

// variance returns the variance of the logarithms of the tasks that ended.
func (o *Observation) variance() float64 {
	n := float64(o.Ended)
	return max((o.LogSquares-o.LogSum*o.LogSum/n)/(n-1), 0)
}

// moments are a mean and a variance that forget.
type moments struct{ count, mean, variance float64 }

// add adds a value. The variance is that around the mean before.
func (m *moments) add(value float64) {
	deviation := value - m.mean
	m.count = m.count*forget + 1
	gain := 1 / m.count
	m.mean += gain * deviation
	m.variance = (1 - gain) * (m.variance + gain*deviation*deviation)
}

// learned holds what ended steps showed, in logarithms.
type learned struct {
	// ratio is that of real to declared durations, duration the real one in seconds.
	ratio, duration moments
	// uneven is the variance among the tasks of one step, for a queue.
	uneven moments
	// changed numbers the last change; the entry with the lowest is dropped first.
	changed int64
}

// Estimator estimates durations. It is not safe for concurrent use.
type Estimator struct {
	queues map[string]*learned
	kinds  map[Kind]*learned
	// changes counts the steps that ended.
	changes int64
}

// New returns an estimator that trusts declared durations.
func New() *Estimator {
	return &Estimator{queues: map[string]*learned{}, kinds: map[Kind]*learned{}}
}

// Changes counts the steps that were learned from.
func (e *Estimator) Changes() int64 { return e.changes }

// Learn learns from a step that ended. All its tasks count as one, since they are
// alike.
func (e *Estimator) Learn(kind Kind, declared time.Duration, observed Observation) {
	if observed.Ended == 0 || declared <= 0 {
		return
	}
	duration := observed.LogSum / float64(observed.Ended)
	ratio := clip(duration - logSeconds(declared))
	e.changes++
	for _, l := range []*learned{e.queue(kind.Queue), e.kind(kind)} {
		l.ratio.add(ratio)
		l.duration.add(duration)
		l.changed = e.changes
	}
	if observed.Ended > 1 {
		e.queue(kind.Queue).uneven.add(observed.variance())
	}
	e.shrink(kind.Queue)
}

func (e *Estimator) queue(name string) *learned {
	l := e.queues[name]
	if l == nil {
		l = &learned{}
		e.queues[name] = l
	}
	return l
}

func (e *Estimator) kind(kind Kind) *learned {
	l := e.kinds[kind]
	if l == nil {
		l = &learned{}
		e.kinds[kind] = l
	}
	return l
}

// Expected returns the duration to expect of a task at full speed. It weighs, by
// their variances, the declared duration as the declarations of the queue turned out,
// the durations of the kind, and the tasks of the step itself.
func (e *Estimator) Expected(kind Kind, declared time.Duration, observed Observation) time.Duration {
	if declared <= 0 {
		return declared
	}
	ratio, duration := moments{variance: initialSpread * initialSpread}, moments{}
	if l := e.queues[kind.Queue]; l != nil {
		ratio = blend(ratio, l.ratio)
		duration = l.duration
		if k := e.kinds[kind]; k != nil {
			ratio, duration = blend(ratio, k.ratio), blend(duration, k.duration)
		}
	}
	precision := 1 / max(ratio.variance, minSpread*minSpread)
	sum := (logSeconds(declared) + ratio.mean) * precision
	if duration.count >= priorCount {
		add := 1 / max(duration.variance, minSpread*minSpread)
		precision, sum = precision+add, sum+duration.mean*add
	}
	if observed.Ended > 0 {
		add := float64(observed.Ended) / (taskSpread * taskSpread)
		precision, sum = precision+add, sum+observed.LogSum/float64(observed.Ended)*add
	}
	if observed.Percent >= minProgress && observed.Elapsed > 0 {
		rounding := percentError / observed.Percent
		add := 1 / (taskSpread*taskSpread + rounding*rounding)
		precision, sum = precision+add, sum+(logSeconds(observed.Elapsed)-math.Log(observed.Percent/100))*add
	}
	return time.Duration(math.Exp(sum/precision) * float64(time.Second))
}

// Longest returns the duration to expect of the longest task of a step, given that of
// its tasks. A step ends with that one. Tasks of a step count as alike until steps of the
// queue show otherwise.
func (e *Estimator) Longest(queue string, expected time.Duration, tasks int, observed Observation) time.Duration {
	variance := 0.0
	if l := e.queues[queue]; l != nil {
		variance = l.uneven.mean * l.uneven.count / (l.uneven.count + 1)
	}
	factor := math.Exp(math.Sqrt(variance) * expectedMaximum(tasks))
	return max(time.Duration(factor*float64(expected)), observed.Longest)
}

// expectedMaximum returns the mean of the largest of n standard normal values, by Blom's
// approximation.
func expectedMaximum(n int) float64 {
	if n < 2 {
		return 0
	}
	p := (float64(n) - 0.375) / (float64(n) + 0.25)
	return math.Sqrt2 * math.Erfinv(2*p-1)
}

// blend returns the moments to expect where prior holds in general and m was seen.
func blend(prior, m moments) moments {
	weight := m.count / (m.count + priorCount)
	deviation := m.mean - prior.mean
	return moments{
		count: max(prior.count, m.count), mean: prior.mean + weight*deviation,
		variance: (1-weight)*prior.variance + weight*m.variance,
	}
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, time.Millisecond).Seconds()) }

func clip(ratio float64) float64 { return max(-maxLogRatio, min(ratio, maxLogRatio)) }
