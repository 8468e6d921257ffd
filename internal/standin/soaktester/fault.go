package soaktester

import (
	"syscall"
	"time"

	"knapweedspur/internal/standin/faultinjector"
	"knapweedspur/internal/standin/keyedlogemulator"
	"knapweedspur/platform"
)

// faultEvery is the mean time between faults; they last longer, so that they
// overlap.
const faultEvery = 900 * time.Millisecond

// disturb injects faults until the length of the plan is over.
func (s *soak) disturb() {
	for began := time.Now(); time.Since(began) < s.plan.FaultDuration; {
		s.fault()
		time.Sleep(time.Duration(s.random.Int64N(int64(2 * faultEvery))))
	}
}

// fault injects one fault and has it end after a while.
func (s *soak) fault() {
	s.faults++
	all := s.processes()
	p := all[s.random.IntN(len(all))]
	last := time.Duration(300+s.random.IntN(4000)) * time.Millisecond
	after := func(f func()) { time.AfterFunc(last, f) }
	switch s.random.IntN(12) {
	case 0, 1:
		p.signal(syscall.SIGKILL)
	case 2:
		p.signal(syscall.SIGTERM)
	case 3:
		p.signal(syscall.SIGSTOP)
		after(func() { p.signal(syscall.SIGCONT) })
	case 4, 5:
		p.proxy.SetMode(faultinjector.Mode(1 + s.random.IntN(int(faultinjector.ModeCount)-1)))
		after(func() { p.proxy.SetMode(faultinjector.PassThrough) })
	case 6:
		faults := []keyedlogemulator.Faults{{Down: true}, {LoseResponses: true}, {Delay: 200 * time.Millisecond}}
		s.store.SetFaults(faults[s.random.IntN(len(faults))])
		after(func() { s.store.SetFaults(keyedlogemulator.Faults{}) })
	case 7:
		s.store.Stream(platform.WorkStream).Compact()
	case 8:
		s.workers[s.random.IntN(len(s.workers))].Begin(time.Now())
	case 9, 10:
		w := s.workers[s.random.IntN(len(s.workers))]
		w.SetLate(true)
		after(func() { w.SetLate(false) })
	case 11:
		w := s.workers[s.random.IntN(len(s.workers))]
		w.SetMute(true)
		after(func() { w.SetMute(false) })
	}
}

// heal ends all faults.
func (s *soak) heal() {
	s.store.SetFaults(keyedlogemulator.Faults{})
	for _, p := range s.processes() {
		p.signal(syscall.SIGCONT)
		p.proxy.SetMode(faultinjector.PassThrough)
	}
	for _, w := range s.workers {
		w.SetMute(false)
		w.SetLate(false)
	}
}
