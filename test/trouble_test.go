package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"knapweedspur/internal/standin/logemulator"
)

// trouble is a failure that begins and, some time later, ends.
type trouble struct {
	name       string
	begin, end func(s *stage)
}

const troubleSpan = hold + 5*time.Second

var troubles = []trouble{
	{"entry dies", func(s *stage) { s.killEntry(0) }, func(s *stage) { s.startEntry(0) }},
	{"agent dies", func(s *stage) { s.killAgent(0) }, func(s *stage) { s.startAgent(0) }},
	{"VM dies", func(s *stage) { s.killVM(1) }, func(s *stage) {
		s.vms[1].worker.Boot(time.Now())
		s.startAgent(1)
	}},
	{"agent freezes", func(s *stage) { s.freeze("agent-2", true) }, func(s *stage) { s.freeze("agent-2", false) }},
	{"entry freezes", func(s *stage) { s.freeze("entry-1", true) }, func(s *stage) { s.freeze("entry-1", false) }},
	{"agent is cut off", func(s *stage) { s.cutAll(3, true) }, func(s *stage) { s.cutAll(3, false) }},
	{"log is down", func(s *stage) { s.log.SetFaults(logemulator.Faults{Down: true}) }, func(s *stage) { s.log.SetFaults(logemulator.Faults{}) }},
	{"log loses answers", func(s *stage) { s.log.SetFaults(logemulator.Faults{LoseEvery: 2}) }, func(s *stage) { s.log.SetFaults(logemulator.Faults{}) }},
	{"log is slow", func(s *stage) { s.log.SetFaults(logemulator.Faults{Delay: 4 * time.Second}) }, func(s *stage) { s.log.SetFaults(logemulator.Faults{}) }},
	{"operators drain", func(s *stage) { s.drain(http.MethodPost) }, func(s *stage) { s.drain(http.MethodDelete) }},
}

func (s *stage) cutAll(agent int, on bool) {
	for i := range 3 {
		a, b := fmt.Sprintf("agent-%d", agent), fmt.Sprintf("entry-%d", i)
		s.net.cutOff(a, b, on)
		s.net.cutOff(b, a, on)
	}
}

// drain asks each entry in turn until one takes it, or gives up.
func (s *stage) drain(method string) {
	for _, i := range s.alive() {
		if code, _ := s.call(i, method, "/v1/vms/vm-4/drain?who=test", nil, nil); code == http.StatusNoContent {
			return
		}
	}
}

// TestTroublesTogetherAndTwice has each pair of troubles overlap, twice, under
// load and with tasks running. What must always hold is checked at the end.
func TestOverlappingFaultPairsTwice(t *testing.T) {
	for i, a := range troubles {
		for _, b := range troubles[i:] {
			t.Run(a.name+" and "+b.name, func(t *testing.T) {
				t.Parallel()
				play(t, 3, five, func(s *stage) { s.suffer(a, b) })
			})
		}
	}
}

func (s *stage) suffer(a, b trouble) {
	s.publish(declarations)
	s.submit("season", "season-1")
	s.submit("proofs", "proofs-1")
	ctx, stop := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	watching.Go(func() { s.watch(ctx) })
	s.load("score", "/thumbnails/score", 20, time.Minute, 0.5)
	for range 2 {
		time.Sleep(5 * time.Second)
		a.begin(s)
		time.Sleep(3 * time.Second)
		if b.name != a.name {
			b.begin(s)
		}
		time.Sleep(troubleSpan)
		a.end(s)
		time.Sleep(time.Second)
		if b.name != a.name {
			b.end(s)
		}
		time.Sleep(5 * time.Second)
	}
	s.log.SetFaults(logemulator.Faults{})
	s.submit("quick", "quick-1")
	for _, run := range []string{"season-1", "proofs-1", "quick-1"} {
		s.ended(4*time.Minute, run)
	}
	stop()
	watching.Wait()
}
