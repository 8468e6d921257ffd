package soaktester

import (
	"math/rand/v2"
	"time"

	"knapweedspur/platform/platformemulator"
)

const (
	// capacityBound is how long after a worker has shrunk a start may still rest on its
	// former capacity: the users' bound and the time to its next heartbeat.
	capacityBound = 3*time.Second + platformemulator.HeartbeatInterval
	// maxResizeInterval is the longest time between two changes of a capacity. It outlasts
	// the bound, so that some starts are checked against a worker that stays small.
	maxResizeInterval = 3 * time.Second
	// capacitySteps is the number of equal parts by which a capacity changes.
	capacitySteps = 4
)

// capacityChange is a capacity that a worker has from a time on.
type capacityChange struct {
	at       time.Time
	capacity size
}

// mayHold reports whether a worker may hold runs of a size after a start that arrived at a
// time: it had room for them within the bound. The caller holds the lock.
func (c *checker) mayHold(worker string, usage size, arrivedAt time.Time) bool {
	changes := c.workerCapacity[worker]
	for i := len(changes) - 1; i >= 0; i-- {
		if usage.millis <= changes[i].capacity.millis && usage.memory <= changes[i].capacity.memory {
			return true
		}
		if arrivedAt.Sub(changes[i].at) > capacityBound {
			return false
		}
	}
	return false
}

// setCapacity records a capacity of a worker.
func (c *checker) setCapacity(worker string, capacity size, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workerCapacity[worker] = append(c.workerCapacity[worker], capacityChange{now, capacity})
}

// resizeWorkers changes capacities while faults are injected, and gives all workers their
// full capacity at the end. It draws from a source of its own, so that the other faults of
// a seed stay the same.
func (s *soak) resizeWorkers(done chan<- struct{}) {
	defer close(done)
	random := rand.New(rand.NewPCG(s.config.Seed, 6))
	for start := time.Now(); time.Since(start) < s.config.FaultDuration; {
		s.resize(s.workers[random.IntN(len(s.workers))], random.IntN(capacitySteps+1), random.IntN(capacitySteps+1))
		time.Sleep(min(time.Duration(random.Int64N(int64(maxResizeInterval))), max(0, s.config.FaultDuration-time.Since(start))))
	}
	for _, w := range s.workers {
		s.resize(w, capacitySteps, capacitySteps)
	}
}

// resize gives a worker some parts of its processors and its memory.
func (s *soak) resize(w *platformemulator.Worker, processorParts, memoryParts int) {
	capacity := size{workerMillicores * processorParts / capacitySteps, workerMemory * memoryParts / capacitySteps}
	w.Resize(capacity.millis, capacity.memory)
	s.checker.setCapacity(w.Name, capacity, time.Now())
	s.logFault("%s has the capacity %+v", w.Name, capacity)
}
