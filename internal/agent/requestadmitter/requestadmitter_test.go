package requestadmitter

import (
	"flag"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// A fixed seed makes every run draw the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
}

var startTime = time.Unix(1000, 0)

func newOpenAdmitter(slots, connections int) *Admitter {
	a := New()
	a.SetLimits(startTime, slots, connections)
	a.SetHealthy(true)
	return a
}

func isRunning(admission *Admission) bool {
	select {
	case <-admission.Ready:
		return admission.Err() == nil
	default:
		return false
	}
}

func TestNeverRunsMoreRequestsThanSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newOpenAdmitter(3, 8)
		now := startTime
		var admissions []*Admission
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "arrive") {
				if admission, e := a.Admit(now, now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "deadline"))*time.Millisecond)); e == nil {
					admissions = append(admissions, admission)
				}
			} else if len(admissions) > 0 {
				i := rapid.IntRange(0, len(admissions)-1).Draw(t, "which")
				admission := admissions[i]
				admissions = append(admissions[:i], admissions[i+1:]...)
				if isRunning(admission) {
					a.Release(now, admission)
				} else {
					a.Withdraw(admission)
				}
			}
			running := 0
			for _, admission := range admissions {
				if isRunning(admission) {
					running++
				}
			}
			load := a.Load()
			if running > 3 || load.Running != running || load.Running+load.Queued > 8 {
				t.Fatalf("%d requests running, load %+v", running, load)
			}
		}
	})
}

func TestEarliestDeadlineStartsFirst(t *testing.T) {
	a := newOpenAdmitter(1, 8)
	first, _ := a.Admit(startTime, startTime.Add(time.Second))
	late, _ := a.Admit(startTime, startTime.Add(3*time.Second))
	soon, _ := a.Admit(startTime, startTime.Add(2*time.Second))
	a.Release(startTime.Add(time.Millisecond), first)
	if diff := cmp.Diff([]bool{false, true}, []bool{isRunning(late), isRunning(soon)}); diff != "" {
		t.Errorf("started (-want +got):\n%s", diff)
	}
}

func TestRefusesRequestThatCannotMeetItsDeadline(t *testing.T) {
	a := newOpenAdmitter(1, 64)
	admission, _ := a.Admit(startTime, startTime.Add(time.Second))
	now := startTime.Add(100 * time.Millisecond)
	a.Release(now, admission)
	for range 3 {
		if _, e := a.Admit(now, now.Add(time.Second)); e != nil {
			t.Fatal(e)
		}
	}
	_, e := a.Admit(now, now.Add(50*time.Millisecond))
	if e == nil || e.Verdict.String() != "unrun" || e.RetryAfter <= 0 {
		t.Errorf("a request that takes 100 ms, with 50 ms left and 3 before it, got %v", e)
	}
}

func TestShutdownRefusesNewRequests(t *testing.T) {
	a := newOpenAdmitter(1, 8)
	a.StartShutdown()
	if _, e := a.Admit(startTime, startTime.Add(time.Second)); e == nil {
		t.Error("an upstream that shuts down accepted a request")
	}
}
