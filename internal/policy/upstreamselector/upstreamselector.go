// Package upstreamselector picks the upstream that serves a request. Policies register
// themselves by name; a setting selects one.
package upstreamselector

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"knapweedspur/internal/policy/registrar"
)

const (
	// staleAfter is the age at which a latency counts for half.
	staleAfter = 2 * time.Second
	// baseLatency stands for a latency that was never measured.
	baseLatency = time.Millisecond
	// failurePenalty multiplies the score of an upstream that has just failed.
	failurePenalty = 8
	// failureSpan is how long a failure counts.
	failureSpan = 2 * time.Second
	// smoothing is the divisor of one more measurement in the mean.
	smoothing = 8
)

// Candidate is an upstream as one entry sees it. Its methods may be called
// from any goroutine.
type Candidate struct {
	// VM names the VM of the upstream.
	VM string
	// Near means that it is in the entry's own failure domain.
	SameDomain bool
	// Limit is how many requests it takes at once, 0 for unknown.
	Limit atomic.Int64

	inflight atomic.Int64
	reported atomic.Int64
	latency  atomic.Int64
	measured atomic.Int64
	failed   atomic.Int64
}

// Begin notes a request sent.
func (c *Candidate) Begin() { c.inflight.Add(1) }

// End notes a request answered after a time.
func (c *Candidate) End(now time.Time, took time.Duration) {
	c.inflight.Add(-1)
	old := c.latency.Load()
	if old == 0 {
		old = int64(took)
	}
	c.latency.Store(old + (int64(took)-old)/smoothing)
	c.measured.Store(now.UnixNano())
}

// Fail notes a request that failed. A quick failure is no low latency.
func (c *Candidate) Fail(now time.Time) {
	c.inflight.Add(-1)
	c.failed.Store(now.UnixNano())
}

// Report notes how many requests the upstream's agent says it runs.
func (c *Candidate) SetRunning(running int) { c.reported.Store(int64(running)) }

// InFlight returns the requests that this entry waits for.
func (c *Candidate) InFlight() int64 { return c.inflight.Load() }

// Latency returns the mean latency of late, 0 if none was measured.
func (c *Candidate) Latency() time.Duration { return time.Duration(c.latency.Load()) }

// Score estimates the wait at the candidate. An old latency fades towards the
// base, so that an upstream that was slow is tried again.
func (c *Candidate) Score(now time.Time) float64 {
	load := float64(max(c.inflight.Load(), c.reported.Load()) + 1)
	latency := float64(baseLatency)
	if l := c.latency.Load(); l > 0 {
		age := float64(now.UnixNano() - c.measured.Load())
		weight := 1 / (1 + age/float64(staleAfter))
		latency += (float64(l) - latency) * weight
	}
	score := load * latency
	if now.UnixNano()-c.failed.Load() < int64(failureSpan) {
		score *= failurePenalty
	}
	return score
}

// Policy returns the index of the candidate to use. There is at least one.
type Policy func(now time.Time, candidates []*Candidate, random *rand.Rand) int

var policies = registrar.Registry[Policy]{Kind: "routing"}

// Register adds a policy. It is called from init functions.
func Register(name string, p Policy) { policies.Register(name, p) }

// Lookup returns the policy of a name.
func Lookup(name string) (Policy, error) { return policies.Lookup(name) }

// Names returns the names of all policies.
func Names() []string { return policies.Names() }
