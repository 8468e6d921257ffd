package soaktester

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/platform"
	"knapweedspur/platform/platformemulator"
)

const (
	// minPairDistance and maxPairDistance bound the time between the two faults of
	// a pair.
	minPairDistance, maxPairDistance = 200 * time.Millisecond, 1500 * time.Millisecond
	// maxSessionDistance bounds the time between a new session, if the first fault
	// led to one, and the second fault.
	maxSessionDistance = 150 * time.Millisecond
	// sessionPollInterval is how often to check for a new session.
	sessionPollInterval = 10 * time.Millisecond
	// quietTime is how long submissions stay paused after the second fault.
	quietTime = 700 * time.Millisecond
	// maxPairsPerSeries is how many pairs at most hit the same VM in a row.
	maxPairsPerSeries = 3
	// meanPairInterval is the mean time from a pair to the next one.
	meanPairInterval = time.Second
	// maxClockDrift is the largest fraction by which the clock of a worker is slow.
	maxClockDrift = 0.02
	// Streams of the random source that are not used elsewhere. The clock of each
	// worker has a stream of its own.
	pairStream, firstDriftStream = 5, 100
)

// logFault writes a line about a fault, with the time as in the logs of processes.
func (s *soak) logFault(format string, args ...any) {
	fmt.Fprintf(s.faultLog, "%s %s\n", time.Now().Format("2006-01-02T15:04:05.000Z0700"), fmt.Sprintf(format, args...))
}

// randomBetween returns a random duration between two bounds.
func randomBetween(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// injectPairs injects pairs of faults while faults are injected, and closes done.
// Pairs hit the same VMs, up to half of them, several times in a row. They draw from a
// source of their own, so that the other faults of a seed stay the same. Every other
// pair comes while no jobs are submitted: a start extends the lease of its VM, so some
// faults of leases show only on VMs that get none.
func (s *soak) injectPairs(done chan<- struct{}) {
	defer close(done)
	random := rand.New(rand.NewPCG(s.config.Seed, pairStream))
	time.Sleep(randomBetween(random, 0, 2*meanPairInterval))
	for start := time.Now(); s.config.Pairs && time.Since(start) < s.config.FaultDuration; {
		vms := random.Perm(len(s.workers))[:1+random.IntN(max(len(s.workers)/2, 1))]
		for range 1 + random.IntN(maxPairsPerSeries) {
			s.submitPaused.Store(random.IntN(2) == 0)
			fence := s.workers[vms[0]].Fence()
			s.injectProcessFault(random, vms)
			s.waitForSecondFault(random, s.workers[vms[0]], fence)
			s.injectWorkerFault(random, vms)
			time.Sleep(quietTime)
			s.submitPaused.Store(false)
			time.Sleep(randomBetween(random, 0, 2*meanPairInterval))
		}
	}
}

// waitForSecondFault waits a random time. Every other time it waits until the worker
// has accepted a newer session than that of fence, and for a shorter time after that.
func (s *soak) waitForSecondFault(random *rand.Rand, worker *platformemulator.Worker, fence int64) {
	distance, sessionDistance, awaitSession := randomBetween(random, minPairDistance, maxPairDistance), randomBetween(random, 0, maxSessionDistance), random.IntN(2) == 0
	if !awaitSession {
		time.Sleep(distance)
		return
	}
	for start := time.Now(); worker.Fence() == fence && time.Since(start) < maxPairDistance-maxSessionDistance; {
		time.Sleep(sessionPollInterval)
	}
	time.Sleep(sessionDistance)
}

// injectProcessFault injects the first fault of a pair: the agents of the VMs are
// killed or paused, or the leading entry is killed.
func (s *soak) injectProcessFault(random *rand.Rand, vms []int) {
	s.faultCount.Add(1)
	kind, pause, fallback := random.IntN(4), randomBetween(random, 200*time.Millisecond, 2*time.Second), random.IntN(len(s.entries))
	if kind == 0 {
		entry := s.leader(s.entries[fallback])
		s.logFault("pair: kill %s", entry.name)
		entry.signal(syscall.SIGKILL)
		return
	}
	for _, vm := range vms {
		agent := s.agents[vm]
		if kind > 1 {
			s.logFault("pair: kill %s", agent.name)
			agent.signal(syscall.SIGKILL)
			continue
		}
		s.logFault("pair: pause %s for %s", agent.name, pause)
		agent.signal(syscall.SIGSTOP)
		time.AfterFunc(pause, func() { agent.signal(syscall.SIGCONT) })
	}
}

// injectWorkerFault injects the second fault of a pair, at the workers of the VMs.
func (s *soak) injectWorkerFault(random *rand.Rand, vms []int) {
	s.faultCount.Add(1)
	kind, duration := random.IntN(7), randomBetween(random, time.Second, 4*time.Second)
	scheduleEnd := func(f func()) { time.AfterFunc(duration, f) }
	for _, vm := range vms {
		worker, delays := s.workers[vm], random.Uint64()
		switch kind {
		case 0, 1, 2:
			s.logFault("pair: %s is mute for %s", worker.Name, duration)
			worker.SetMute(true)
			scheduleEnd(func() { worker.SetMute(false) })
		case 3:
			s.logFault("pair: calls to %s are delayed for %s", worker.Name, duration)
			worker.SetDelayedCalls(rand.New(rand.NewPCG(delays, pairStream)))
			scheduleEnd(func() { worker.SetDelayedCalls(nil) })
		case 4:
			s.logFault("pair: %s restarts under its id", worker.Name)
			worker.RestartInstance(time.Now())
		case 5, 6:
			s.logFault("pair: %s leaves, answer lost %t, lingers %s", worker.Name, kind == 5, duration)
			worker.Leave(kind == 5, duration)
		}
	}
}

// leader returns the entry that leads according to the log, or fallback if the log
// is down or names none.
func (s *soak) leader(fallback *process) *process {
	state := jobreducer.New()
	for last, more := "", true; more; {
		page, err := s.logService.Stream(platform.WorkStream).Newest(context.Background(), last)
		if err != nil {
			return fallback
		}
		for _, r := range page.Records {
			last = r.Key
			if err := state.Apply(r); err != nil {
				s.checker.fail("unreadable record: %v", err)
			}
		}
		more = page.More
	}
	for _, entry := range s.entries {
		if state.Term != nil && state.Term.Leader == entry.name {
			return entry
		}
	}
	return fallback
}
