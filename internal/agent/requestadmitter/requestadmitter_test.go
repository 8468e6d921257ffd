package requestadmitter

import (
	"flag"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// The same cases are drawn in every run.
func init() {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
}

var begin = time.Unix(1000, 0)

func open(slots, connections int) *Admitter {
	a := New()
	a.SetLimits(begin, slots, connections)
	a.SetHealthy(true)
	return a
}

func started(t *Admission) bool {
	select {
	case <-t.Ready:
		return t.Err() == nil
	default:
		return false
	}
}

func TestNeverRunsMoreRequestsThanSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := open(3, 8)
		now := begin
		var turns []*Admission
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "arrive") {
				if turn, e := a.Admit(now, now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "deadline"))*time.Millisecond)); e == nil {
					turns = append(turns, turn)
				}
			} else if len(turns) > 0 {
				i := rapid.IntRange(0, len(turns)-1).Draw(t, "which")
				turn := turns[i]
				turns = append(turns[:i], turns[i+1:]...)
				if started(turn) {
					a.Release(now, turn)
				} else {
					a.Withdraw(turn)
				}
			}
			running := 0
			for _, turn := range turns {
				if started(turn) {
					running++
				}
			}
			load := a.Load()
			if running > 3 || load.Running != running || load.Running+load.Queued > 8 {
				t.Fatalf("%d run, load %+v", running, load)
			}
		}
	})
}

func TestEarliestDeadlineStartsFirst(t *testing.T) {
	a := open(1, 8)
	first, _ := a.Admit(begin, begin.Add(time.Second))
	late, _ := a.Admit(begin, begin.Add(3*time.Second))
	soon, _ := a.Admit(begin, begin.Add(2*time.Second))
	a.Release(begin.Add(time.Millisecond), first)
	if diff := cmp.Diff([]bool{false, true}, []bool{started(late), started(soon)}); diff != "" {
		t.Errorf("started (-want +got):\n%s", diff)
	}
}

func TestRefusesRequestThatCannotMeetItsDeadline(t *testing.T) {
	a := open(1, 64)
	turn, _ := a.Admit(begin, begin.Add(time.Second))
	now := begin.Add(100 * time.Millisecond)
	a.Release(now, turn)
	for range 3 {
		if _, e := a.Admit(now, now.Add(time.Second)); e != nil {
			t.Fatal(e)
		}
	}
	_, e := a.Admit(now, now.Add(50*time.Millisecond))
	if e == nil || e.Verdict.String() != "unrun" || e.RetryAfter <= 0 {
		t.Errorf("a request of 100 ms with 50 ms left got %v", e)
	}
}

func TestShutdownRefusesNewRequests(t *testing.T) {
	a := open(1, 8)
	a.StartShutdown()
	if _, e := a.Admit(begin, begin.Add(time.Second)); e == nil {
		t.Error("a leaving upstream took a request")
	}
}
