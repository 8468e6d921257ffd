package upstreamselector

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

func init() {
	Register("random", uniformRandom)
	Register("roundrobin", newRoundRobin())
	Register("least", leastInFlight)
}

func uniformRandom(_ time.Time, candidates []*Candidate, random *rand.Rand) int {
	return random.IntN(len(candidates))
}

func newRoundRobin() Policy {
	var counter atomic.Uint64
	return func(_ time.Time, candidates []*Candidate, _ *rand.Rand) int {
		return int(counter.Add(1) % uint64(len(candidates)))
	}
}

// leastInFlight takes the candidate with the fewest requests in flight from this
// entry. It starts at a random one, so that ties do not always go to the
// same one.
func leastInFlight(_ time.Time, candidates []*Candidate, random *rand.Rand) int {
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
