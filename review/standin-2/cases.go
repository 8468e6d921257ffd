package main

import (
	"fmt"
	"time"
)

const (
	// entryCount and workerCount are those of the small installations.
	entryCount, workerCount = 3, 11
	// lastingID and laterID are the submissions that the cases watch.
	lastingID, laterID = "00000000000000aa", "00000000000000bb"
	// shortDuration is how long a task takes that ends by itself, longDuration one of
	// laterID where it is to be at work for longer.
	shortDuration, longDuration = 300 * time.Millisecond, 8 * time.Second
	// special is the label that only worker 0 has, shared that of the first sharedWorkers.
	special, shared = "special", "shared"
	sharedWorkers   = 2
)

// setDurations lets all tasks end by themselves but those of lastingID.
func (f *fleet) setDurations(later time.Duration) {
	for _, w := range f.workers {
		w.duration = func(task string) time.Duration {
			switch task[:len(lastingID)] {
			case lastingID:
				return 0
			case laterID:
				return later
			}
			return shortDuration
		}
	}
}

// lasting is a step of one task that lasts, on a worker with the given label.
func lasting(label string) step {
	return step{Count: 1, CPU: 2000, MemMb: 4000, EstimateMs: 500, LongRunning: true, Requires: label}
}

// startWatched starts a fleet and the submission whose task lasts, waits until it runs,
// and lets the fleet be calm for contactTime.
func (f *fleet) startWatched(workers int, label string, later time.Duration) ([]*process, error) {
	entries, err := f.startFleet(entryCount, workers)
	if err != nil {
		return nil, err
	}
	f.setDurations(later)
	time.Sleep(2 * heartbeatEvery)
	if err := f.warmUp(0); err != nil {
		return nil, err
	}
	if _, err := f.submit([]int{1, 2}, lastingID, lasting(label)); err != nil {
		return nil, err
	}
	if !waitUntil(readyTimeout, func() bool { return f.runsNow(lastingID) }) {
		return nil, fmt.Errorf("%s does not start", lastingID)
	}
	time.Sleep(contactTime)
	return entries, nil
}

// idleFor returns how long nothing of a submission runs, at most the limit.
func (f *fleet) idleFor(id string, limit time.Duration) time.Duration {
	begin := time.Now()
	waitUntil(limit, func() bool { return f.runsNow(id) })
	return min(time.Since(begin), limit)
}

const (
	// crashes is how often the worker crashes, downTime how long it is down then, and
	// upTime how long its tasks run until the next crash.
	crashes  = 6
	downTime = 2 * time.Second
	upTime   = 1200 * time.Millisecond
)

// playCrashLoop lets one worker of eleven crash six times, each time soon after the tasks
// that only it may run have started again. No run ends failed.
func playCrashLoop(f *fleet, trouble bool) (string, error) {
	if _, err := f.startWatched(workerCount, special, longDuration); err != nil {
		return "", err
	}
	if _, err := f.submit([]int{2, 0}, laterID, step{Count: 1, CPU: 1000, MemMb: 1000, EstimateMs: 8000, Requires: special}); err != nil {
		return "", err
	}
	time.Sleep(upTime)
	for range crashes {
		if !trouble {
			time.Sleep(downTime + upTime)
			continue
		}
		f.workers[0].crash()
		time.Sleep(downTime)
		if err := f.workers[0].startLife(); err != nil {
			return "", err
		}
		// A task that does not start again shows at the end.
		waitUntil(contactTime, func() bool { return f.runsNow(lastingID) })
		time.Sleep(upTime)
	}
	// The rule gives a task that lasts 6 s, of which the last are calm.
	time.Sleep(contactTime + 2*idleTime)
	lastingState := f.state(1, lastingID)
	laterState := f.state(1, laterID)
	idle := f.idleFor(lastingID, idleTime)
	f.note("lasting submission %q, nothing running for %s; other submission %q; no run has ended failed", lastingState, idle, laterState)
	switch {
	case lastingState == "failed" || laterState == "failed":
		return fmt.Sprintf("LOST: a submission is shown as failed without an end failed: the lasting one %q, the other one %q", lastingState, laterState), nil
	case idle >= idleTime:
		return "LOST: a task that lasts does not run again", nil
	}
	return "", nil
}

const (
	// replacements is how many entries are replaced, one each replaceEvery; the new one
	// comes replaceDelay after the old one is gone.
	replacements = 38
	replaceEvery = 1900 * time.Millisecond
	replaceDelay = time.Second
	// replacedAgents is the number of agents of that case.
	replacedAgents = 5
)

// replaceEntries removes the entries for good, one after the other, and lets a new one
// come at another address each time. It returns the numbers of the last ones.
func (f *fleet) replaceEntries(entries []*process, trouble bool) ([]int, error) {
	last := []int{0, 1, 2}
	for n := range replacements {
		begin := time.Now()
		if trouble {
			f.note("%s is removed for good", entries[n].name)
			entries[n].kill()
			time.Sleep(replaceDelay)
			p, err := f.startEntry(entryCount + n)
			if err != nil {
				return nil, err
			}
			f.note("%s comes at %s", p.name, p.ip)
			entries = append(entries, p)
			last = append(last[1:], entryCount+n)
		}
		time.Sleep(replaceEvery - time.Since(begin))
	}
	return last, nil
}

