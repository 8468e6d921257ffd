package paircomparer

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestIntervalUsesStudentsT(t *testing.T) {
	got := NewInterval([]float64{0.5, 0.6, 0.7, 0.6})
	// The standard deviation is 0.0816, its error 0.0408; the quantile of Student's t
	// with three degrees of freedom is 3.182.
	if math.Abs(got.Mean-0.6) > 1e-9 || math.Abs(got.Half-0.1299) > 0.0002 || got.Count != 4 {
		t.Errorf("got %+v, want 0.600 ± 0.130 of 4", got)
	}
	if one := NewInterval([]float64{0.5}); !math.IsInf(one.Half, 1) {
		t.Errorf("the interval of one value has a half width of %v", one.Half)
	}
}

func testPairs() []Pair {
	outcome := func(worth, proof float64, over time.Duration) Outcome {
		return Outcome{Worth: worth, Kinds: map[string]float64{"proof": proof}, Over: over, Lost: map[string]map[int]float64{"room": {0: 0.1, 2: 0.05}}}
	}
	pairs := []Pair{
		{Site: "a", Day: "quiet", Seed: 2, Base: outcome(0.5, 0.4, 30*time.Second), With: outcome(0.6, 0.6, 20*time.Second)},
		{Site: "a", Day: "quiet", Seed: 1, Base: outcome(0.7, 0.5, 10*time.Second), With: outcome(0.7, 0.5, 10*time.Second)},
		{Site: "b", Day: "quiet", Seed: 1, Base: outcome(0.3, 0.2, 0), With: outcome(0.2, 0.1, 0)},
	}
	pairs[2].With.Broken = map[string]int{"TWICE": 2}
	return pairs
}

func TestCompareGroupsBySiteAndDay(t *testing.T) {
	var got []string
	for _, r := range Compare(testPairs()) {
		if r.Metric == Worth {
			got = append(got, r.Group)
		}
	}
	if diff := cmp.Diff([]string{"all", "a", "a quiet", "b", "b quiet"}, got); diff != "" {
		t.Errorf("groups (-want +got):\n%s", diff)
	}
	all := Compare(testPairs())[0]
	if math.Abs(all.Base-0.5) > 1e-9 || math.Abs(all.With-0.5) > 1e-9 || math.Abs(all.Difference.Mean) > 1e-9 {
		t.Errorf("all pairs: %+v", all)
	}
}

func TestTableNamesSeedsAndBrokenRules(t *testing.T) {
	table := Table("choosing", testPairs())
	for _, want := range []string{"choosing", "seeds 1, 2", "TWICE 2", "| a quiet | worth | 0.600 | 0.650 | +0.050 ± 0.635 | 2 |"} {
		if !strings.Contains(table, want) {
			t.Errorf("the table lacks %q:\n%s", want, table)
		}
	}
}

func TestPicturesShowPairsAndLosses(t *testing.T) {
	for name, draw := range map[string]func([]Pair) ([]byte, error){"pairs": DrawPairs, "losses": DrawLosses} {
		svg, err := draw(testPairs())
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if !strings.Contains(string(svg), "<svg") || len(svg) < 1000 {
			t.Errorf("%s: no picture of %d bytes", name, len(svg))
		}
	}
}
