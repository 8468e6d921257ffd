package leader_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// restartWorker starts the next worker process after a crash. One that keeps its name
// accepts calls shortly before its first heartbeat.
func (c *cluster) restartWorker(v *clusterVM, now time.Time) {
	v.mu.Lock()
	keeps, name := v.keepsName, v.lastName
	v.mu.Unlock()
	if !keeps {
		c.startWorker(v)
		return
	}
	v.startWorker(name, now)
	v.mu.Lock()
	v.worker.lastHeartbeat = now.Add(simulatedTick - simulatedHeartbeat)
	v.mu.Unlock()
}

// leave ends the worker of a VM as planned. Its address refuses connections from then
// on.
func (c *cluster) leave(v *clusterVM) {
	c.deregister(v)
	v.stopWorker()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refuses, v.restartAt = true, time.Now().Add(time.Hour)
}

// checkListedEnds fails the test for each start of a task of which a worker has listed
// an end done several times.
func (c *cluster) checkListedEnds() {
	for _, v := range c.vms {
		v.onStart = append(v.onStart, func(h *simulatedHost, _ *simulatedWorker, r *simulatedRun) {
			h.checker.mu.Lock()
			defer h.checker.mu.Unlock()
			for _, e := range h.checker.done[r.task] {
				if e.listed >= 3 {
					h.checker.fail("started again after an end that was listed %d times: %s run %d on %s after run %d on %s", e.listed, r.task, r.run, r.vm, e.Run, e.vm)
				}
			}
		})
	}
}

// playRestartsUnderSameName lets two of six workers crash every four seconds and come
// back under their name. One that has just come back leaves now and then.
func playRestartsUnderSameName(t *testing.T, seed uint64) {
	c := newCluster(2, 6, seed)
	for _, v := range c.vms {
		v.keepsName = true
	}
	c.checkListedEnds()
	jobs := 0
	submit := func(d time.Duration) {
		for range d / (200 * time.Millisecond) {
			jobs++
			c.submit(fmt.Sprintf("%016x", jobs), 1+c.random.IntN(2))
			c.run(200 * time.Millisecond)
		}
	}
	submit(5 * time.Second)
	for round := range 8 {
		for i := range 2 {
			v := c.vms[(2*round+i)%len(c.vms)]
			v.restartDelay = 40*time.Millisecond + time.Duration(c.random.Int64N(int64(2*time.Second)))
			v.crash(v.process(), "by itself")
		}
		submit(2 * time.Second)
		leaving := c.vms[2*round%len(c.vms)]
		if round%3 == 2 {
			leaving.drain()
		}
		submit(2 * time.Second)
		if round%3 == 2 {
			c.leave(leaving)
			c.startWorker(leaving)
		}
	}
	c.run(12 * time.Second)
	c.stop()
	c.checker.report(t)
}

// No task may be started again after it is done, however often workers crash and come
// back under their name.
func TestRestartsUnderSameNameRepeatNoTask(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRestartsUnderSameName(t, seed) })
		})
	}
}

// playWithoutLeader runs tasks until they are done while no entry leads, and calls end,
// which ends the worker, before the leader is back.
func playWithoutLeader(t *testing.T, end func(c *cluster, v *clusterVM)) {
	c := newCluster(1, 2, 1)
	c.checkListedEnds()
	c.run(3 * time.Second)
	for n := range 8 {
		c.submit(fmt.Sprintf("%016x", n), 1)
	}
	c.run(300 * time.Millisecond)
	c.killEntry(c.entries[0])
	c.run(3500 * time.Millisecond)
	end(c, c.vms[0])
	c.startEntry(c.entries[0])
	c.run(25 * time.Second)
	c.stop()
	if done := c.checker.report(t); done != 8 {
		t.Errorf("%d tasks are done, want 8", done)
	}
}

// The agent must not lose the ends that its worker has listed when the worker crashes
// and comes back before a leader has them.
func TestListedEndsOutlastWorkerProcessWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		playWithoutLeader(t, func(c *cluster, v *clusterVM) {
			v.keepsName, v.restartDelay = true, 500*time.Millisecond
			v.crash(v.process(), "by itself")
			c.run(time.Second)
		})
	})
}

// Ends that a worker has listed before it left as planned reach the next leader.
func TestListedEndsOutlastLeavingWorkerWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		playWithoutLeader(t, func(c *cluster, v *clusterVM) {
			v.drain()
			c.run(200 * time.Millisecond)
			c.leave(v)
			c.run(200 * time.Millisecond)
		})
	})
}

// The agent of a worker that has left is stopped soon after. What the worker had listed
// must reach the next leader nevertheless.
func TestListedEndsOutlastLeavingWorkerAndAgentWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		playWithoutLeader(t, func(c *cluster, v *clusterVM) {
			v.drain()
			c.run(200 * time.Millisecond)
			c.leave(v)
			c.run(time.Second)
			c.killAgent(v)
		})
	})
}
