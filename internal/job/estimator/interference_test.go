package estimator

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestLoadFromLatencyGrowsWithRatio(t *testing.T) {
	if got := LoadFromLatency(0.1); got != 0 {
		t.Errorf("an idle task has load %v", got)
	}
	if got := LoadFromLatency(1); math.Abs(got-0.8) > 1e-9 {
		t.Errorf("a task at its objective has load %v, want 0.8", got)
	}
}

func TestPairsAreLimitedToTheStrongest(t *testing.T) {
	e := NewInterference()
	for i := range 60 {
		for j := range 60 {
			e.set(pair{fmt.Sprintf("f%d", i), fmt.Sprintf("s%d", j)}, float64(i)/10, restoredVariance)
		}
	}
	pairs := e.Pairs()
	if len(pairs) != maxPairs {
		t.Fatalf("%d pairs are kept, the limit is %d", len(pairs), maxPairs)
	}
	strong := 0
	for _, p := range pairs {
		if p.LoadIncrease > 5 {
			strong++
		}
	}
	if strong != 9*60 {
		t.Errorf("%d of 540 strong pairs are kept", strong)
	}
}

func TestInterferingPairIsIdentified(t *testing.T) {
	e := NewInterference()
	// Kind "hot" adds a load of 2.5 per VM to "feed", kind "mild" adds none.
	for i := range 200 {
		hot, mild := 0.05+0.1*float64(i%3), 0.05+0.1*float64(i%4)
		e.Observe("feed", 0.2+2.5*hot, 0.2, map[string]float64{"hot": hot, "mild": mild})
	}
	if w := e.Weight("hot", "feed"); math.Abs(w-2.5) > 0.3 {
		t.Errorf("weight of the interfering kind is %.2f, want 2.5", w)
	}
	if w := e.Weight("mild", "feed"); w > 0.3 {
		t.Errorf("weight of the harmless kind is %.2f, want 0", w)
	}
	if w := e.Weight("new", "feed"); w != defaultWeight {
		t.Errorf("weight of a kind that was never observed is %v, want %v", w, defaultWeight)
	}
	if hot, mild := e.Weight("hot", "other"), e.Weight("mild", "other"); hot < 1.5 || mild > 0.7 {
		t.Errorf("assumed weights for another serving kind are %.2f (hot) and %.2f (mild)", hot, mild)
	}
}

// A kind whose weight is well known must not be charged with the load that a
// new kind beside it adds.
func TestResidualIsAttributedToNewKind(t *testing.T) {
	e := NewInterference()
	for range 40 {
		e.Observe("feed", 0.2, 0.2, map[string]float64{"mild": 0.1})
	}
	for range 4 {
		e.Observe("feed", 0.2+0.3, 0.2, map[string]float64{"mild": 0.1, "new": 0.1})
	}
	if known, newKind := e.Weight("mild", "feed"), e.Weight("new", "feed"); known > 0.3 || newKind < 2 {
		t.Errorf("weights %.2f of the known kind and %.2f of the new one, want 0 and 3", known, newKind)
	}
}

// A tail latency far over its objective shows no more interference than half of
// that interference would, so a saturated reading must not lower a weight.
func TestSaturatedLatencyDoesNotLowerWeight(t *testing.T) {
	e := NewInterference()
	for range 40 {
		e.Observe("feed", 0.8, 0.2, map[string]float64{"hot": 0.2})
	}
	for range 10 {
		e.Observe("feed", 0.97, 0.2, map[string]float64{"hot": 0.6})
	}
	if w := e.Weight("hot", "feed"); w < 2.7 {
		t.Errorf("the weight fell from 3 to %.2f", w)
	}
}

// A tail latency covers half a second and so still shows the effect of a filler
// that was throttled within that time. It must be compared with the peak share
// of the filler, not with its current share.
func TestLatencyIsComparedWithPeakShares(t *testing.T) {
	e := NewInterference()
	var peaks Peaks
	window := []float64{0, 0, 0, 0}
	for i := range 400 {
		share := 0.0
		if i/3%2 == 0 {
			share = 0.2
		}
		window = append(window[1:], 0.2+2*share)
		e.Observe("feed", slices.Max(window), 0.2, peaks.Observe(map[string]float64{"hot": share}, time.Duration(i)*latencyWindow/3))
	}
	if w := e.Weight("hot", "feed"); math.Abs(w-2) > 0.2 {
		t.Errorf("weight %.2f, want 2", w)
	}
}

// Guards against a record that the log refuses: a leader repeats its append until another
// entry takes over, and so does that one.
func TestPairsWithLongNamesFitInRecord(t *testing.T) {
	e := NewInterference()
	for i := range 50 {
		e.Observe(strings.Repeat("s", 10_000)+fmt.Sprint(i), 0.9, 0.5, map[string]float64{strings.Repeat("f", 10_000) + fmt.Sprint(i): 0.5})
	}
	e.Observe("serving", 0.9, 0.5, map[string]float64{"filler": 0.5, strings.Repeat("g", 200_000): 0.5})
	pairs := e.Pairs()
	size := 0
	for _, p := range pairs {
		size += len(p.FillerImage) + len(p.ServingImage)
	}
	if size > 200_000 || len(pairs) < 2 {
		t.Errorf("%d pairs with names of %d bytes", len(pairs), size)
	}
}
