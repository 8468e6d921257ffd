package soaktester

import (
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"knapweedspur/internal/standin/faultinjector"
	"knapweedspur/internal/standin/keyedlogemulator"
	"knapweedspur/platform"
	"knapweedspur/platform/platformemulator"
)

// meanFaultInterval is the mean time between faults. Faults last longer than this
// on average, so that they overlap.
const meanFaultInterval = 900 * time.Millisecond

// injectFaults injects faults for the configured duration.
func (s *soak) injectFaults() {
	if !s.config.SingleFaults {
		return
	}
	for start := time.Now(); time.Since(start) < s.config.FaultDuration; {
		s.injectFault()
		time.Sleep(time.Duration(s.random.Int64N(int64(2 * meanFaultInterval))))
	}
}

// injectFault injects one random fault and schedules its end, if it lasts.
func (s *soak) injectFault() {
	s.faultCount.Add(1)
	processes := s.processes()
	target := processes[s.random.IntN(len(processes))]
	duration := time.Duration(300+s.random.IntN(4000)) * time.Millisecond
	scheduleEnd := func(f func()) { time.AfterFunc(duration, f) }
	kind := s.random.IntN(12)
	s.logFault("fault %d, process %s, for %s", kind, target.name, duration)
	switch kind {
	case 0, 1:
		target.signal(syscall.SIGKILL)
	case 2:
		target.signal(syscall.SIGTERM)
	case 3:
		target.signal(syscall.SIGSTOP)
		scheduleEnd(func() { target.signal(syscall.SIGCONT) })
	case 4, 5:
		target.proxy.SetMode(faultinjector.Mode(1 + s.random.IntN(int(faultinjector.ModeCount)-1)))
		scheduleEnd(func() { target.proxy.SetMode(faultinjector.PassThrough) })
	case 6:
		faults := []keyedlogemulator.Faults{{Down: true}, {LoseResponses: true}, {Delay: 200 * time.Millisecond}}
		s.logService.SetFaults(faults[s.random.IntN(len(faults))])
		scheduleEnd(func() { s.logService.SetFaults(keyedlogemulator.Faults{}) })
	case 7:
		s.logService.Stream(platform.WorkStream).Compact()
	case 8:
		s.workers[s.random.IntN(len(s.workers))].StartInstance(time.Now())
	case 9, 10:
		worker := s.workers[s.random.IntN(len(s.workers))]
		worker.SetDelayedStarts(true)
		scheduleEnd(func() { worker.SetDelayedStarts(false) })
	case 11:
		worker := s.workers[s.random.IntN(len(s.workers))]
		worker.SetUnresponsive(true)
		scheduleEnd(func() { worker.SetUnresponsive(false) })
	}
}

// meanHangupInterval is the mean time between changes of a settings file.
const meanHangupInterval = 2 * time.Second

// changeSettings rewrites the settings file of a random process and sends it a
// hangup, again and again while faults are injected. It draws from a source of its
// own, so that the other faults of a seed stay the same.
func (s *soak) changeSettings() {
	random := rand.New(rand.NewPCG(s.config.Seed, 4))
	for start := time.Now(); time.Since(start) < s.config.FaultDuration; {
		time.Sleep(time.Duration(random.Int64N(int64(2 * meanHangupInterval))))
		target := s.processes()[random.IntN(len(s.processes()))]
		if err := os.WriteFile(target.settingsPath, target.settings, 0o600); err != nil {
			s.checker.fail("rewrite the settings of %s: %v", target.name, err)
			return
		}
		target.signal(syscall.SIGHUP)
	}
}

// losePower kills all processes at the same moment and restarts all workers, which
// forget everything.
func (s *soak) losePower() {
	for _, p := range s.processes() {
		p.signal(syscall.SIGKILL)
	}
	for _, w := range s.workers {
		w.StartInstance(time.Now())
	}
	s.faultCount.Add(1)
	s.logFault("loss of power")
}

// clearFaults ends all faults.
func (s *soak) clearFaults() {
	s.logService.SetFaults(keyedlogemulator.Faults{})
	s.policy.SetFault(platformemulator.NoPolicyFault)
	for _, p := range s.processes() {
		p.signal(syscall.SIGCONT)
		p.proxy.SetMode(faultinjector.PassThrough)
	}
	for _, w := range s.workers {
		w.SetUnresponsive(false)
		w.SetDelayedStarts(false)
		w.SetMute(false)
		w.SetDelayedCalls(nil)
	}
	s.logFault("faults end")
}
