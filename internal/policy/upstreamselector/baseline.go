package upstreamselector

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

func init() {
	Register("random", uniform)
	Register("roundrobin", newRoundRobin())
	Register("least", least)
}

func uniform(_ time.Time, candidates []*Candidate, random *rand.Rand) int {
	return random.IntN(len(candidates))
}

func newRoundRobin() Policy {
	var turn atomic.Uint64
	return func(_ time.Time, candidates []*Candidate, _ *rand.Rand) int {
		return int(turn.Add(1) % uint64(len(candidates)))
	}
}

// least takes the candidate with the fewest requests in flight from this
// entry, beginning at a random one.
func least(_ time.Time, candidates []*Candidate, random *rand.Rand) int {
	n := len(candidates)
	start := random.IntN(n)
	best := start
	for i := 1; i < n; i++ {
		next := (start + i) % n
		if candidates[next].InFlight() < candidates[best].InFlight() {
			best = next
		}
	}
	return best
}
