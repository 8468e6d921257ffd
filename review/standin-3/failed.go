package main

import "time"

const (
	// The largest dose of `srv_flap` in the site files.
	flapTime, flapPeriod = 6500 * time.Millisecond, 1400 * time.Millisecond
	// flappedTime is how long the task takes that needs the worker.
	flappedTime = 2700 * time.Millisecond
	// flapLimit is how long its submission has to end after that.
	flapLimit = 40 * time.Second
)

// playFailed lets one worker of eleven go down and up by turns while a submission needs it.
func playFailed(c *cluster, trouble bool) (bool, error) {
	id := jobID(1, 1)
	task := taskName(id, 0)
	entries, err := c.startDeployment(11, 1, func(t string) time.Duration {
		if t == task {
			return flappedTime
		}
		return shortTime
	})
	if err != nil {
		return false, err
	}
	if !c.submit(entries, 0, id, jobBody(step{Count: 1, CPU: 1000, MemMb: 100, Estimate: int(flappedTime.Milliseconds()), Requires: specialLabel})) {
		return false, errNoService
	}
	time.Sleep(shortTime)
	if trouble {
		if err := c.workers[0].flap(flapTime, flapPeriod); err != nil {
			return false, err
		}
	}
	state := ""
	for since := time.Now(); time.Since(since) < flapLimit && state != "completed" && state != "failed"; time.Sleep(300 * time.Millisecond) {
		state = c.state(entries, id)
	}
	starts, failures, losses := c.record.counts(task)
	c.record.say("submission %s is shown as %q; its task had %d starts, %d ends failed, %d runs lost with their worker; maxAttempts is 3", id, state, starts, failures, losses)
	return state == "failed" && failures < 3, nil
}

// flap lets the worker go down and up by turns.
func (w *worker) flap(duration, period time.Duration) error {
	for since := time.Now(); time.Since(since) < duration; time.Sleep(period / 2) {
		w.record.line("worker %s goes down", w.id())
		w.crash()
		time.Sleep(period / 2)
		if err := w.start(); err != nil {
			return err
		}
		w.record.line("worker %s comes up", w.id())
	}
	return nil
}