// playReplacedEntries replaces more entries, one by one, than an agent connects to.
func playReplacedEntries(f *fleet, trouble bool) (string, error) {
	entries, err := f.startWatched(replacedAgents, "", shortDuration)
	if err != nil {
		return "", err
	}
	last, err := f.replaceEntries(entries, trouble)
	if err != nil {
		return "", err
	}
	time.Sleep(contactTime)
	if _, err := f.submit(last, laterID, step{Count: 1, CPU: 1000, MemMb: 1000, EstimateMs: 300}); err != nil {
		return "", err
	}
	completed := waitUntil(finishTime, func() bool {
		time.Sleep(time.Second)
		state := f.state(last[0], laterID)
		return state == "completed"
	})
	idle := f.idleFor(lastingID, idleTime)
	state := f.state(last[0], laterID)
	lastingState := f.state(last[1], lastingID)
	f.note("later submission %q; lasting one %q, nothing running for %s; all workers are up", state, lastingState, idle)
	switch {
	case !completed:
		return fmt.Sprintf("LOST: an accepted submission is %q %s after it was accepted, and has not run although all workers are free", state, finishTime), nil
	case idle >= idleTime:
		return "LOST: a task that lasts does not run again", nil
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
	if _, err := f.startWatched(workerCount, "", shortDuration); err != nil {
		return "", err
	}
	if trouble {
		f.workers[0].setCut(true)
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

const (
	// rebuildDuration is how long the long task takes. Its worker is cut off cutLead before
	// its end, for cutTime.
	rebuildDuration = 40 * time.Second
	cutLead         = time.Second
	cutTime         = 9 * time.Second
	// quickSubmissions submissions of two steps of quickWidth tasks follow, one each
	// quickEvery.
	quickSubmissions = 40
	quickWidth       = 36
	quickEvery       = 150 * time.Millisecond
)

func quickID(n int) string { return fmt.Sprintf("%016x", 0xc000+n) }

// submitQuick submits the quick submissions. The workers with the label take their tasks.
func (f *fleet) submitQuick() error {
	s := step{Count: quickWidth, CPU: 100, MemMb: 50, EstimateMs: int(shortDuration.Milliseconds()), Requires: shared}
	second := s
	second.DependsOn = []int{0}
	for n := range quickSubmissions {
		if _, err := f.submit([]int{n % entryCount, (n + 1) % entryCount}, quickID(n), s, second); err != nil {
			return err
		}
		time.Sleep(quickEvery)
	}
	return nil
}

// stuck returns the quick submissions of which nothing runs, while all tasks of the first
// step have ended done and some of the second have not started.
func (f *fleet) stuck() map[string]bool {
	ids := map[string]bool{}
	for n := range quickSubmissions {
		id := quickID(n)
		firstDone := f.countTasks(id+".0.0.", func(w *worker) map[string]int { return w.done })
		secondStarted := f.countTasks(id+".0.1.", func(w *worker) map[string]int { return w.starts })
		if !f.runsNow(id) && firstDone == quickWidth && secondStarted < quickWidth {
			ids[id] = true
		}
	}
	return ids
}

// noteUnackedEnds records which ends the workers list that were not taken note of.
func (f *fleet) noteUnackedEnds() {
	for _, w := range f.workers {
		w.mu.Lock()
		count, first := 0, ""
		if w.life != nil {
			if count = len(w.life.ended); count > 0 {
				e := &w.life.ended[0]
				first = fmt.Sprintf(", the first of them %s run %d %s", e.task, e.run, e.how)
			}
		}
		w.mu.Unlock()
		f.note("worker %d: %d ends not taken note of%s", w.number, count, first)
	}
}

// workerOf returns the worker on which a task of a submission runs, nil if none does.
func (f *fleet) workerOf(id string) *worker {
	for _, w := range f.workers {
		if (&fleet{workers: []*worker{w}}).runsNow(id) {
			return w
		}
	}
	return nil
}

// playBlockedEnds cuts a worker off while a long task ends on it, for longer than its
// lease, and lets quick tasks follow that it shares with another worker.
func playBlockedEnds(f *fleet, trouble bool) (string, error) {
	if _, err := f.startWatched(workerCount, "", rebuildDuration); err != nil {
		return "", err
	}
	if _, err := f.submit([]int{1, 2}, laterID, step{Count: 1, CPU: 2000, MemMb: 4000, EstimateMs: int(rebuildDuration.Milliseconds()), Requires: shared}); err != nil {
		return "", err
	}
	var host *worker
	if !waitUntil(readyTimeout, func() bool { host = f.workerOf(laterID); return host != nil }) {
		return "", fmt.Errorf("the long task does not start")
	}
	time.Sleep(rebuildDuration - cutLead)
	if trouble {
		host.setCut(true)
	}
	time.Sleep(cutTime)
	host.setCut(false)
	time.Sleep(contactTime)
	if err := f.submitQuick(); err != nil {
		return "", err
	}
	time.Sleep(finishTime)
	f.noteUnackedEnds()
	before := f.stuck()
	time.Sleep(idleTime)
	all := 0
	var example string
	for id := range f.stuck() {
		if before[id] {
			all++
			example = id
		}
	}
	if all == 0 {
		return "", nil
	}
	state := f.state(0, example)
	return fmt.Sprintf("LOST: %s after the last of them was accepted, %d of %d submissions have nothing running for %s, although all tasks of their first step have ended done and the workers have room; %s is %q",
		finishTime, all, quickSubmissions, idleTime, example, state), nil
}
