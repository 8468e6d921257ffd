package gatekeeper

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestZeroValueHasAllOn(t *testing.T) {
	var g Gates
	for m := range table {
		if !g.On(Mechanism(m)) {
			t.Errorf("%s is off", Mechanism(m))
		}
	}
	if diff := cmp.Diff([]string(nil), g.Off()); diff != "" {
		t.Errorf("off (-want +got):\n%s", diff)
	}
}

func TestParseSwitchesNamedMechanismsOff(t *testing.T) {
	g, err := Parse([]string{"moves", "copies"}, false)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("copies,moves", g.String()); diff != "" {
		t.Errorf("off (-want +got):\n%s", diff)
	}
	if g.On(Copies) || g.On(Moves) || !g.On(Sequence) {
		t.Errorf("off: %s", g)
	}
}

func TestParseNamesTheNearestMechanism(t *testing.T) {
	for name, want := range map[string]string{"sequense": "sequence", "Copies": "copies", "yield": "yields", "last-resort": "lastresort"} {
		_, err := Parse([]string{"moves", name}, true)
		if err == nil || !strings.Contains(err.Error(), `"`+want+`"`) || !strings.Contains(err.Error(), `"`+name+`"`) {
			t.Errorf("%s: error %v, want one that names %s", name, err, want)
		}
	}
}

func TestMechanismThatGuardsAPromiseNeedsUnsafe(t *testing.T) {
	for _, r := range Rows() {
		_, err := Parse([]string{r.Name}, false)
		if refused := err != nil; refused != (r.Guards != "") {
			t.Errorf("%s: error %v", r.Name, err)
		}
		if _, err := Parse([]string{r.Name}, true); err != nil {
			t.Errorf("%s with --unsafe: %v", r.Name, err)
		}
	}
}

func TestTableIsComplete(t *testing.T) {
	for m, r := range table {
		if r.Name == "" || r.Does == "" || r.Instead == "" || strings.ContainsAny(r.Name, " -_") {
			t.Errorf("mechanism %d: %+v", m, r)
		}
	}
}
