package leader_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"knapweedspur/internal/log/journal"
)

const (
	// evacuationBound is how long after the request a task may start in an evacuated
	// failure domain.
	evacuationBound  = 2 * time.Second
	simulatedDomains = 2
)

// toggleEvacuation requests the evacuation of a failure domain, or takes it back. The
// log may forget the records.
func (c *cluster) toggleEvacuation(domain string, forget bool) {
	c.checker.mu.Lock()
	_, evacuated := c.checker.evacuatedAt[domain]
	delete(c.checker.evacuatedAt, domain)
	c.checker.mu.Unlock()
	record := journal.Record{Key: "evacuate/" + domain}
	if !evacuated {
		record.Value = []byte("{}")
	}
	_, _ = c.operators.Append(context.Background(), []journal.Record{record}, nil) // this stream has no faults
	if forget {
		c.operators.Compact()
	}
	c.checker.logf("EVACUATION of %s: %t", domain, !evacuated)
	if !evacuated {
		c.checker.mu.Lock()
		c.checker.evacuatedAt[domain] = time.Now()
		c.checker.mu.Unlock()
	}
}

// TestNoTaskStartsInEvacuatedDomain evacuates failure domains beside random faults.
func TestNoTaskStartsInEvacuatedDomain(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random, next := rand.New(rand.NewPCG(seed, 99)), time.Now()
				playFaults(t, seed, enabledKinds(), false, func(c *cluster) {
					if time.Now().After(next) {
						next = next.Add(time.Duration(random.Int64N(int64(5 * time.Second))))
						c.toggleEvacuation(fmt.Sprintf("domain-%d", random.IntN(simulatedDomains)), random.IntN(3) == 0)
					}
				})
			})
		})
	}
}

// Jobs wait while all failure domains are evacuated, and go on at once afterwards.
func TestJobsWaitWhileAllDomainsAreEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 2, 1)
		c.run(5 * time.Second)
		c.toggleEvacuation("domain-0", false)
		c.toggleEvacuation("domain-1", true)
		c.run(time.Second)
		c.submit(fmt.Sprintf("%016x", 1), 4)
		c.run(5 * time.Second)
		if c.checker.starts > 0 {
			t.Errorf("%d starts while all failure domains are evacuated", c.checker.starts)
		}
		c.toggleEvacuation("domain-0", false)
		c.run(500 * time.Millisecond)
		if c.checker.starts < 4 {
			t.Errorf("%d starts half a second after one failure domain is in use again, want 4", c.checker.starts)
		}
		c.stop()
		c.checker.report(t)
	})
}

// The record of a start may wait for the log, which may take the operators' request
// meanwhile. Only the agents can then keep the task from starting, by the age of what
// they know.
func TestStartThatWaitedForLogIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 2, 1)
		c.run(5 * time.Second)
		for _, e := range c.entries {
			e.log.cut(time.Now().Add(2*evacuationBound), false)
			e.operators.cut(time.Now().Add(4*evacuationBound), false)
		}
		c.submit(fmt.Sprintf("%016x", 1), 4)
		c.run(time.Second) // A read that was sent before still returns the job.
		c.toggleEvacuation("domain-0", false)
		c.toggleEvacuation("domain-1", false)
		c.run(4 * evacuationBound)
		c.stop()
		c.checker.report(t)
		if !strings.Contains(strings.Join(c.checker.events, "\n"), "start refused") {
			t.Error("no start was refused")
		}
	})
}
