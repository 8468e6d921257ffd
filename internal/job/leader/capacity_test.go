package leader_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"knapweedspur/internal/wire/work"
)

// capacityBound is how long after a worker has shrunk it may be filled up to its former
// capacity, besides the time to its next heartbeat.
const capacityBound = 3 * time.Second

// simulatedCapacity is the capacity of a worker that has not shrunk, and
// simulatedTaskSize what each task reserves.
var (
	simulatedCapacity = work.Size{Millicores: 4000, Memory: 100_000, Accelerators: 4}
	simulatedTaskSize = work.Size{Millicores: 1000, Memory: 100, Accelerators: 1}
)

type capacityChange struct {
	at       time.Time
	capacity work.Size
}

// resize changes the capacity of the worker. Its next heartbeat tells of it.
func (h *simulatedHost) resize(capacity work.Size, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w := h.worker; w != nil {
		h.checker.logf("worker %s has the capacity %+v", w.status.VM, capacity)
		w.status.Capacity = capacity
		w.capacities = append(w.capacities, capacityChange{now, capacity})
	}
}

// checkCapacity checks a start that was not carried out late: the runs must fit into a
// capacity that the worker had within the bound. The caller holds the lock.
func (h *simulatedHost) checkCapacity(r *simulatedRun, now time.Time) {
	if now.Sub(r.sentAt) > simulatedOrderTimeout {
		return
	}
	w, runs := h.worker, len(h.worker.active)
	for i := len(w.capacities) - 1; i >= 0; i-- {
		c := w.capacities[i]
		if runs*simulatedTaskSize.Millicores <= c.capacity.Millicores && runs*simulatedTaskSize.Memory <= c.capacity.Memory && runs*simulatedTaskSize.Accelerators <= c.capacity.Accelerators {
			return
		}
		if now.Sub(c.at) > capacityBound+simulatedHeartbeat+simulatedTick {
			break
		}
	}
	h.checker.logf("capacities of worker %s: %+v", w.status.VM, w.capacities)
	h.checker.mu.Lock()
	defer h.checker.mu.Unlock()
	h.checker.fail("start over capacity: %s run %d is one of %d runs on %s, which has %+v", r.task, r.run, runs, r.vm, w.status.Capacity)
}

// TestNoStartExceedsCapacityThatShrank lets capacities shrink and grow beside random
// faults.
func TestNoStartExceedsCapacityThatShrank(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random, next := rand.New(rand.NewPCG(seed, 77)), time.Now()
				playFaults(t, seed, enabledKinds(), false, func(c *cluster) {
					now := time.Now()
					if now.Before(next) {
						return
					}
					next = now.Add(time.Duration(random.Int64N(int64(2 * time.Second))))
					c.vms[random.IntN(len(c.vms))].resize(drawCapacity(random), now)
				})
			})
		})
	}
}

// drawCapacity draws a capacity in which one dimension is smaller than usual.
func drawCapacity(random *rand.Rand) work.Size {
	capacity := simulatedCapacity
	switch runs := random.IntN(4); random.IntN(4) {
	case 0:
		capacity.Millicores = runs * simulatedTaskSize.Millicores
	case 1:
		capacity.Memory = runs * simulatedTaskSize.Memory
	case 2:
		capacity.Accelerators = runs * simulatedTaskSize.Accelerators
	}
	return capacity
}

// A leader that handles reports seconds after they arrive places by a capacity that the
// worker has no more. Its agent knows the newest.
func TestStartByAnOutdatedCapacityDoesNotReachTheWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 2, 1)
		c.run(3 * time.Second)
		leading := c.leading()
		if len(leading) != 1 {
			t.Fatalf("%d entries lead", len(leading))
		}
		jobs := 0
		submit := func(d time.Duration) {
			for ; d > 0; d -= 200 * time.Millisecond {
				jobs++
				c.submit(fmt.Sprintf("%016x", jobs), 2)
				c.run(200 * time.Millisecond)
			}
		}
		// The backlog grows slowly, so that no connection falls silent.
		for backlog := time.Duration(0); backlog < 5*time.Second; backlog += 50 * time.Millisecond {
			c.network.setBacklog(leading[0].address.Addr(), backlog)
			submit(200 * time.Millisecond)
		}
		for _, v := range c.vms {
			v.resize(work.Size{Millicores: 1000, Memory: 100_000, Accelerators: 4}, time.Now())
		}
		submit(12 * time.Second)
		c.stop()
		c.checker.report(t)
	})
}
