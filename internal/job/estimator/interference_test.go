package estimator

import (
	"fmt"
	"math"
	"slices"
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
			e.set(pair{fmt.Sprintf("f%d", i), fmt.Sprintf("s%d", j)}, float64(i)/10, keptVariance)
		}
	}
	kept := e.Pairs()
	if len(kept) != maxPairs {
		t.Fatalf("%d pairs are kept, the limit is %d", len(kept), maxPairs)
	}
	strong := 0
	for _, p := range kept {
		if p.Weight > 5 {
			strong++
		}
	}
	if strong != 9*60 {
		t.Errorf("%d of 540 strong pairs are kept", strong)
	}
}

func TestInterferingPairIsIdentified(t *testing.T) {
	e := NewInterference()
	// Kind "hot" presses on "feed" with 2.5 for each VM, kind "mild" not at all.
	for i := range 200 {
		hot, mild := 0.05+0.1*float64(i%3), 0.05+0.1*float64(i%4)
		e.Observe("feed", 0.2+2.5*hot, 0.2, map[string]float64{"hot": hot, "mild": mild})
	}
	if w := e.Weight("hot", "feed"); math.Abs(w-2.5) > 0.3 {
		t.Errorf("weight of the kind that presses is %.2f, want 2.5", w)
	}
	if w := e.Weight("mild", "feed"); w > 0.3 {
		t.Errorf("weight of the harmless kind is %.2f, want 0", w)
	}
	if w := e.Weight("new", "feed"); w != unknownWeight {
		t.Errorf("weight of a kind never seen is %v, want %v", w, unknownWeight)
	}
	if hot, mild := e.Weight("hot", "other"), e.Weight("mild", "other"); hot < 1.5 || mild > 0.7 {
		t.Errorf("beside another kind the weights are taken to be %.2f and %.2f", hot, mild)
	}
}

// What is known of one kind keeps it from being blamed for another.
func TestResidualIsAttributedToNewKind(t *testing.T) {
	e := NewInterference()
	for range 40 {
		e.Observe("feed", 0.2, 0.2, map[string]float64{"mild": 0.1})
	}
	for range 4 {
		e.Observe("feed", 0.2+0.3, 0.2, map[string]float64{"mild": 0.1, "new": 0.1})
	}
	if mild, hot := e.Weight("mild", "feed"), e.Weight("new", "feed"); mild > 0.3 || hot < 2 {
		t.Errorf("weights %.2f of the known kind and %.2f of the new one, want 0 and 3", mild, hot)
	}
}

// A tail far over its objective shows no more pressure than half of it would.
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

// The tail of half a second shows a filler that has been slowed meanwhile.
func TestLatencyIsComparedWithPeakShares(t *testing.T) {
	e := NewInterference()
	var peaks Peaks
	worst := []float64{0, 0, 0, 0}
	for i := range 400 {
		share := 0.0
		if i/3%2 == 0 {
			share = 0.2
		}
		worst = append(worst[1:], 0.2+2*share)
		e.Observe("feed", slices.Max(worst), 0.2, peaks.Observe(map[string]float64{"hot": share}, time.Duration(i)*latencyWindow/3))
	}
	if w := e.Weight("hot", "feed"); math.Abs(w-2) > 0.2 {
		t.Errorf("weight %.2f, want 2", w)
	}
}
