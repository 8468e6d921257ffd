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

// fault is a failure that is injected and later ended.
type fault struct {
	name       string
	begin, end func(c *cluster)
}

const faultDuration = holdTime + 5*time.Second

var faults = []fault{
	{"entry dies", func(c *cluster) { c.killEntry(0) }, func(c *cluster) { c.startEntry(0) }},
	{"agent dies", func(c *cluster) { c.killAgent(0) }, func(c *cluster) { c.startAgent(0) }},
	{"VM dies", func(c *cluster) { c.killVM(1) }, func(c *cluster) {
		c.vms[1].worker.Boot(time.Now())
		c.startAgent(1)
	}},
	{"agent freezes", func(c *cluster) { c.setFrozen("agent-2", true) }, func(c *cluster) { c.setFrozen("agent-2", false) }},
	{"entry freezes", func(c *cluster) { c.setFrozen("entry-1", true) }, func(c *cluster) { c.setFrozen("entry-1", false) }},
	{"agent is cut off", func(c *cluster) { c.partitionAgent(3, true) }, func(c *cluster) { c.partitionAgent(3, false) }},
	{"log is down", func(c *cluster) { c.log.SetFaults(logemulator.Faults{Down: true}) }, func(c *cluster) { c.log.SetFaults(logemulator.Faults{}) }},
	{"log loses answers", func(c *cluster) { c.log.SetFaults(logemulator.Faults{LoseEvery: 2}) }, func(c *cluster) { c.log.SetFaults(logemulator.Faults{}) }},
	{"log is slow", func(c *cluster) { c.log.SetFaults(logemulator.Faults{Delay: 4 * time.Second}) }, func(c *cluster) { c.log.SetFaults(logemulator.Faults{}) }},
	{"operators drain", func(c *cluster) { c.callDrain(http.MethodPost) }, func(c *cluster) { c.callDrain(http.MethodDelete) }},
}

// partitionAgent blocks or unblocks traffic between an agent and all entries.
func (c *cluster) partitionAgent(agent int, partitioned bool) {
	for i := range 3 {
		agentHost, entryHost := fmt.Sprintf("agent-%d", agent), fmt.Sprintf("entry-%d", i)
		c.net.setBlocked(agentHost, entryHost, partitioned)
		c.net.setBlocked(entryHost, agentHost, partitioned)
	}
}

// callDrain drains VM 4, or ends its draining for DELETE, at the first entry that
// accepts the call. If none does, it does nothing.
func (c *cluster) callDrain(method string) {
	for _, i := range c.runningEntries() {
		if code, _ := c.call(i, method, "/v1/vms/vm-4/drain?who=test", nil, nil); code == http.StatusNoContent {
			return
		}
	}
}

// TestOverlappingFaultPairsTwice guards against faults that are handled one at a
// time but not together, or not a second time: each pair overlaps twice, under
// load and with tasks running, and the invariants are checked at the end.
func TestOverlappingFaultPairsTwice(t *testing.T) {
	for i, a := range faults {
		for _, b := range faults[i:] {
			t.Run(a.name+" and "+b.name, func(t *testing.T) {
				t.Parallel()
				runScenario(t, 3, fiveServices, func(c *cluster) { c.runFaultPair(a, b) })
			})
		}
	}
}

// runFaultPair injects two overlapping faults twice, and checks that offsets do
// not decrease and all runs end.
func (c *cluster) runFaultPair(a, b fault) {
	c.publish(declarations)
	c.submit("season", "season-1")
	c.submit("proofs", "proofs-1")
	ctx, stop := context.WithCancel(context.Background())
	var watchers sync.WaitGroup
	watchers.Go(func() { c.watchOffsets(ctx) })
	c.startLoad("score", "/thumbnails/score", 20, time.Minute, 0.5)
	for range 2 {
		time.Sleep(5 * time.Second)
		a.begin(c)
		time.Sleep(3 * time.Second)
		if b.name != a.name {
			b.begin(c)
		}
		time.Sleep(faultDuration)
		a.end(c)
		time.Sleep(time.Second)
		if b.name != a.name {
			b.end(c)
		}
		time.Sleep(5 * time.Second)
	}
	c.log.SetFaults(logemulator.Faults{})
	c.submit("quick", "quick-1")
	for _, run := range []string{"season-1", "proofs-1", "quick-1"} {
		c.waitEnded(4*time.Minute, run)
	}
	stop()
	watchers.Wait()
}
