package main

import (
	"strings"
	"time"
)

const (
	// The largest time of `srv_grey`.
	muteTime = 7 * time.Second
	longTime = 52 * time.Second
	// beforeEnd is how long before the end of the long task the worker becomes mute.
	beforeEnd = 2 * time.Second
	// traffic is how long short submissions come after that, one each interval.
	traffic, interval = 26 * time.Second, 200 * time.Millisecond
	tinyTime          = 200 * time.Millisecond
)

// playEnds lets one worker of seven be mute for a while as a long task ends there.
func playEnds(c *cluster, trouble bool) (bool, error) {
	id := jobID(1, 1)
	long := taskName(id, 0)
	entries, err := c.startDeployment(7, 2, func(task string) time.Duration {
		if task == long {
			return longTime
		}
		return tinyTime
	})
	if err != nil {
		return false, err
	}
	began := time.Now()
	if !c.submit(entries, 0, id, jobBody(step{Count: 1, CPU: 1000, MemMb: 100, Estimate: int(longTime.Milliseconds()), Requires: specialLabel})) {
		return false, errNoService
	}
	host := c.hostOf(long)
	if host == nil {
		return false, errNoService
	}
	time.Sleep(longTime - beforeEnd - time.Since(began))
	if trouble {
		c.record.say("worker %s answers no calls from now on; it runs on", host.id())
		host.setMute(true)
	}
	time.Sleep(muteTime)
	host.setMute(false)
	c.record.say("worker %s answers", host.id())
	sent := c.sendShort(entries)
	c.record.say("%d short submissions were accepted; the worker has %d ends that were not taken note of", len(sent), host.unseenEnds())
	time.Sleep(finish)
	stuck := c.findStuck(sent)
	for _, id := range stuck[:min(len(stuck), 5)] {
		c.record.say("submission %s is shown as %q; all tasks of step 0 have ended done, and for %s none of step 1 has run", id, c.state(entries, id), idle)
	}
	c.record.say("%d of %d submissions have had nothing running for %s, %s after the end of the traffic; the worker has %d ends that were not taken note of", len(stuck), len(sent), idle, finish, host.unseenEnds())
	return len(stuck) > 0, nil
}

// hostOf waits until a task runs and returns its worker, nil if it does not start in time.
func (c *cluster) hostOf(task string) *worker {
	for since := time.Now(); time.Since(since) < clientTimeout; time.Sleep(tick) {
		for _, w := range c.workers {
			if w.runs(task) {
				return w
			}
		}
	}
	return nil
}

// shortTasks is the number of tasks of each step of a short submission.
const shortTasks = 6

// sendShort sends submissions of two steps, and returns those that were accepted.
func (c *cluster) sendShort(entries []*process) []string {
	body := jobBody(step{Count: shortTasks, CPU: 250, MemMb: 100, Estimate: 200, Requires: specialLabel}, step{Count: shortTasks, CPU: 250, MemMb: 100, Estimate: 200, Requires: specialLabel, DependsOn: []int{0}})
	accepted := make(chan string, 10_000)
	number := 0
	for since := time.Now(); time.Since(since) < traffic; time.Sleep(interval) {
		number++
		go func(number int) {
			if id := jobID(2, number); c.submit(entries, number, id, body) {
				accepted <- id
			}
		}(number)
	}
	time.Sleep(clientTimeout)
	var ids []string
	for {
		select {
		case id := <-accepted:
			ids = append(ids, id)
		default:
			return ids
		}
	}
}

// findStuck returns the submissions whose first step is done while, all the time, no task of
// the second runs or has run.
func (c *cluster) findStuck(ids []string) []string {
	candidates := ids
	for since := time.Now(); time.Since(since) < idle; time.Sleep(10 * time.Millisecond) {
		var still []string
		for _, id := range candidates {
			if c.firstStepDone(id) && !c.secondStepBegun(id) {
				still = append(still, id)
			}
		}
		candidates = still
	}
	return candidates
}

func (c *cluster) firstStepDone(id string) bool {
	for i := range shortTasks {
		if !c.record.isDone(taskName(id, i)) {
			return false
		}
	}
	return true
}

func (c *cluster) secondStepBegun(id string) bool {
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	for task := range c.record.starts {
		if strings.HasPrefix(task, id+".0.1.") {
			return true
		}
	}
	return false
}
