package main

import (
	"fmt"
	"time"
)

// downTime is within the largest time of `srv_crash`.
const downTime = 4500 * time.Millisecond

// playSpread lets one of four workers that a gang may use be down while the gang is submitted.
func playSpread(c *cluster, trouble bool) (bool, error) {
	const members = 4
	entries, err := c.startDeployment(11, members, func(string) time.Duration { return time.Second })
	if err != nil {
		return false, err
	}
	c.record.resetMost()
	if down := c.workers[0]; trouble {
		c.record.say("worker %s goes down for %s", down.id(), downTime)
		down.crash()
		time.AfterFunc(downTime, func() {
			if err := down.start(); err != nil {
				c.record.line("the worker does not come back: %v", err)
			}
		})
		time.Sleep(time.Second)
	}
	id := jobID(2, 1)
	if !c.submit(entries, 0, id, jobBody(step{Count: members, CPU: 1000, MemMb: 100, Estimate: 1000, Requires: specialLabel, Gang: true, AntiAffinity: 1})) {
		return false, errNoService
	}
	if !c.waitCompleted(entries, id, 20*time.Second) {
		return false, fmt.Errorf("submission %s was not completed", id)
	}
	c.record.say("at most %d tasks of the step ran on one worker at once; antiAffinity is 1", c.record.most)
	return c.record.most > 1, nil
}
