package upstreamselector

import (
	"math/rand/v2"
	"time"
)

// sampleSize is how many candidates the sampled policy compares.
const sampleSize = 3

func init() { Register("sampled", sampled) }

// sampled takes the best of sampleSize candidates drawn at random. See
// Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing".
func sampled(now time.Time, candidates []*Candidate, random *rand.Rand) int {
	n := len(candidates)
	best := random.IntN(n)
	score := candidates[best].Score(now)
	for i := 1; i < min(sampleSize, n); i++ {
		next := random.IntN(n)
		if s := candidates[next].Score(now); s < score {
			best, score = next, s
		}
	}
	return best
}
