package estimator

import (
	"fmt"
	"math"
	"testing"
)

func TestLoadGrowsWithTheRatio(t *testing.T) {
	if got := Load(0.1); got != 0 {
		t.Errorf("an idle task has load %v", got)
	}
	if got := Load(1); math.Abs(got-0.8) > 1e-9 {
		t.Errorf("a task at its objective has load %v, want 0.8", got)
	}
}

func TestWhatIsKeptOfManyPairsIsBounded(t *testing.T) {
	e := NewInterference()
	for i := range 60 {
		for j := range 60 {
			e.weights[pair{fmt.Sprintf("f%d", i), fmt.Sprintf("s%d", j)}] = float64(i) / 10
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

func TestThePairThatPressesIsFound(t *testing.T) {
	e := NewInterference()
	// Kind "hot" presses on "feed" with 2.5 for each VM, kind "mild" not at all.
	for i := range 200 {
		hot, mild := 0.05+0.1*float64(i%3), 0.05+0.1*float64(i%4)
		e.Observe("feed", 2.5*hot, map[string]float64{"hot": hot, "mild": mild})
	}
	if w := e.Weight("hot", "feed"); math.Abs(w-2.5) > 0.3 {
		t.Errorf("weight of the kind that presses is %.2f, want 2.5", w)
	}
	if w := e.Weight("mild", "feed"); w > 0.3 {
		t.Errorf("weight of the harmless kind is %.2f, want 0", w)
	}
	if w := e.Weight("hot", "other"); w != unknownWeight {
		t.Errorf("weight of a pair never seen is %v, want %v", w, unknownWeight)
	}
}
