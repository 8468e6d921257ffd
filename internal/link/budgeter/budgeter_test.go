package budgeter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)

// opened is a connection of a test, which notes why it was closed.
type opened struct {
	Holder
	closed Shortage
}

func open(t testing.TB, b *Budget, g *Group, now time.Time) *opened {
	t.Helper()
	o := &opened{}
	o.Close = func(s Shortage) { o.closed = s }
	if !b.Open(g, &o.Holder, now) {
		t.Fatal("there is no room for a connection")
	}
	return o
}

// Who holds most for longest is closed, not who came last.
func TestCostliestIsClosedFirst(t *testing.T) {
	b := New(Limits{Bytes: 10 * ConnectionBytes, Connections: 10})
	g := b.AddGroup(0)
	slow, large, running := open(t, b, g, start), open(t, b, g, start), open(t, b, g, start)
	for _, h := range []*opened{slow, large, running} {
		b.Enter(&h.Holder, Receiving, start)
	}
	b.Reserve(&slow.Holder, 100, start)
	b.Reserve(&large.Holder, 4*ConnectionBytes, start)
	b.Reserve(&running.Holder, 2*ConnectionBytes, start)
	b.Enter(&running.Holder, Running, start)

	now := start.Add(time.Second)
	young := open(t, b, g, now)
	b.Enter(&young.Holder, Receiving, now)
	got := []Shortage{slow.closed, large.closed, running.closed, young.closed}
	if diff := cmp.Diff([]Shortage{"", Memory, "", ""}, got); diff != "" {
		t.Error(diff)
	}
	if b.Reserve(&large.Holder, 1, now) {
		t.Error("a connection that was told to end may reserve more")
	}
}

// One that asks for the most is refused, and the others stay.
func TestCostliestIsRefused(t *testing.T) {
	b := New(Limits{Bytes: 10 * ConnectionBytes, Connections: 10})
	g := b.AddGroup(0)
	small, large := open(t, b, g, start), open(t, b, g, start)
	b.Enter(&small.Holder, Receiving, start)
	b.Enter(&large.Holder, Receiving, start)
	if b.Reserve(&large.Holder, 9*ConnectionBytes, start) || small.closed != "" {
		t.Errorf("more than there is was reserved; the other connection was closed for %q", small.closed)
	}
}

// What one listener's clients hold leaves the share of each other listener free.
func TestShareOfOtherListenerStaysFree(t *testing.T) {
	b := New(Limits{Bytes: 100 * ConnectionBytes, Connections: 20})
	crowded, other := b.AddGroup(0.25), b.AddGroup(0.25)
	for range 15 {
		b.Enter(&open(t, b, crowded, start).Holder, Running, start)
	}
	refused := &opened{}
	if b.Open(crowded, &refused.Holder, start) {
		t.Error("a listener uses the share of another")
	}
	for range 5 {
		open(t, b, other, start)
	}
}

// A connection that waits for its descriptor to be closed makes room for a new one.
func TestEndingConnectionsMakeRoom(t *testing.T) {
	b := New(Limits{Bytes: 100 * ConnectionBytes, Connections: 1})
	g := b.AddGroup(0)
	ending := open(t, b, g, start)
	b.Enter(&ending.Holder, Running, start)
	b.End(&ending.Holder)
	open(t, b, g, start)
	if ending.closed != Connections {
		t.Errorf("the ending connection was closed for %q", ending.closed)
	}
}

// Neither limit is exceeded, whatever connections do, and nothing stays counted.
func TestLimitsHoldForAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: rapid.Int64Range(ConnectionBytes, 64*ConnectionBytes).Draw(t, "bytes"), Connections: rapid.IntRange(1, 40).Draw(t, "connections")}
		b := New(limits)
		groups := []*Group{b.AddGroup(rapid.Float64Range(0, 0.5).Draw(t, "share")), b.AddGroup(rapid.Float64Range(0, 0.5).Draw(t, "share"))}
		now := start
		var all []*opened
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			action := rapid.IntRange(0, 5).Draw(t, "action")
			if action == 0 || len(all) == 0 {
				o := &opened{}
				o.Close = func(s Shortage) { o.closed = s }
				if b.Open(rapid.SampledFrom(groups).Draw(t, "group"), &o.Holder, now) {
					all = append(all, o)
				}
				continue
			}
			h := &rapid.SampledFrom(all).Draw(t, "connection").Holder
			switch action {
			case 1:
				b.Enter(h, Phase(rapid.IntRange(int(Idle), int(Linked)).Draw(t, "phase")), now)
			case 2, 3:
				b.Reserve(h, rapid.Int64Range(0, 8*ConnectionBytes).Draw(t, "more"), now)
			case 4:
				b.End(h)
			case 5:
				b.Remove(h)
			}
			if used, _ := b.Usage(); used.Bytes > limits.Bytes || used.Connections > limits.Connections {
				t.Fatalf("%+v is used of %+v", used, limits)
			}
		}
		for _, o := range all {
			b.Remove(&o.Holder)
		}
		if used, _ := b.Usage(); used != (Usage{}) {
			t.Fatalf("%+v is left", used)
		}
	})
}
