package taskadmitter

import (
	"flag"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"knapweedspur/internal/wire/message"
)

// The same cases are drawn in every run.
func init() {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
}

func start(run string, attempt, lease, millis int, offset uint64) *message.Start {
	return &message.Start{Run: run, Attempt: attempt, Lease: lease, Size: message.Size{Millis: millis}, Offset: offset}
}

func TestNeverExceedsCapacityOrAcceptsAnAttemptTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(message.Size{Millis: 4000})
		l.SetLease(1)
		taken := map[message.Attempt]int{}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			name := message.Attempt{Run: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "run"), Attempt: rapid.IntRange(1, 3).Draw(t, "attempt")}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				l.MarkEnded(name, uint64(i), message.Close{How: "done"})
			case 1:
				l.RefuseUnstarted(name, uint64(i))
			default:
				s := start(name.Run, name.Attempt, rapid.IntRange(0, 2).Draw(t, "lease"), rapid.IntRange(1, 3000).Draw(t, "size"), uint64(i))
				if _, ok := l.Decide(s).(Accept); ok {
					taken[name]++
				}
			}
			if free := l.Free(); free.Millis < 0 {
				t.Fatalf("free %+v", free)
			}
			if taken[name] > 1 {
				t.Fatalf("%+v was taken %d times", name, taken[name])
			}
		}
	})
}

func TestRefusalIsFinal(t *testing.T) {
	l := New(message.Size{Millis: 1000})
	l.SetLease(1)
	first := l.Decide(start("run", 1, 1, 2000, 1))
	l.Capacity.Millis = 4000
	second := l.Decide(start("run", 1, 1, 2000, 1))
	if _, refused := first.(Refuse); !refused {
		t.Fatalf("got %#v", first)
	}
	if past, ok := second.(AlreadyEnded); !ok || past.Close.How != "refused" {
		t.Errorf("what was refused may run after all: %#v", second)
	}
}

func TestStartForOlderLeaseIsRefused(t *testing.T) {
	l := New(message.Size{Millis: 1000})
	l.SetLease(2)
	if d, ok := l.Decide(start("run", 1, 1, 1, 1)).(Refuse); !ok {
		t.Errorf("got %#v", d)
	}
	if d, ok := l.Decide(start("run", 1, 3, 1, 1)).(Ignore); !ok {
		t.Errorf("got %#v", d)
	}
}

func TestStartOlderThanRememberedAttemptsIsRefused(t *testing.T) {
	l := New(message.Size{Millis: 1000})
	l.SetLease(1)
	for i := range maxPast + 10 {
		name := fmt.Sprint("run-", i)
		l.Decide(start(name, 1, 1, 1, uint64(i)))
		l.MarkEnded(message.Attempt{Run: name, Attempt: 1}, uint64(i), message.Close{How: "done"})
	}
	if diff := cmp.Diff(maxPast, len(l.past)); diff != "" {
		t.Errorf("attempts remembered (-want +got):\n%s", diff)
	}
	if d, ok := l.Decide(start("run-0", 1, 1, 1, 0)).(Refuse); !ok {
		t.Errorf("an attempt that ended long ago may run again: %#v", d)
	}
}
