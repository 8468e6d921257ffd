package loaddivider

import (
	"flag"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A fixed seed makes every run draw the same cases; make drawn draws others.
func init() {
	if err := flag.Set("rapid.seed", "20261206"); err != nil {
		panic(err)
	}
}

func TestLimitSlowsTheHeaviestFirst(t *testing.T) {
	// The light part adds 0.02 and is below the limit; the heavy ones share 0.18.
	limit := Limit([]Part{{2, 0.1}, {0.1, 0.2}, {3, 0.2}}, 0.2)
	if want := 0.18 / 0.3; math.Abs(limit-want) > 1e-9 {
		t.Errorf("limit %.3f, want %.3f", limit, want)
	}
	if pace := Pace(0.1, limit); pace != 1 {
		t.Errorf("the light part runs at %.2f", pace)
	}
	if pace := Pace(3, limit); math.Abs(pace-0.2) > 1e-9 {
		t.Errorf("the heavy part runs at %.2f, want 0.20", pace)
	}
}

// At the limit the parts add the budget, and without need there is no limit.
func TestLimitedPartsAddTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Part {
			return Part{rapid.Float64Range(0.1, 4).Draw(t, "weight"), rapid.Float64Range(0.01, 0.5).Draw(t, "share")}
		}), 1, 8).Draw(t, "parts")
		budget := rapid.Float64Range(0, 2).Draw(t, "budget")
		whole, limited := 0.0, 0.0
		limit := Limit(parts, budget)
		for _, p := range parts {
			whole += p.Weight * p.Share
			limited += min(p.Weight, limit) * p.Share
		}
		if want := min(whole, budget); math.Abs(limited-want) > 1e-9 {
			t.Fatalf("the parts add %.6f, want %.6f", limited, want)
		}
	})
}

// A filler that hardly presses on the serving tasks runs at full pace, however loaded
// they are; one that does is slowed, or shares what others have.
func TestPredictedPaceFollowsTheInterference(t *testing.T) {
	const busy, idle = 0.66, 0.2
	cases := []struct {
		name   string
		weight float64
		parts  []Part
		load   float64
		want   float64
	}{
		{"harmless beside a busy task", 0.04, nil, busy, 1},
		{"light beside a busy task", 0.2, nil, busy, 1},
		{"heavy beside a busy task", 2, nil, busy, 0.25},
		{"heavy beside an idle task", 2, nil, idle, 1},
		{"heavy beside heavy ones", 2, []Part{{2, 0.1}}, busy, 0.125},
		{"light beside heavy ones", 0.2, []Part{{2, 0.1}}, busy, 1},
	}
	for _, c := range cases {
		got := Predict([]Serving{{c.load, c.parts, c.weight}}, 0.1, 0.68)
		if math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: pace %.3f, want %.3f", c.name, got, c.want)
		}
	}
	if got := Predict([]Serving{{idle, nil, 2}, {busy, nil, 2}}, 0.1, 0.68); got != 0.25 {
		t.Errorf("pace %.2f beside two tasks, want that beside the busy one", got)
	}
	if got := Predict(nil, 0.1, 0.68); got != 1 {
		t.Errorf("pace %.2f without serving tasks", got)
	}
}
