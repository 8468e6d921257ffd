package soaktester

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"knapweedspur/internal/clock/waiter"
	"knapweedspur/platform/platformemulator"
)

// Heavy jobs are accepted input of a size that only the limits of the interface bound.
// They come beside ordinary jobs, which must end all the same, and are canceled with the
// end of the faults.

const (
	// heavyStream is the random stream of heavy jobs.
	heavyStream = 40
	// meanHeavyInterval is the mean time between heavy jobs.
	meanHeavyInterval = 1500 * time.Millisecond
	// Size of the tasks of heavy jobs: a worker holds a hundred.
	heavyMillicores, heavyMemory = 20, 10
	// Size and duration of those that last: two thousand hold half of four workers.
	lastingMillicores, lastingMemory = 2, 1
	lastingDuration                  = time.Hour
	// firstHeavyDelay lets ordinary jobs begin before.
	firstHeavyDelay = time.Second
)

const (
	// maxStall is how long no task of an ordinary job may start while such jobs are
	// submitted and there is room: the longest fault and a lease.
	maxStall = 10 * time.Second
	// roomCheckInterval is the interval at which the room of the workers is checked.
	roomCheckInterval = 100 * time.Millisecond
)

// largestOrdinary is the size of the largest task of an ordinary job.
var largestOrdinary = size{millis: 600, memory: 50}

// watchRoom lets the time without a start begin anew while no worker that may get tasks
// has room for one of an ordinary job, until the end of the faults.
func (c *checker) watchRoom(ctx context.Context, end time.Time) {
	for ; time.Now().Before(end) && ctx.Err() == nil; waiter.Sleep(ctx, roomCheckInterval) {
		c.mu.Lock()
		if !c.ordinaryStartAt.IsZero() && !c.hasRoom(largestOrdinary) {
			c.ordinaryStartAt = time.Now()
		}
		c.mu.Unlock()
	}
}

// hasRoom reports whether a worker outside the evacuated domains has room for a task. The
// caller holds the lock.
func (c *checker) hasRoom(task size) bool {
	for worker, changes := range c.workerCapacity {
		capacity, usage := changes[len(changes)-1].capacity, c.workerUsage[worker]
		_, evacuated := c.evacuatedAt[c.workerDomain[worker]]
		if !evacuated && usage.millis+task.millis <= capacity.millis && usage.memory+task.memory <= capacity.memory {
			return true
		}
	}
	return false
}

// noteOrdinaryStart checks how long no task of an ordinary job has started. The caller
// holds the lock.
func (c *checker) noteOrdinaryStart(now time.Time) {
	if stalled := now.Sub(c.ordinaryStartAt); !c.ordinaryStartAt.IsZero() && stalled > maxStall {
		c.addViolation(now, "stalled: no task of an ordinary job started for %s", stalled)
	}
	c.ordinaryStartAt = now
}

// heavyShape draws a heavy job.
func heavyShape(random *rand.Rand, now time.Time) *platformemulator.JobShape {
	s := &platformemulator.JobShape{Steps: 1, Tasks: 1, Millicores: heavyMillicores, MemoryMB: heavyMemory, Estimate: declaredDuration}
	switch random.IntN(6) {
	case 0: // occurrences that have been due for hours
		s.Occurrences, s.Interval = 5000+random.IntN(100_000), time.Second
		s.FirstAt = now.Add(-time.Duration(s.Occurrences) * time.Second)
	case 1: // all at once, of two steps
		s.Occurrences, s.FirstAt, s.Steps, s.Chain = 5000+random.IntN(50_000), now, 2, true
	case 2:
		s.Steps = 500 + random.IntN(1500)
	case 3:
		s.Steps, s.Chain = 500+random.IntN(1500), true
	case 4:
		s.Tasks = 500 + random.IntN(500)
	case 5: // a few hundred a second, of small tasks that last
		s.Occurrences, s.Interval, s.FirstAt, s.LongRunning = 2000, 3*time.Millisecond, now, true
		s.Millicores, s.MemoryMB = lastingMillicores, lastingMemory
	}
	return s
}

// lasts reports whether a task belongs to a job whose tasks run until it is canceled.
func (c *checker) lasts(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lasting[jobOf(task)]
}

// submitHeavyJobs submits heavy jobs while faults are injected, if they are enabled.
func (s *soak) submitHeavyJobs(ctx context.Context) {
	if !s.config.Heavy {
		return
	}
	random := rand.New(rand.NewPCG(s.config.Seed, heavyStream))
	end := time.Now().Add(s.config.FaultDuration)
	s.group.Go(func() { s.checker.watchRoom(ctx, end) })
	for waiter.Sleep(ctx, firstHeavyDelay); time.Now().Before(end); waiter.Sleep(ctx, randomBetween(random, 0, 2*meanHeavyInterval)) {
		shape := heavyShape(random, time.Now())
		c := s.newClient(random, heavyStream)
		s.logFault("heavy: %s has %d steps of %d tasks, %d occurrences", c.job, shape.Steps, shape.Tasks, shape.Occurrences)
		s.group.Go(func() { c.runHeavy(ctx, shape, end) })
	}
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	s.checker.noteOrdinaryStart(time.Now())
	s.checker.ordinaryStartAt = time.Time{}
}

// runHeavy submits a heavy job, cancels it after a time, and waits until its state is
// final.
func (c *client) runHeavy(ctx context.Context, shape *platformemulator.JobShape, end time.Time) {
	checker := c.soak.checker
	checker.mu.Lock()
	checker.jobSizes[c.job] = size{shape.Millicores, shape.MemoryMB}
	checker.heavy[c.job], checker.lasting[c.job] = true, shape.LongRunning
	checker.mu.Unlock()
	body, err := shape.Body()
	if err != nil {
		checker.fail("heavy job: %v", err)
		return
	}
	// One that got no certain answer may have been accepted, or may be later.
	c.submit(ctx, body)
	waiter.Sleep(ctx, time.Until(end))
	checker.recordCancelRequest(c.job)
	for ctx.Err() == nil {
		c.send(ctx, http.MethodDelete, "cancel", "")
		status, response := c.send(ctx, http.MethodGet, "state", "")
		if state := platformemulator.DecodeState(response); status == http.StatusOK && state != "" {
			checker.recordState(c.job, state, nil, time.Now())
			if state == platformemulator.StateCompleted || state == platformemulator.StateCanceled {
				return
			}
		}
		waiter.Sleep(ctx, pollInterval)
	}
}
