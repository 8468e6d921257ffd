package main

import "time"

const (
	// oldWorkers serve the queue before workers are added; newWorkers come over scaleTime: within
	// share and gap_s of `scale_out`.
	oldWorkers, newWorkers = 11, 3
	scaleTime              = 2900 * time.Millisecond
	advisedJobs            = 4
)

// playScale adds empty workers, and hands in submissions to a queue with advice.
func playScale(c *cluster, trouble bool) (bool, error) {
	entries, err := c.startDeployment(oldWorkers, 0, func(string) time.Duration { return tinyTaskTime })
	if err != nil {
		return false, err
	}
	body := jobBody(step{Count: 2, CPU: 500, MemMb: 100, Estimate: 50})
	before := jobID(4, 1)
	if !c.submit(entries, 0, advisedPrefix+before, body) || !c.waitCompleted(entries, advisedPrefix+before, 15*time.Second) {
		return false, errNoService
	}
	c.record.say("submission %s was completed on %d workers", before, oldWorkers)
	for i := 0; trouble && i < newWorkers; i++ {
		if err := c.addWorker(oldWorkers+i, commonLabel, func(string) time.Duration { return tinyTaskTime }); err != nil {
			return false, err
		}
		c.record.say("an empty worker is added")
		time.Sleep(scaleTime / newWorkers)
	}
	time.Sleep(settleTime)
	var ids []string
	for i := range advisedJobs {
		id := jobID(5, i)
		if !c.submit(entries, i, advisedPrefix+id, body) {
			return false, errNoService
		}
		ids = append(ids, id)
	}
	c.record.say("%d submissions were accepted", len(ids))
	time.Sleep(finish + idle)
	stuck := 0
	for _, id := range ids {
		begun := c.record.hasStarted(id+".0.0.0") || c.record.hasStarted(id+".0.0.1")
		if !begun {
			stuck++
		}
		c.record.say("submission %s is shown as %q; begun: %v", id, c.state(entries, advisedPrefix+id), begun)
	}
	c.record.say("%d of %d submissions have had nothing running for %s, beside idle workers that may all run them", stuck, len(ids), finish+idle)
	return stuck > 0, nil
}
