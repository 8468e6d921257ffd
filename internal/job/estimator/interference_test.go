package estimator

import (
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
