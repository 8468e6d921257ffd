package losscounter

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/diagnostic/explainer"
	"knapweedspur/internal/job/jobmeasurer"
)

// logs builds a log from lines of seconds, message and fields.
func logs(t *testing.T, lines ...string) []explainer.Event {
	t.Helper()
	var b strings.Builder
	for _, line := range lines {
		at, rest, _ := strings.Cut(line, " ")
		seconds, err := time.ParseDuration(at)
		if err != nil {
			t.Fatal(err)
		}
		message, fields, _ := strings.Cut(rest, " {")
		fmt.Fprintf(&b, "{\"@message\":%q,\"@timestamp\":%q,%s\n", message, time.Unix(1000, 0).Add(seconds).UTC().Format(time.RFC3339Nano), fields)
	}
	events, err := explainer.ReadEvents(strings.NewReader(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	if len(events) != len(lines) {
		t.Fatalf("%d of %d lines were read", len(events), len(lines))
	}
	return events
}

// lost returns the lost shares by cause.
func lost(l *Ledger) map[Cause]float64 {
	sums := map[Cause]float64{}
	for _, s := range l.Sums() {
		sums[s.Cause] = math.Round(s.Worth*1000) / 1000
	}
	return sums
}

func TestLateJobIsSplitAlongItsCriticalPath(t *testing.T) {
	// The job is 10 s late in two steps: 2 s of waiting, 1 s of it put behind others; 3 s
	// slowed; a run of 1 s that failed, with 1 s until the next one; 3 s without a leader.
	events := logs(t,
		`0s accept {"job":"j","outcome":"done","kind":"filling"}`,
		`0s lead begins {"epoch":1}`,
		`0s sequence {"epoch":1,"job":"j","class":"late"}`,
		`1s sequence {"epoch":1,"job":"j","class":"in time"}`,
		`2s place {"epoch":1,"task":"j.0.0.0","run":1}`,
		`2s place {"epoch":1,"task":"j.0.0.1","run":1}`,
		`4s end {"epoch":1,"task":"j.0.0.1","run":1,"how":"done","full":2000000000}`,
		`7s end {"epoch":1,"task":"j.0.0.0","run":1,"how":"done","full":2000000000}`,
		`10s lead begins {"epoch":2}`,
		`10s place {"epoch":2,"task":"j.0.1.0","run":1}`,
		`11s end {"epoch":2,"task":"j.0.1.0","run":1,"how":"failed","full":1000000000}`,
		`12s place {"epoch":2,"task":"j.0.1.0","run":2}`,
		`13s end {"epoch":2,"task":"j.0.1.0","run":2,"how":"done","full":1000000000}`,
		`13s finish {"epoch":2,"job":"j","state":"completed","after":13000000000,"objective":6000000000,"work":10}`,
	)
	l := Count(events)
	want := map[Cause]float64{Room: 0.085, Behind: 0.085, Slowed: 0.255, Failed: 0.17, Leaderless: 0.255}
	if diff := cmp.Diff(want, lost(l)); diff != "" {
		t.Errorf("lost (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[jobmeasurer.Kind]int{jobmeasurer.Filling: 1}, l.Late); diff != "" {
		t.Errorf("late jobs (-want +got):\n%s", diff)
	}
}

func TestJobsInTimeLoseNothing(t *testing.T) {
	l := Count(logs(t,
		`0s accept {"job":"j","outcome":"done","kind":"plain"}`,
		`1s place {"epoch":1,"task":"j.0.0.0","run":1}`,
		`2s end {"epoch":1,"task":"j.0.0.0","run":1,"how":"done"}`,
		`2s finish {"epoch":1,"job":"j","state":"completed","after":2000000000,"objective":2000000000,"work":1}`,
		`3s accept {"job":"k","outcome":"done","kind":"plain"}`,
		`4s finish {"epoch":1,"job":"k","state":"canceled","after":1000000000,"objective":2000000000,"work":1}`,
	))
	if diff := cmp.Diff(map[Cause]float64{}, lost(l)); diff != "" {
		t.Errorf("lost (-want +got):\n%s", diff)
	}
}

func TestJobThatNeverStartsLosesItsWorthToTheWait(t *testing.T) {
	l := Count(logs(t,
		`0s accept {"job":"j","outcome":"done","kind":"filling"}`,
		`0s load {"epoch":1}`,
		`9s load {"epoch":1}`,
	))
	if diff := cmp.Diff(map[Cause]float64{Room: 1}, lost(l)); diff != "" {
		t.Errorf("lost (-want +got):\n%s", diff)
	}
	if l.Unfinished[jobmeasurer.Filling] != 1 {
		t.Errorf("unfinished jobs: %v", l.Unfinished)
	}
}

func TestServingTasksLoseTheTimeInWhichTheyAreAway(t *testing.T) {
	l := Count(logs(t,
		`0s accept {"job":"j","outcome":"done","kind":"serving"}`,
		`1s place {"epoch":1,"task":"j.0.0.0","run":1}`,
		`1s place {"epoch":1,"task":"j.0.0.1","run":1}`,
		`4s void {"epoch":1,"task":"j.0.0.1","run":1,"reason":"lapsed"}`,
		`5s place {"epoch":1,"task":"j.0.0.1","run":2}`,
		`10s finish {"epoch":1,"job":"j","state":"canceled","after":10000000000}`,
	))
	// Of 20 s asked for: 2 s of waiting and twice the start-up, 1 s away and a start-up.
	if diff := cmp.Diff(map[Cause]float64{Room: 0.15, Lost: 0.075}, lost(l)); diff != "" {
		t.Errorf("lost (-want +got):\n%s", diff)
	}
	if l.ServingTime != 20*time.Second {
		t.Errorf("serving time %s, want 20 s", l.ServingTime)
	}
}
