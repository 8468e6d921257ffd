package main

import "time"

const (
	replacements = 34
	// away is how long after the end of a machine the next one comes: x of `replace_core`.
	away = time.Second
	// readyPause is how long the new one is ready before the next is replaced.
	readyPause = 500 * time.Millisecond
	// finish is finish_s, idle the time for which a submission has nothing running.
	finish, idle = 14 * time.Second, 3 * time.Second
)

// playAddresses replaces the entries one after the other, each time at a new address.
func playAddresses(c *cluster, trouble bool) (bool, error) {
	const workers = 4
	entries, err := c.startDeployment(workers, 0, shortTask)
	if err != nil {
		return false, err
	}
	body := jobBody(step{Count: 1, CPU: 500, MemMb: 100, Estimate: 300})
	completed := 0
	for i := range replacements {
		if trouble {
			entries, err = c.replaceFirst(entries, entryCount+i)
		} else {
			time.Sleep(away)
		}
		if err != nil {
			return false, err
		}
		time.Sleep(readyPause)
		if id := jobID(2, i); i%4 == 0 && c.submit(entries, i, id, body) && c.waitCompleted(entries, id, 2*time.Second) {
			completed++
		}
	}
	c.record.say("%d submissions were completed during the replacements", completed)
	id := jobID(3, 1)
	if !c.submit(entries, 0, id, body) {
		return false, errNoService
	}
	c.record.say("submission %s is accepted by an entry that is ready", id)
	time.Sleep(finish + idle)
	starts, _, _ := c.record.counts(taskName(id, 0))
	c.record.say("%s after it was accepted, submission %s is shown as %q; its task had %d starts; %d workers are up with room", finish+idle, id, c.state(entries, id), starts, workers)
	return starts == 0, nil
}

// replaceFirst removes the first entry for good and starts one at a new address.
func (c *cluster) replaceFirst(entries []*process, number int) ([]*process, error) {
	c.kill(entries[0])
	time.Sleep(away)
	p, err := c.startProcess("entry", number)
	if err != nil {
		return nil, err
	}
	return append(entries[1:], p), c.waitReady(p)
}
