// Package estimator learns from late and rough figures how tasks behave: how
// much a kind of task that fills presses on a kind of task that serves, and
// how fast VMs are.
package estimator

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"knapweedspur/internal/wire/work"
)

const (
	// idleRatio is the ratio of tail latency to objective of a serving task
	// without load. It sets the scale of Load.
	idleRatio = 0.2
	// unknownWeight is assumed of a kind of filler never seen: the load of the
	// serving task rises by it for each VM filled.
	unknownWeight = 1.0
	// maxWeight bounds a weight.
	maxWeight = 8
	// newVariance is the variance of the weight of a pair never seen, as weights
	// of played days differ; keptVariance that of one which the log had.
	newVariance  = 1.0
	keptVariance = 0.2
	// leastVariance is left however often a pair was seen: weights change
	// within seconds.
	leastVariance = 0.005
	// noise is the variance of a load: latencies come in whole milliseconds of
	// objectives of about 20.
	noise = 0.0025
	// saturation is the load from which a tail tells no more how great the
	// pressure is, only that it is too great.
	saturation = 0.93
	// leastShare is a share of a VM below which fillers tell nothing.
	leastShare = 0.03
)

// Load turns the ratio of a tail latency to its objective into a load from 0
// to 1, as of a queue whose latency rises with 1/(1-load). Pressure of several
// fillers adds up in the load, not in the latency.
func LoadFromLatency(ratio float64) float64 { return 1 - idleRatio/max(ratio, idleRatio) }

// pair is a kind that fills beside a kind that serves.
type pair struct{ fill, serve string }

// Interference is what is known of pairs of kinds. It is not safe for
// concurrent use.
type Interference struct {
	weights map[pair]*estimate
	kinds   map[string]*kind
}

// estimate is a weight with its variance.
type estimate struct{ weight, variance float64 }

// kind sums the weights of a kind that fills, over the pairs seen.
type kind struct {
	sum  float64
	seen int
}

// NewInterference returns an estimator that knows nothing.
func NewInterference() *Interference {
	return &Interference{weights: map[pair]*estimate{}, kinds: map[string]*kind{}}
}

// Load takes what an earlier estimator had learned.
func (e *Interference) Restore(pairs []work.Pair) {
	for _, p := range pairs {
		e.set(pair{p.Fill, p.Serve}, p.Weight, keptVariance)
	}
}

// maxPairs bounds what is kept of pairs, so that it fits a record.
const maxPairs = 2000

// Pairs returns what was learned, in a fixed order: where there is too much,
// what differs most from what is assumed of an unknown pair.
func (e *Interference) Pairs() []work.Pair {
	pairs := make([]work.Pair, 0, len(e.weights))
	for p, w := range e.weights {
		pairs = append(pairs, work.Pair{Fill: p.fill, Serve: p.serve, Weight: math.Round(w.weight*100) / 100})
	}
	if len(pairs) > maxPairs {
		slices.SortFunc(pairs, func(a, b work.Pair) int {
			return cmp.Compare(math.Abs(b.Weight-unknownWeight), math.Abs(a.Weight-unknownWeight))
		})
		pairs = pairs[:maxPairs]
	}
	slices.SortFunc(pairs, func(a, b work.Pair) int {
		return cmp.Or(strings.Compare(a.Fill, b.Fill), strings.Compare(a.Serve, b.Serve))
	})
	return pairs
}

// Weight returns by how much the load of the one kind rises for each VM's
// worth of the other.
func (e *Interference) Weight(fill, serve string) float64 {
	if w := e.weights[pair{fill, serve}]; w != nil {
		return w.weight
	}
	// A kind that does not press on others hardly will on this one.
	if k := e.kinds[fill]; k != nil {
		return (k.sum + unknownWeight) / float64(k.seen+1)
	}
	return unknownWeight
}

// set enters the weight of a pair.
func (e *Interference) set(p pair, weight, variance float64) {
	weight = max(0, min(weight, maxWeight))
	w, k := e.weights[p], e.kinds[p.fill]
	if k == nil {
		k = &kind{}
		e.kinds[p.fill] = k
	}
	if w == nil {
		w = &estimate{}
		e.weights[p] = w
		k.seen++
	}
	k.sum += weight - w.weight
	w.weight, w.variance = weight, variance
}

// variance tells how sure the weight of a pair is.
func (e *Interference) variance(p pair) float64 {
	if w := e.weights[p]; w != nil {
		return w.variance
	}
	return newVariance
}

// Rise returns by how much fillers raise the load of a serving kind, by the
// shares of the VM that they use.
func (e *Interference) AddedLoad(serve string, shares map[string]float64) float64 {
	rise := 0.0
	for fill, share := range shares {
		rise += share * e.Weight(fill, serve)
	}
	return rise
}

// Observe takes the load of a serving task, the part of it that is its own, and
// the shares of its VM that fillers used meanwhile. It corrects the weights as a
// Kalman filter without covariances: those that are least sure change most.
func (e *Interference) Observe(serve string, load, own float64, shares map[string]float64) {
	squares, expected := 0.0, noise
	for fill, share := range shares {
		squares += share * share
		expected += share * share * e.variance(pair{fill, serve})
	}
	difference := load - own - e.AddedLoad(serve, shares)
	if squares < leastShare*leastShare || load > saturation && difference < 0 {
		return
	}
	changed := make(map[string]estimate, len(shares))
	for fill, share := range shares {
		variance := e.variance(pair{fill, serve})
		gain := variance * share / expected
		changed[fill] = estimate{e.Weight(fill, serve) + gain*difference, max(variance*(1-gain*share), leastVariance)}
	}
	for fill, c := range changed {
		e.set(pair{fill, serve}, c.weight, c.variance)
	}
}
