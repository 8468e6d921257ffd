package jobacceptor

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"knapweedspur/internal/job/jobreducer"
)

var heldSeeds = flag.Int("held.seeds", 12, "number of drawn runs of TestNothingHeldTakesEffectAfterAbsenceWasReported")

// clientHistory is what clients did with one job and were told.
type clientHistory struct {
	mu sync.Mutex
	// lastPost is when the last submission began, absentAt when the last answer that the
	// job does not exist came, acceptedAt when the last submission was accepted.
	lastPost, absentAt, acceptedAt time.Time
	// canceled is set once a cancellation was sent, acknowledged once one got a success.
	canceled, acknowledged bool
}

func (h *clientHistory) note(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

func TestNothingHeldTakesEffectAfterAbsenceWasReported(t *testing.T) {
	for seed := range *heldSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playHeld(t, rand.New(rand.NewPCG(uint64(seed), 1))) })
		})
	}
}

// playHeld plays clients on three entries under drawn faults, and checks at the end what
// they were told.
func playHeld(t *testing.T, random *rand.Rand) {
	const jobs, faultTime = 60, 20 * time.Second
	s := startSite(t)
	defer s.stop()
	end := time.Now().Add(faultTime)
	var group sync.WaitGroup
	for i := range s.faults {
		// Each goroutine draws from a generator of its own: their order is not fixed.
		r := rand.New(rand.NewPCG(random.Uint64(), 2))
		group.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
				s.faults[i].set([]fault{{refuse: true}, {refuseAppends: true}, {late: time.Duration(1+r.IntN(4000)) * time.Millisecond}, {unreachable: true}, {frozen: true}, {late: time.Second, unreachable: true}, {slowProposals: time.Duration(r.IntN(4000)) * time.Millisecond}}[r.IntN(7)])
				time.Sleep(time.Duration(r.IntN(5000)) * time.Millisecond)
				s.faults[i].set(fault{})
			}
		})
	}
	histories := make([]clientHistory, jobs)
	for n := range jobs {
		r := rand.New(rand.NewPCG(random.Uint64(), 3))
		group.Go(func() { playClient(s, r, fmt.Sprintf("%016x", n+1), &histories[n]) })
	}
	group.Wait()
	time.Sleep(15 * time.Second)
	counts := map[string]int{}
	for n := range histories {
		id, h := fmt.Sprintf("%016x", n+1), &histories[n]
		state := s.recorded(t, id)
		switch {
		case h.absentAt.After(h.lastPost) && state != "":
			t.Errorf("%s: reported absent %s after its last submission began, and %s now", id, h.absentAt.Sub(h.lastPost), state)
		case h.acceptedAt.After(h.absentAt) && (state == "" || state == jobreducer.Canceled && !h.canceled):
			t.Errorf("%s: accepted, reported absent %s before, and %q now", id, h.acceptedAt.Sub(h.absentAt), state)
		case h.acknowledged && state != jobreducer.Canceled:
			t.Errorf("%s: its cancellation was acknowledged, and it is %q now", id, state)
		}
		for i := range s.acceptors {
			if got, err := s.acceptors[i].State(t.Context(), id); err == nil != (state != "") {
				t.Errorf("%s: entry %d says %q, error %v; recorded %q", id, i, got, err, state)
			}
		}
		counts[state]++
	}
	t.Logf("%d absent, %d queued, %d canceled", counts[""], counts[Queued], counts[jobreducer.Canceled])
}

// playClient submits a job several times, asks for it and cancels it, at any entry.
func playClient(s *site, r *rand.Rand, id string, h *clientHistory) {
	time.Sleep(time.Duration(r.IntN(17_000)) * time.Millisecond)
	var group sync.WaitGroup
	for range 1 + r.IntN(3) {
		entry, patience := r.IntN(3), time.Duration(500+r.IntN(2500))*time.Millisecond
		h.note(func() { h.lastPost = time.Now() })
		post := func() {
			if s.post(entry, id, patience) == nil {
				h.note(func() { h.acceptedAt = time.Now() })
			}
		}
		// Most clients wait for the answer; the others give up and leave the call behind.
		if r.IntN(3) > 0 {
			post()
		} else {
			group.Go(post)
		}
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		entry = r.IntN(3)
		if r.IntN(2) == 0 {
			if _, err := s.acceptors[entry].State(context.Background(), id); isAbsent(err) {
				h.note(func() { h.absentAt = time.Now() })
			}
			continue
		}
		h.note(func() { h.canceled = true })
		switch absent, err := s.remove(entry, id); {
		case absent:
			h.note(func() { h.absentAt = time.Now() })
		case err == nil:
			h.note(func() { h.acknowledged = true })
		}
	}
	group.Wait()
}
