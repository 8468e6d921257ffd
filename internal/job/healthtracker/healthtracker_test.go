package healthtracker

import (
	"testing"
	"time"
)

func noRuns(time.Time) int { return 0 }

// slowVM returns a VM on which two runs were slow at a time.
func slowVM(now time.Time) *Health {
	h := &Health{}
	h.ObserveRun("a", 0.2, PeerSpread, now)
	h.ObserveRun("b", 0.2, PeerSpread, now)
	h.Update(now)
	return h
}

// Runs that were there when a VM was found slow go on slowly; that is no failed probation.
func TestSlowVMIsTriedAfterFirstPause(t *testing.T) {
	now := time.Unix(1000, 0)
	h := slowVM(now)
	if h.OnProbation() != Slow || h.MayStart(now, noRuns) {
		t.Fatalf("on probation: %q, may start: %t", h.OnProbation(), h.MayStart(now, noRuns))
	}
	h.ObserveRun("a", 0.2, PeerSpread, now.Add(firstPause/2))
	h.Update(now.Add(firstPause / 2))
	now = now.Add(firstPause)
	h.Update(now)
	if !h.MayStart(now, noRuns) {
		t.Error("the VM is not tried after the first pause")
	}
	if h.MayStart(now, func(time.Time) int { return 1 }) {
		t.Error("the VM gets a second run while the first is tried")
	}
	h.ObserveRun("c", 0.2, PeerSpread, now.Add(time.Second))
	h.Update(now.Add(time.Second))
	if h.MayStart(now.Add(2*time.Second), noRuns) {
		t.Error("the VM is tried again after the first pause although the probation was slow")
	}
}

// A VM that is fast again counts as sound after two runs with usual progress.
func TestSlowVMIsSoundAfterTwoGoodRuns(t *testing.T) {
	now := time.Unix(1000, 0)
	h := slowVM(now)
	now = now.Add(firstPause)
	for i, run := range []string{"c", "d"} {
		if h.OnProbation() != Slow {
			t.Fatalf("sound after %d runs", i)
		}
		h.ObserveRun(run, 1, PeerSpread, now.Add(time.Second))
		h.Update(now.Add(time.Second))
	}
	if h.OnProbation() != "" || h.Speed(now) != 1 {
		t.Errorf("on probation: %q, speed %v; want a sound VM", h.OnProbation(), h.Speed(now))
	}
}

// What was learned fades: a VM of which nothing was heard for long needs new evidence.
func TestEvidenceFades(t *testing.T) {
	now := time.Unix(1000, 0)
	h := &Health{}
	h.ObserveRun("a", 0.2, PeerSpread, now)
	now = now.Add(4 * halfLife)
	h.ObserveRun("b", 0.2, PeerSpread, now)
	if h.Update(now); h.OnProbation() != "" {
		t.Error("one old and one new run condemn a VM")
	}
}
