package main

import (
	"fmt"
	"time"
)

const (
	// The largest time of `srv_grey`.
	busyTime = 7 * time.Second
	// visibleTime is visible_ms and the 2 s of the rule, and a margin.
	visibleTime = 5500 * time.Millisecond
	askInterval = 200 * time.Millisecond
	waitingJobs = 8
)

// playPending lets one worker of seven reject all starts for a while, and asks how many
// submissions wait for it.
func playPending(c *cluster, trouble bool) (bool, error) {
	entries, err := c.startDeployment(7, 1, shortTask)
	if err != nil {
		return false, err
	}
	if trouble {
		c.record.say("worker %s is unhealthy: it answers each start with 503 and does nothing", c.workers[0].id())
		c.workers[0].setBusy(true)
	}
	began := time.Now()
	var ids []string
	for i := range waitingJobs {
		id := jobID(2, i)
		if !c.submit(entries, i, id, jobBody(step{Count: 1, CPU: 500, MemMb: 100, Estimate: 300, Requires: specialLabel})) {
			return false, errNoService
		}
		ids = append(ids, id)
	}
	time.Sleep(visibleTime)
	wrong := false
	for time.Since(began) < busyTime-askInterval {
		wrong = c.askPending(entries, ids) || wrong
		time.Sleep(askInterval)
	}
	c.workers[0].setBusy(false)
	for _, id := range ids {
		if !c.waitCompleted(entries, id, 10*time.Second) {
			return false, fmt.Errorf("submission %s was not completed after the trouble", id)
		}
	}
	return wrong, nil
}

// askPending asks all entries how many submissions wait, and reports whether one names under
// half of those that haven't begun.
func (c *cluster) askPending(entries []*process, ids []string) bool {
	wrong := false
	for _, p := range entries {
		waiting := 0
		for _, id := range ids {
			if starts, _, _ := c.record.counts(taskName(id, 0)); starts == 0 {
				waiting++
			}
		}
		pending, err := c.pending(p)
		if err == nil && 2*pending < waiting {
			c.record.say("%s says that %d submissions wait; %d were accepted over %s before and haven't begun", p.name, pending, waiting, visibleTime)
			wrong = true
		}
	}
	return wrong
}
