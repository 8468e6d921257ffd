package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/platform"
)

const (
	lastingTasks = 6
	// leaderAfter is how long after the machine of a worker that of the leading entry loses power.
	leaderAfter = 600 * time.Millisecond
	// lastingBound is how long after its last run a task that lasts may be away: the 6 s of the
	// rule and the 3 s for which it is looked at.
	lastingBound = 9 * time.Second
	watchTime    = 15 * time.Second
)

// playLasting lets the machine of a worker lose power for good, and soon after it that of the
// entry that leads.
func playLasting(c *cluster, trouble bool) (bool, error) {
	id := jobID(6, 1)
	entries, err := c.startDeployment(11, 0, func(task string) time.Duration {
		if strings.HasPrefix(task, id) {
			return time.Hour
		}
		return tinyTaskTime
	})
	if err != nil {
		return false, err
	}
	if !c.submit(entries, 0, prefix+id, jobBody(step{Count: lastingTasks, CPU: 2000, MemMb: 100, LongRunning: true})) {
		return false, errNoService
	}
	time.Sleep(settleTime)
	leader, err := c.leaderName()
	if err != nil {
		return false, err
	}
	number := slices.IndexFunc(c.workers, func(w *worker) bool { return w.taskCount() > 0 })
	if number < 0 {
		return false, errNoService
	}
	lost := c.workers[number]
	wanted, began := lastingTasks, time.Now()
	if trouble {
		c.record.say("the machine of worker %s loses power for good, with its agent and %d tasks that last", lost.id(), lost.taskCount())
		lost.crash()
		c.signal(fmt.Sprintf("agent-%d", number), syscall.SIGKILL)
		time.Sleep(leaderAfter)
		c.record.say("%s, which leads, does so %s later: it answers nothing any more", leader, leaderAfter)
		c.signal(leader, syscall.SIGSTOP)
	}
	for time.Since(began) < watchTime && (c.taskCount() < wanted || !trouble) {
		time.Sleep(tick)
	}
	if !trouble {
		c.record.say("%d of %d tasks are at work", c.taskCount(), wanted)
		return c.taskCount() < wanted, nil
	}
	away := time.Since(began)
	c.record.say("%d of %d tasks are at work again %s after the last run of those that were lost; the bound is %s", c.taskCount(), wanted, away.Round(time.Millisecond), lastingBound)
	return away > lastingBound, nil
}

// signal sends a signal to a process.
func (c *cluster) signal(name string, signal syscall.Signal) {
	for _, p := range c.processes {
		if p.name == name {
			_ = p.cmd.Process.Signal(signal) // it may have ended
		}
	}
}

// taskCount returns the number of tasks at work.
func (c *cluster) taskCount() int {
	count := 0
	for _, w := range c.workers {
		count += w.taskCount()
	}
	return count
}

// leaderName returns the name of the entry that last wrote to the store under a condition.
func (c *cluster) leaderName() (string, error) {
	page, err := c.store.Stream(platform.WorkStream).Newest(context.Background(), "")
	if err != nil {
		return "", err
	}
	state := jobreducer.New()
	for _, r := range page.Records {
		if err := state.Apply(r); err != nil {
			return "", err
		}
	}
	if state.Term == nil {
		return "", errNoService
	}
	return state.Term.Leader, nil
}

func (w *worker) taskCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}
