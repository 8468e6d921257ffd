// Package upstreamselector picks the upstream that serves a request. Load balancing
// policies register themselves by name; a setting selects one.
package upstreamselector

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"knapweedspur/internal/policy/registrar"
)

const (
	// latencyHalfWeightAge is the age at which a measured latency has half its
	// weight in the score.
	latencyHalfWeightAge = 2 * time.Second
	// baseLatency is the latency assumed for an upstream without a measurement.
	baseLatency = time.Millisecond
	// failurePenalty multiplies the score of an upstream that has just failed.
	failurePenalty = 8
	// failureWindow is how long a failure affects the score.
	failureWindow = 2 * time.Second
	// smoothingDivisor is the divisor of the weight of a new measurement in the
	// moving average of the latency: one eighth.
	smoothingDivisor = 8
)

// Candidate is what one entry knows of an upstream. Its methods may be called
// from any goroutine.
type Candidate struct {
	// VM is the name of the upstream's VM.
	VM string
	// SameDomain means that the upstream is in the entry's own failure domain.
	SameDomain bool
	// Limit is how many concurrent requests the upstream takes, 0 for unknown.
	Limit atomic.Int64

	inflight        atomic.Int64
	reportedRunning atomic.Int64
	latency         atomic.Int64
	measuredAt      atomic.Int64
	failedAt        atomic.Int64
}

// Begin records that a request is sent.
func (c *Candidate) Begin() { c.inflight.Add(1) }

// End records that a request was answered after the elapsed time.
func (c *Candidate) End(now time.Time, elapsed time.Duration) {
	c.inflight.Add(-1)
	old := c.latency.Load()
	if old == 0 {
		old = int64(elapsed)
	}
	c.latency.Store(old + (int64(elapsed)-old)/smoothingDivisor)
	c.measuredAt.Store(now.UnixNano())
}

// Fail records that a request failed. Its duration is not a latency measurement,
// so that an upstream that fails fast does not look fast.
func (c *Candidate) Fail(now time.Time) {
	c.inflight.Add(-1)
	c.failedAt.Store(now.UnixNano())
}

// SetRunning records how many requests run on the upstream, as its agent
// reports.
func (c *Candidate) SetRunning(running int) { c.reportedRunning.Store(int64(running)) }

// InFlight returns the number of requests of this entry that wait for an answer.
func (c *Candidate) InFlight() int64 { return c.inflight.Load() }

// Latency returns the moving average of the latency, 0 if none was measured.
func (c *Candidate) Latency() time.Duration { return time.Duration(c.latency.Load()) }

// Score estimates the wait at the candidate; lower is better. An old latency
// decays towards baseLatency, so that an upstream that was slow is tried again.
func (c *Candidate) Score(now time.Time) float64 {
	load := float64(max(c.inflight.Load(), c.reportedRunning.Load()) + 1)
	latency := float64(baseLatency)
	if l := c.latency.Load(); l > 0 {
		age := float64(now.UnixNano() - c.measuredAt.Load())
		weight := 1 / (1 + age/float64(latencyHalfWeightAge))
		latency += (float64(l) - latency) * weight
	}
	score := load * latency
	if now.UnixNano()-c.failedAt.Load() < int64(failureWindow) {
		score *= failurePenalty
	}
	return score
}

// Policy returns the index of the candidate to use. The list is not empty.
type Policy func(now time.Time, candidates []*Candidate, random *rand.Rand) int

var policies = registrar.Registry[Policy]{Kind: "routing"}

// Register adds a policy. It is called from init functions.
func Register(name string, p Policy) { policies.Register(name, p) }

// Lookup returns the policy with the given name.
func Lookup(name string) (Policy, error) { return policies.Lookup(name) }

// Names returns the names of all policies.
func Names() []string { return policies.Names() }
