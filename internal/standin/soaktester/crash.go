package soaktester

import (
	"math/rand/v2"
	"syscall"
	"time"

	"knapweedspur/platform/platformemulator"
)

const (
	// crashDelay is how long after its start a task crashes its worker.
	crashDelay = 10 * time.Millisecond
	// jobsPerCrashingOne is how many jobs there are for each that has a task that
	// crashes its workers.
	jobsPerCrashingOne = 12
	// crashesUntilLimit is under how many workers that crashed a task may be started as
	// any other, maxStartsAfterCrashes how often it may be started then.
	crashesUntilLimit, maxStartsAfterCrashes = 3, 2
	// minLossesUntilGivenUp is how many runs a task has lost in crashes before its job
	// may fail.
	minLossesUntilGivenUp = 2
	// crashStream is the stream of the random source for these faults.
	crashStream = 6
)

// crashHistory is what the workers observe of a task that crashes those that start it.
type crashHistory struct {
	// crashes counts the workers that it has crashed, losses its runs that were lost in
	// crashes of any cause, late its starts after crashesUntilLimit crashes.
	crashes, losses, late int
}

// crashesWorker reports whether a task crashes its worker, and after what time.
func (c *checker) crashesWorker(task string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return crashDelay, c.crashing[task] != nil
}

// addCrashing notes that a task crashes its workers.
func (c *checker) addCrashing(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashing[task] = &crashHistory{}
	c.crashingJobs[jobOf(task)] = c.crashing[task]
}

// checkCrashBound checks a start against the crashes of the task's workers.
func (c *checker) checkCrashBound(worker, task string, run int, now time.Time) {
	h := c.crashing[task]
	if h == nil || h.crashes < crashesUntilLimit {
		return
	}
	h.late++
	if h.late > maxStartsAfterCrashes {
		c.addViolation(now, "started %d times after %d crashes: %s run %d on %s", h.late, crashesUntilLimit, task, run, worker)
	}
}

// noteLoss notes that a run was lost with its worker.
func (c *checker) noteLoss(task string, now time.Time) {
	h := c.crashing[task]
	if h == nil {
		return
	}
	h.losses++
	if now.Sub(c.lastStartedAt[task]) >= crashDelay {
		h.crashes++
	}
}

// checkFailure checks that a job may be reported as failed.
func (c *checker) checkFailure(job string, now time.Time) {
	switch h := c.crashingJobs[job]; {
	case h == nil:
		c.addViolation(now, "failed without cause: %s", job)
	case h.losses < minLossesUntilGivenUp:
		c.addViolation(now, "given up too early: %s after %d crashes", job, h.losses)
	}
}

// injectCrashes lets workers crash, beside other faults that look like crashes or
// lose the evidence of them, while faults are injected, and closes done. It draws from
// a source of its own, so that the other faults of a seed stay the same.
func (s *soak) injectCrashes(done chan<- struct{}) {
	defer close(done)
	random := rand.New(rand.NewPCG(s.config.Seed, crashStream))
	for start := time.Now(); s.config.Crashes && time.Since(start) < s.config.FaultDuration; {
		time.Sleep(randomBetween(random, 0, 2*meanFaultInterval))
		s.injectCrash(random)
	}
}

func (s *soak) injectCrash(random *rand.Rand) {
	s.faultCount.Add(1)
	kind, duration, fallback := random.IntN(7), randomBetween(random, 300*time.Millisecond, 4*time.Second), random.IntN(len(s.entries))
	vms := random.Perm(len(s.workers))
	worker, agent := s.workers[vms[0]], s.agents[vms[0]]
	switch kind {
	case 0, 1:
		entry := s.leader(s.entries[fallback])
		s.logFault("crashes: kill %s", entry.name)
		entry.signal(syscall.SIGKILL)
	case 2:
		s.logFault("crashes: kill %s", agent.name)
		agent.signal(syscall.SIGKILL)
	case 3:
		s.crashWorkers(worker)
	case 4:
		for _, vm := range vms[:len(vms)/2] {
			s.crashWorkers(s.workers[vm])
		}
	case 5:
		s.logFault("crashes: %s is cut off for %s", worker.Name, duration)
		worker.SetUnresponsive(true)
		time.AfterFunc(duration, func() { worker.SetUnresponsive(false) })
	case 6:
		s.logFault("crashes: %s leaves", worker.Name)
		worker.Leave(false, duration)
	}
}

func (s *soak) crashWorkers(worker *platformemulator.Worker) {
	s.logFault("crashes: %s crashes by itself", worker.Name)
	worker.Crash()
}
