// Package estimator estimates, from delayed and coarse measurements, how much
// filler tasks interfere with serving tasks on the same VM, and how the load of
// serving tasks develops. Serving tasks have a latency objective; filler tasks
// use the capacity of a VM that serving tasks leave over. Tasks of the same
// kind are assumed to behave alike.
package estimator

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"knapweedspur/internal/wire/work"
)

const (
	// idleRatio is the ratio of tail latency to latency objective of a serving
	// task without load. It sets the scale of LoadFromLatency.
	idleRatio = 0.2
	// defaultWeight is the weight assumed for a kind of filler that was never
	// observed.
	defaultWeight = 1.0
	maxWeight     = 8
	// initialVariance is the variance of the weight of a pair that was never
	// observed. It matches the spread of weights between simulated days.
	// restoredVariance is that of a weight read back from the log.
	initialVariance  = 1.0
	restoredVariance = 0.2
	// minVariance is the lower limit of a variance, however often the pair was
	// observed: weights change within seconds, so the filter must keep adapting.
	minVariance = 0.005
	// loadVariance is the measurement variance of a load: latencies are
	// reported in whole milliseconds, with objectives of about 20 ms.
	loadVariance = 0.0025
	// saturatedLoad is the load above which a tail latency no longer shows how
	// strong the interference is, only that it is too strong.
	saturatedLoad = 0.93
	// minShare is the share of a VM that fillers must use for an observation to
	// say anything about them.
	minShare = 0.03
)

// LoadFromLatency converts the ratio of a tail latency to its objective into a
// load from 0 to 1, modeled as a queue whose latency grows with 1/(1-load). The
// effects of several fillers add up in the load, but not in the latency.
func LoadFromLatency(ratio float64) float64 { return 1 - idleRatio/max(ratio, idleRatio) }

// pair is a kind of filler task on the same VM as a kind of serving task.
type pair struct{ filler, serving string }

// Interference estimates one weight for each pair of kinds: by how much the
// load of the serving task rises per VM's worth of capacity that the filler
// uses. It is not safe for concurrent use.
type Interference struct {
	weights map[pair]*estimate
	totals  map[string]*fillerTotal
}

// estimate is a weight with its variance.
type estimate struct{ weight, variance float64 }

// fillerTotal sums the weights of a kind of filler over its observed pairs.
type fillerTotal struct {
	sum   float64
	pairs int
}

// NewInterference returns an estimator without observations.
func NewInterference() *Interference {
	return &Interference{weights: map[pair]*estimate{}, totals: map[string]*fillerTotal{}}
}

// Restore sets the weights that an earlier estimator returned from Pairs.
func (e *Interference) Restore(pairs []work.InterferenceEstimate) {
	for _, p := range pairs {
		e.set(pair{p.FillerImage, p.ServingImage}, p.LoadIncrease, restoredVariance)
	}
}

const (
	// maxPairs and maxPairBytes limit the pairs that are stored, so that they fit in one
	// record of the log.
	maxPairs     = 2000
	maxPairBytes = 192 << 10
	// pairOverhead is more than the encoded size of a pair beyond its names, in bytes.
	pairOverhead = 64
)

// Pairs returns the estimated weights in a fixed order. If there are more than
// the limits allow, it returns those that differ most from defaultWeight, the weight
// assumed for an unknown pair.
func (e *Interference) Pairs() []work.InterferenceEstimate {
	pairs := make([]work.InterferenceEstimate, 0, len(e.weights))
	for p, w := range e.weights {
		pairs = append(pairs, work.InterferenceEstimate{FillerImage: p.filler, ServingImage: p.serving, LoadIncrease: math.Round(w.weight*100) / 100})
	}
	if len(pairs) > maxPairs || pairBytes(pairs) > maxPairBytes {
		slices.SortFunc(pairs, func(a, b work.InterferenceEstimate) int {
			return cmp.Compare(math.Abs(b.LoadIncrease-defaultWeight), math.Abs(a.LoadIncrease-defaultWeight))
		})
		pairs = limitPairs(pairs)
	}
	slices.SortFunc(pairs, func(a, b work.InterferenceEstimate) int {
		return cmp.Or(strings.Compare(a.FillerImage, b.FillerImage), strings.Compare(a.ServingImage, b.ServingImage))
	})
	return pairs
}

func pairBytes(pairs []work.InterferenceEstimate) int {
	size := 0
	for _, p := range pairs {
		size += pairOverhead + len(p.FillerImage) + len(p.ServingImage)
	}
	return size
}

// limitPairs returns the first pairs that fit in a record, without those whose names are
// too long.
func limitPairs(pairs []work.InterferenceEstimate) []work.InterferenceEstimate {
	var kept []work.InterferenceEstimate
	size := 0
	for i := range pairs {
		if bytes := pairBytes(pairs[i : i+1]); len(kept) < maxPairs && size+bytes <= maxPairBytes {
			kept, size = append(kept, pairs[i]), size+bytes
		}
	}
	return kept
}

// Weight returns by how much the load of the serving kind rises per VM's worth
// of capacity that the filler kind uses.
func (e *Interference) Weight(filler, serving string) float64 {
	if w := e.weights[pair{filler, serving}]; w != nil {
		return w.weight
	}
	// A filler that does not slow other serving kinds will hardly slow this one.
	if total := e.totals[filler]; total != nil {
		return (total.sum + defaultWeight) / float64(total.pairs+1)
	}
	return defaultWeight
}

// set stores the weight of a pair, limited to 0 to maxWeight.
func (e *Interference) set(p pair, weight, variance float64) {
	weight = max(0, min(weight, maxWeight))
	w, total := e.weights[p], e.totals[p.filler]
	if total == nil {
		total = &fillerTotal{}
		e.totals[p.filler] = total
	}
	if w == nil {
		w = &estimate{}
		e.weights[p] = w
		total.pairs++
	}
	total.sum += weight - w.weight
	w.weight, w.variance = weight, variance
}

// variance returns the variance of the weight of a pair.
func (e *Interference) variance(p pair) float64 {
	if w := e.weights[p]; w != nil {
		return w.variance
	}
	return initialVariance
}

// AddedLoad returns by how much fillers raise the load of a serving kind, given
// the share of the VM that each kind of filler uses.
func (e *Interference) AddedLoad(serving string, shares map[string]float64) float64 {
	added := 0.0
	for filler, share := range shares {
		added += share * e.Weight(filler, serving)
	}
	return added
}

// Observe corrects the weights from the measured load of a serving task, its
// load without fillers, and the shares of its VM that fillers used at the time.
// It works as a Kalman filter without covariances: the weights with the greatest
// variance change most.
func (e *Interference) Observe(serving string, load, ownLoad float64, shares map[string]float64) {
	shareSquares, residualVariance := 0.0, loadVariance
	for filler, share := range shares {
		shareSquares += share * share
		residualVariance += share * share * e.variance(pair{filler, serving})
	}
	residual := load - ownLoad - e.AddedLoad(serving, shares)
	if shareSquares < minShare*minShare || load > saturatedLoad && residual < 0 {
		return
	}
	updated := make(map[string]estimate, len(shares))
	for filler, share := range shares {
		variance := e.variance(pair{filler, serving})
		gain := variance * share / residualVariance
		updated[filler] = estimate{e.Weight(filler, serving) + gain*residual, max(variance*(1-gain*share), minVariance)}
	}
	for filler, u := range updated {
		e.set(pair{filler, serving}, u.weight, u.variance)
	}
}
