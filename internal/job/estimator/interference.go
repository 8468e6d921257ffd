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
	// unknownWeight is assumed of a pair of kinds never seen together: the
	// load of the serving task rises by it for each VM filled.
	unknownWeight = 1.0
	// maxWeight bounds a weight.
	maxWeight = 8
	// rate is the share of an error that one observation corrects.
	rate = 0.12
	// leastShare is a share of a VM below which fillers tell nothing.
	leastShare = 0.03
)

// Load turns the ratio of a tail latency to its objective into a load from 0
// to 1, as of a queue whose latency rises with 1/(1-load). Pressure of several
// fillers adds up in the load, not in the latency.
func Load(ratio float64) float64 { return 1 - idleRatio/max(ratio, idleRatio) }

// pair is a kind that fills beside a kind that serves.
type pair struct{ fill, serve string }

// Interference is what is known of pairs of kinds. It is not safe for
// concurrent use.
type Interference struct {
	weights map[pair]float64
}

// NewInterference returns an estimator that knows nothing.
func NewInterference() *Interference { return &Interference{weights: map[pair]float64{}} }

// Load takes what an earlier estimator had learned.
func (e *Interference) Load(pairs []work.Pair) {
	for _, p := range pairs {
		e.weights[pair{p.Fill, p.Serve}] = max(0, min(p.Weight, maxWeight))
	}
}

// maxPairs bounds what is kept of pairs, so that it fits a record.
const maxPairs = 2000

// Pairs returns what was learned, in a fixed order: where there is too much,
// what differs most from what is assumed of an unknown pair.
func (e *Interference) Pairs() []work.Pair {
	pairs := make([]work.Pair, 0, len(e.weights))
	for p, w := range e.weights {
		pairs = append(pairs, work.Pair{Fill: p.fill, Serve: p.serve, Weight: math.Round(w*100) / 100})
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
	if w, ok := e.weights[pair{fill, serve}]; ok {
		return w
	}
	return unknownWeight
}

// Rise returns by how much fillers raise the load of a serving kind, by the
// shares of the VM that they use.
func (e *Interference) Rise(serve string, shares map[string]float64) float64 {
	rise := 0.0
	for fill, share := range shares {
		rise += share * e.Weight(fill, serve)
	}
	return rise
}

// Observe takes the rise of a serving task's load and the shares of its VM
// that fillers used meanwhile. It corrects the weights by normalized least
// mean squares.
func (e *Interference) Observe(serve string, rise float64, shares map[string]float64) {
	squares := 0.0
	for _, share := range shares {
		squares += share * share
	}
	if squares < leastShare*leastShare {
		return
	}
	step := rate * (rise - e.Rise(serve, shares)) / (squares + leastShare*leastShare)
	for fill, share := range shares {
		w := e.Weight(fill, serve) + step*share
		e.weights[pair{fill, serve}] = max(0, min(w, maxWeight))
	}
}
