package copier

import (
	"testing"
	"time"
)

func TestCopyMustGain(t *testing.T) {
	cases := []struct {
		name string
		run  Run
		want bool
	}{
		{"slow VM", Run{Elapsed: time.Second, Percent: 20, Rate: 20, Speed: 0.2}, true},
		{"slow VM, nearly done", Run{Elapsed: 4 * time.Second, Percent: 85, Rate: 20, Speed: 0.2}, false},
		{"straggler", Run{Elapsed: time.Second, Percent: 15, Rate: 15, Speed: 1, Median: time.Second, Ended: 5}, true},
		{"as usual", Run{Elapsed: 500 * time.Millisecond, Percent: 50, Rate: 100, Speed: 1, Median: time.Second, Ended: 5}, false},
		{"nothing to compare with", Run{Elapsed: time.Second, Percent: 15, Rate: 15, Speed: 1, Median: time.Second, Ended: 2}, false},
		{"no progress known", Run{Elapsed: 9 * time.Second, Speed: 0.2, Median: time.Second, Ended: 5}, false},
	}
	for _, c := range cases {
		if _, got := Consider(&c.run); got != c.want {
			t.Errorf("%s: worth a copy %t, want %t", c.name, got, c.want)
		}
	}
}

func TestBudgetBoundsCopies(t *testing.T) {
	now := time.Unix(1000, 0)
	c := Copy{Cause: SlowVM, Rest: 10 * time.Second, Again: time.Second, Waste: 1.5}
	b := &Budget{}
	if b.Allows(&c, 0, now) {
		t.Error("a copy was allowed before any work was done")
	}
	b.Serve(100, now)
	if !b.Allows(&c, 0, now) {
		t.Error("no copy was allowed within the budget")
	}
	if b.Allows(&c, 1, now) {
		t.Error("a copy was allowed beside another that uses up the budget")
	}
	b.Waste(1, now)
	if b.Allows(&c, 0, now) {
		t.Error("a copy was allowed after the budget was used up")
	}
}

func TestBudgetLearnsWhetherStragglersWin(t *testing.T) {
	now := time.Unix(1000, 0)
	c := Copy{Cause: Straggler, Rest: 10 * time.Second, Again: time.Second, Waste: 0.1}
	b := &Budget{}
	b.Serve(1000, now)
	if !b.Allows(&c, 0, now) {
		t.Error("the first straggler got no copy")
	}
	for range 3 {
		b.Settle(Straggler, false)
	}
	if b.Allows(&c, 0, now.Add(time.Second)) {
		t.Error("a straggler got a copy although none has won")
	}
	if !b.Allows(&c, 0, now.Add(stragglerRetry)) {
		t.Error("stragglers are not tried again")
	}
	for range 6 {
		b.Settle(Straggler, true)
	}
	if !b.Allows(&c, 0, now.Add(stragglerRetry)) {
		t.Error("stragglers get no copies although they have won")
	}
}
