package yielder

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/work"
)

func memory(n int) work.Size { return work.Size{Memory: n} }

func filler(task string, size int, lost time.Duration) Run {
	return Run{Task: task, Size: memory(size), Priority: 2, Filler: true, Saves: true, Lost: lost}
}

func names(c Choice) []string {
	var list []string
	for i := range c.Runs {
		list = append(list, c.VM+"/"+c.Runs[i].Task)
	}
	return list
}

func TestLeastWorkIsLost(t *testing.T) {
	batch := filler("batch", 6, 0)
	batch.Filler = false
	vms := []VM{
		{Name: "a", Capacity: memory(10), Used: memory(10), Runs: []Run{filler("f1", 4, 3*time.Second), filler("f2", 6, time.Second)}},
		{Name: "b", Capacity: memory(10), Used: memory(10), Runs: []Run{filler("f3", 2, 100*time.Millisecond), filler("f4", 4, 200*time.Millisecond), batch}},
	}
	c, _ := Choose(vms, Demand{Size: memory(6)})
	if diff := cmp.Diff([]string{"b/f3", "b/f4"}, names(c)); diff != "" {
		t.Errorf("runs that give way (-want +got):\n%s", diff)
	}
	c, _ = Choose(vms, Demand{Size: memory(4)})
	if diff := cmp.Diff([]string{"b/f4"}, names(c)); diff != "" {
		t.Errorf("runs that give way to a smaller task (-want +got):\n%s", diff)
	}
}

func TestRunsThatDoNotGiveWay(t *testing.T) {
	cases := map[string]func(*Run){
		"equally urgent":           func(r *Run) { r.Priority = 1 },
		"long-running":             func(r *Run) { r.LongRunning = true },
		"part of a gang":           func(r *Run) { r.Gang = true },
		"already told to stop":     func(r *Run) { r.Stopping = true },
		"gave way often":           func(r *Run) { r.Yields = MaxYields },
		"far and without a backup": func(r *Run) { r.Saves, r.Percent = false, maxPercent+1 },
	}
	for name, change := range cases {
		r := filler("f", 8, 0)
		change(&r)
		if c, ok := Choose([]VM{{Name: "a", Capacity: memory(8), Used: memory(8), Runs: []Run{r}}}, Demand{Priority: 1, Size: memory(4)}); ok {
			t.Errorf("%s: %v gives way", name, names(c))
		}
	}
}
