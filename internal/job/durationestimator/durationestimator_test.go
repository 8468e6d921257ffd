package durationestimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/work"
)

var sheets = Kind{Queue: "pay", Image: "sheets"}

// end teaches the estimator a step of the kind that took factor times its declared
// duration.
func (e *Estimator) end(kind Kind, declared time.Duration, factor float64) {
	var o Observation
	o.Add(time.Duration(factor * float64(declared)))
	e.Learn(kind, declared, o)
}

// wantNear fails the test unless got differs from want by at most the share.
func wantNear(t *testing.T, what string, got, want time.Duration, share float64) {
	t.Helper()
	if math.Abs(math.Log(float64(got)/float64(want))) > share {
		t.Errorf("%s: expected %s, want %s within %.0f %%", what, got, want, share*100)
	}
}

func TestDeclaredDurationIsTrustedAtFirst(t *testing.T) {
	wantNear(t, "unknown queue", New().Expected(sheets, 3*time.Second, Observation{}), 3*time.Second, 0.001)
}

// Learned durations must follow a change within a few dozen steps, or a new release of
// a client's program would be judged by the old one.
func TestDurationsAreFollowedAfterDrift(t *testing.T) {
	e := New()
	for range 100 {
		e.end(sheets, time.Second, 2)
	}
	wantNear(t, "before the drift", e.Expected(sheets, time.Second, Observation{}), 2*time.Second, 0.1)
	for range 36 {
		e.end(sheets, time.Second, 0.7)
	}
	wantNear(t, "after the drift", e.Expected(sheets, time.Second, Observation{}), 700*time.Millisecond, 0.2)
}

func TestFalseDeclarationsHarmOnlyTheirQueue(t *testing.T) {
	e := New()
	other := Kind{Queue: "checks", Image: "sheets"}
	for i := range 60 {
		e.end(sheets, time.Millisecond<<(i%12), 1000)
		e.end(other, time.Second, 1.2)
	}
	wantNear(t, "another queue", e.Expected(other, time.Second, Observation{}), 1200*time.Millisecond, 0.05)
	if got, limit := e.Expected(sheets, 10*time.Millisecond, Observation{}), time.Second; got > limit {
		t.Errorf("the false queue expects %s, want at most %s", got, limit)
	}
}

// Tasks of a step are alike, so three that ended say more than the declaration.
func TestEndedTasksAndProgressCorrectDeclaration(t *testing.T) {
	e := New()
	var ended Observation
	for range 3 {
		ended.Add(5 * time.Second)
	}
	wantNear(t, "ended tasks", e.Expected(sheets, time.Second, ended), 5*time.Second, 0.5)
	progress := Observation{Elapsed: 2 * time.Second, Percent: 40}
	wantNear(t, "progress", e.Expected(sheets, 5*time.Second, progress), 5*time.Second, 0.001)
	if got := e.Expected(sheets, time.Second, progress); got < 2*time.Second {
		t.Errorf("40 %% after 2 s gives %s, want at least 2s", got)
	}
}

// With a spread of 0.9 of the declarations, the estimate after some steps must be
// nearer to the real durations than the declared ones.
func TestLearningReducesErrorOfBadDeclarations(t *testing.T) {
	e, random := New(), rand.New(rand.NewPCG(1, 2))
	declaredError, expectedError := 0.0, 0.0
	for i := range 400 {
		duration := 2.7 * math.Exp(0.5*random.NormFloat64())
		declared := time.Duration(duration * math.Exp(0.9*random.NormFloat64()) * float64(time.Second))
		real := time.Duration(duration * float64(time.Second))
		if i > 20 {
			declaredError += math.Abs(logSeconds(declared) - logSeconds(real))
			expectedError += math.Abs(logSeconds(e.Expected(sheets, declared, Observation{})) - logSeconds(real))
		}
		var o Observation
		o.Add(real)
		e.Learn(sheets, declared, o)
	}
	if expectedError > 0.65*declaredError {
		t.Errorf("mean error %.3f, with declared durations %.3f; want at most 0.65 of that", expectedError/379, declaredError/379)
	}
}

func TestTableIsBoundedAndRestoresAlike(t *testing.T) {
	e := New()
	for i := range 5000 {
		e.end(Kind{Queue: fmt.Sprintf("queue-%d", i%200), Image: fmt.Sprintf("registry/image-%d", i), Step: i % 3}, time.Second, 1+float64(i%7)/5)
	}
	for range 30 {
		e.end(sheets, time.Second, 1.8)
	}
	if len(e.queues) > maxQueues || len(e.kinds) > maxQueues*maxKinds {
		t.Errorf("%d queues and %d kinds are kept, the limits are %d and %d", len(e.queues), len(e.kinds), maxQueues, maxQueues*maxKinds)
	}
	for i := range 100 {
		e.end(Kind{Queue: "many", Image: fmt.Sprintf("image-%d", i)}, time.Second, 1)
	}
	count := 0
	for kind := range e.kinds {
		if kind.Queue == "many" {
			count++
		}
	}
	if count != maxKinds || e.kinds[sheets] == nil {
		t.Errorf("%d kinds of a queue with many are kept, want %d, and those of others", count, maxKinds)
	}
	e.end(sheets, time.Second, 1.8)
	table := e.Table()
	data, err := codec.Encode(&work.WorkRecord{Durations: table})
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > MaxRecordBytes {
		t.Errorf("the table has %d bytes, the limit is %d", len(data), MaxRecordBytes)
	}
	next := New()
	next.Restore(table)
	if diff := cmp.Diff(table, next.Table()); diff != "" {
		t.Errorf("table of the next leader (-want +got):\n%s", diff)
	}
	wantNear(t, "next leader", next.Expected(sheets, time.Second, Observation{}), e.Expected(sheets, time.Second, Observation{}), 0.02)
}

// A step ends with its longest task. The factor follows the number of tasks and how
// uneven those of the queue were, also with the next leader.
func TestLongestTaskIsExpectedFromTheSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for _, spread := range []float64{0, 0.3, 0.5} {
		e := New()
		longest, expected := 0.0, 0.0
		const steps, tasks = 400, 8
		for i := range steps {
			var o Observation
			worst := 0.0
			for range tasks {
				seconds := 2 * math.Exp(spread*random.NormFloat64())
				worst = max(worst, seconds)
				o.Add(time.Duration(seconds * float64(time.Second)))
			}
			if i >= steps/2 {
				longest += math.Log(worst) / (steps / 2)
				expected += logSeconds(e.Longest(sheets.Queue, 2*time.Second, tasks, Observation{})) / (steps / 2)
			}
			e.Learn(sheets, 2*time.Second, o)
		}
		if math.Abs(longest-expected) > 0.1 {
			t.Errorf("spread %.1f: the longest task takes %.2f s, expected %.2f s", spread, math.Exp(longest), math.Exp(expected))
		}
		next := New()
		next.Restore(e.Table())
		wantNear(t, "next leader", next.Longest(sheets.Queue, time.Second, tasks, Observation{}), e.Longest(sheets.Queue, time.Second, tasks, Observation{}), 0.05)
	}
	if got := New().Longest("x", time.Second, 1, Observation{}); got != time.Second {
		t.Errorf("a single task is expected to take %s, want 1s", got)
	}
	if got := New().Longest("x", time.Second, 4, Observation{Longest: 5 * time.Second}); got != 5*time.Second {
		t.Errorf("a task took 5 s, expected %s", got)
	}
}
