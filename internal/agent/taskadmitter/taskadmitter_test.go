package taskadmitter

import (
	"flag"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"knapweedspur/internal/wire/message"
)

// A fixed seed makes every run draw the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
}

func newStart(run string, attempt, lease, millicores int, offset uint64) *message.Start {
	return &message.Start{Run: run, Attempt: attempt, Lease: lease, Size: message.Size{Millicores: millicores}, Offset: offset}
}

func TestNeverExceedsCapacityOrAcceptsAnAttemptTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(message.Size{Millicores: 4000})
		a.SetLease(1)
		accepted := map[message.Attempt]int{}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			name := message.Attempt{Run: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "run"), Attempt: rapid.IntRange(1, 3).Draw(t, "attempt")}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				a.MarkEnded(name, uint64(i), message.Close{Outcome: "done"})
			case 1:
				a.RefuseUnstarted(name, uint64(i))
			default:
				s := newStart(name.Run, name.Attempt, rapid.IntRange(0, 2).Draw(t, "lease"), rapid.IntRange(1, 3000).Draw(t, "size"), uint64(i))
				if _, ok := a.Decide(s).(Accept); ok {
					accepted[name]++
				}
			}
			if free := a.Free(); free.Millicores < 0 {
				t.Fatalf("free capacity is negative: %+v", free)
			}
			if accepted[name] > 1 {
				t.Fatalf("%+v was accepted %d times", name, accepted[name])
			}
		}
	})
}

func TestRefusalIsFinal(t *testing.T) {
	a := New(message.Size{Millicores: 1000})
	a.SetLease(1)
	first := a.Decide(newStart("run", 1, 1, 2000, 1))
	a.Capacity.Millicores = 4000
	second := a.Decide(newStart("run", 1, 1, 2000, 1))
	if _, refused := first.(Refuse); !refused {
		t.Fatalf("got %#v", first)
	}
	if ended, ok := second.(AlreadyEnded); !ok || ended.Close.Outcome != "refused" {
		t.Errorf("a refused attempt may still run: %#v", second)
	}
}

func TestStartForOlderLeaseIsRefused(t *testing.T) {
	a := New(message.Size{Millicores: 1000})
	a.SetLease(2)
	if d, ok := a.Decide(newStart("run", 1, 1, 1, 1)).(Refuse); !ok {
		t.Errorf("got %#v", d)
	}
	if d, ok := a.Decide(newStart("run", 1, 3, 1, 1)).(Ignore); !ok {
		t.Errorf("got %#v", d)
	}
}

func TestStartOlderThanRememberedAttemptsIsRefused(t *testing.T) {
	a := New(message.Size{Millicores: 1000})
	a.SetLease(1)
	for i := range maxEnded + 10 {
		name := fmt.Sprint("run-", i)
		a.Decide(newStart(name, 1, 1, 1, uint64(i)))
		a.MarkEnded(message.Attempt{Run: name, Attempt: 1}, uint64(i), message.Close{Outcome: "done"})
	}
	if diff := cmp.Diff(maxEnded, len(a.ended)); diff != "" {
		t.Errorf("attempts remembered (-want +got):\n%s", diff)
	}
	if d, ok := a.Decide(newStart("run-0", 1, 1, 1, 0)).(Refuse); !ok {
		t.Errorf("an attempt that ended long ago may run again: %#v", d)
	}
}
