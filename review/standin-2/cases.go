package main

import (
	"fmt"
	"time"
)

const (
	// entryCount and workerCount are those of the small installations.
	entryCount, workerCount = 3, 11
	// laterID is the submission that is handed in after a loss.
	laterID = "00000000000000bb"
	// shortDuration is how long a task takes that ends by itself.
	shortDuration = 300 * time.Millisecond
	// special is the label that only worker 0 has.
	special = "special"
	// lastingPrefix begins the names of the submissions whose tasks last.
	lastingPrefix = "00000000000a"
)

// startReady starts a fleet, waits until each worker has got tasks, and lets the fleet be
// calm for contactTime.
func (f *fleet) startReady() error {
	if err := f.startFleet(entryCount, workerCount); err != nil {
		return err
	}
	for _, w := range f.workers {
		w.duration = func(task string) time.Duration {
			if task[:len(lastingPrefix)] == lastingPrefix {
				return 0
			}
			return shortDuration
		}
	}
	time.Sleep(2 * heartbeatEvery)
	if err := f.warmUp(0); err != nil {
		return err
	}
	time.Sleep(contactTime)
	return nil
}

const (
	// lastingCount is the number of submissions of one task that lasts, which only worker 0
	// may run.
	lastingCount = 20
	// downs is how often worker 0 goes down, half a period of flapPeriod each time.
	downs      = 4
	flapPeriod = 1400 * time.Millisecond
	// calmBefore is how long the fleet is calm before a task that lasts must be at work
	// within idleTime, from lastRunAge after its last run.
	calmBefore = 4 * time.Second
	lastRunAge = 6 * time.Second
)

func lastingID(n int) string { return fmt.Sprintf("%s%04x", lastingPrefix, n) }

// submitLasting hands in the submissions that last and waits until all run.
func (f *fleet) submitLasting() error {
	for n := range lastingCount {
		s := step{Count: 1, CPU: 500, MemMb: 1000, EstimateMs: 500, LongRunning: true, Requires: special}
		if _, err := f.submit([]int{n % entryCount, (n + 1) % entryCount}, lastingID(n), s); err != nil {
			return err
		}
	}
	if !waitUntil(readyTimeout, func() bool { return len(f.missing()) == 0 }) {
		return fmt.Errorf("not all tasks that last have started")
	}
	return nil
}

// missing returns the submissions that last and of which nothing runs.
func (f *fleet) missing() map[string]bool {
	ids := map[string]bool{}
	for n := range lastingCount {
		if id := lastingID(n); !f.runsNow(id) {
			ids[id] = true
		}
	}
	return ids
}

// playQuarantines lets one worker of eleven go down and up by turns, and watches the tasks
// that last and need it once it is up for good.
func playQuarantines(f *fleet, trouble bool) (string, error) {
	if err := f.startReady(); err != nil {
		return "", err
	}
	if err := f.submitLasting(); err != nil {
		return "", err
	}
	time.Sleep(flapPeriod / 2)
	for range downs {
		if trouble {
			f.workers[0].crash()
		}
		time.Sleep(flapPeriod / 2)
		if trouble {
			if err := f.workers[0].startLife(); err != nil {
				return "", err
			}
		}
		time.Sleep(flapPeriod / 2)
	}
	f.note("worker 0 is up for good")
	// The last run of each task ended half a period ago or earlier.
	time.Sleep(contactTime + max(calmBefore, lastRunAge))
	away := f.missing()
	for begin := time.Now(); time.Since(begin) < idleTime; time.Sleep(tick) {
		now := f.missing()
		for id := range away {
			if !now[id] {
				delete(away, id)
			}
		}
	}
	var states []string
	for id := range away {
		states = append(states, f.state(0, id))
	}
	f.note("%d of %d tasks that last were away for %s; their submissions are %q", len(away), lastingCount, idleTime, states)
	if len(away) > 0 {
		return fmt.Sprintf("LOST: %d of %d tasks that last have not run for %s, %s after the worker is up for good with room for all",
			len(away), lastingCount, idleTime, contactTime+max(calmBefore, lastRunAge)), nil
	}
	return "", nil
}

const (
	// lossAge is the age of a loss at which the submission comes.
	lossAge = 100 * time.Millisecond
	// pendingTime is for how long after the confirmation the count is asked for, each
	// pendingEvery.
	pendingTime  = 20 * time.Second
	pendingEvery = 500 * time.Millisecond
)

// playPending submits a submission just after the only worker that may run it was lost
// for good, and asks all entries how many have not begun.
func playPending(f *fleet, trouble bool) (string, error) {
	if err := f.startReady(); err != nil {
		return "", err
	}
	if trouble {
		f.workers[0].lose()
	}
	time.Sleep(lossAge)
	accepted, err := f.submit([]int{1, 2}, laterID, step{Count: 1, CPU: 1000, MemMb: 1000, EstimateMs: 300, Requires: special})
	if err != nil {
		return "", err
	}
	wrong, asked := 0, 0
	for time.Since(accepted) < pendingTime {
		time.Sleep(pendingEvery)
		if time.Since(accepted) < visibleTime+pendingSlack || f.begun(laterID) {
			continue
		}
		for entry := range entryCount {
			if n, ok := f.pending(entry); ok {
				asked++
				if n == 0 {
					wrong++
				}
			}
		}
	}
	f.note("pending was asked for %d times while one submission had not begun, and was 0 %d times", asked, wrong)
	if wrong > 0 {
		return fmt.Sprintf("MIXED: an accepted submission has not begun, and pending is 0 in %d of %d answers, %s to %s after the confirmation", wrong, asked, visibleTime+pendingSlack, pendingTime), nil
	}
	return "", nil
}
