package main

import (
	"fmt"
	"time"
)

const (
	// The largest shape of `season-rebuild` in the site file: 5 steps of up to 32 tasks, 6
	// times, one each 4.5 s.
	timesCount, timesInterval = 6, 4500 * time.Millisecond
	boundSteps, boundTasks    = 4, 32
	// freeStep is the number of the step that any worker can run.
	freeStep, freeTasks = boundSteps, 4
	tinyTaskTime        = 50 * time.Millisecond
	// finish is finish_s, idle the time for which a submission has nothing running.
	finish, idle = 14 * time.Second, 3 * time.Second
)

// playTimes loses the only worker of a kind for good. Of a submission with times four steps
// need that kind; the fifth, which depends on none of them, does not.
func playTimes(c *cluster, trouble bool) (bool, error) {
	entries, err := c.startDeployment(11, 1, func(string) time.Duration { return tinyTaskTime })
	if err != nil {
		return false, err
	}
	if trouble {
		c.record.say("worker %s is lost for good", c.workers[0].id())
		c.workers[0].crash()
	}
	var steps []step
	for range boundSteps {
		steps = append(steps, step{Count: boundTasks, CPU: 200, MemMb: 10, Estimate: 50, Requires: specialLabel})
	}
	steps = append(steps, step{Count: freeTasks, CPU: 200, MemMb: 10, Estimate: 50})
	id, first := jobID(2, 1), time.Now().Add(time.Second)
	if !c.submit(entries, 0, prefix+id, timedBody(first, timesInterval, timesCount, steps...)) {
		return false, errNoService
	}
	time.Sleep(time.Until(first.Add((timesCount-1)*timesInterval)) + finish + idle)
	missing := 0
	for k := range timesCount {
		begun := 0
		for i := range freeTasks {
			if c.record.hasStarted(fmt.Sprintf("%s.%d.%d.%d", id, k, freeStep, i)) {
				begun++
			}
		}
		missing += freeTasks - begun
		due := first.Add(time.Duration(k) * timesInterval)
		c.record.say("occurrence %d was due %s ago: %d of %d tasks of step %d have started", k, time.Since(due).Round(100*time.Millisecond), begun, freeTasks, freeStep)
	}
	c.record.say("submission %s is shown as %q; %d tasks that any worker can run have not started, beside idle workers", id, c.state(entries, prefix+id), missing)
	return missing > 0, nil
}
