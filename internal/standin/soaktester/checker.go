package soaktester

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"knapweedspur/platform/platformemulator"
)

// checker records what clients and workers observe, and the invariant violations
// that it finds.
type checker struct {
	mu sync.Mutex
	// running is the run number of each task by task and worker.
	running     map[string]map[string]int
	startCounts map[string]int
	// lastStartedRun is the highest run number of each task that was started.
	lastStartedRun map[string]int
	// lastStartedAt is when a run of each task last started.
	lastStartedAt map[string]time.Time
	// doneAt is when runs completed.
	doneAt map[completion]time.Time
	// acknowledgedRun is the run of each task whose completion was acknowledged.
	acknowledgedRun map[string]int
	jobSizes        map[string]size
	workerUsage     map[string]size
	// workerCapacity holds the capacities that each worker has had, the newest last.
	workerCapacity map[string][]capacityChange
	workerDomain   map[string]string
	// evacuatedAt is when the log took the request to evacuate a failure domain.
	evacuatedAt map[string]time.Time
	// acceptedAt and canceledAt are when clients first got the answer to a submit
	// or a cancel; refused are jobs that got only refusals.
	acceptedAt map[string]time.Time
	canceledAt map[string]time.Time
	refused    map[string]bool
	// absentAt is when a client was told that a job does not exist, after its last
	// submission was sent.
	absentAt map[string]time.Time
	// cancelRequested are jobs that a client asked to cancel, answered or not.
	cancelRequested map[string]bool
	lastState       map[string]string
	// completedAt is when a job was first reported as completed.
	completedAt map[string]time.Time
	// crashing are the tasks that crash their workers, crashingJobs their jobs.
	crashing, crashingJobs map[string]*crashHistory
	// heavy are the heavy jobs, lasting those whose tasks run until they are canceled.
	heavy, lasting map[string]bool
	// ordinaryStartAt is when a task of an ordinary job last started, zero while none is
	// awaited.
	ordinaryStartAt time.Time
	violations      []string
	startedAt       time.Time
}

// size is an amount of processors, in millicores, and memory. Violations print the
// field names.
type size struct{ millis, memory int }

// completion identifies a run that has completed on a worker.
type completion struct {
	worker, task string
	run          int
}

// completionGrace is how long tasks of a job may still start after it was reported
// as completed.
const completionGrace = time.Second

// cancelGrace is how long tasks of a job may still start after its cancel was
// answered. It is also how long an accepted job may be reported not to exist.
const cancelGrace = 3 * time.Second

func newChecker(now time.Time) *checker {
	return &checker{
		running: map[string]map[string]int{}, startCounts: map[string]int{}, lastStartedRun: map[string]int{},
		lastStartedAt: map[string]time.Time{}, doneAt: map[completion]time.Time{}, completedAt: map[string]time.Time{}, acknowledgedRun: map[string]int{},
		jobSizes: map[string]size{}, workerUsage: map[string]size{}, workerCapacity: map[string][]capacityChange{}, workerDomain: map[string]string{}, evacuatedAt: map[string]time.Time{},
		acceptedAt: map[string]time.Time{}, canceledAt: map[string]time.Time{}, refused: map[string]bool{}, absentAt: map[string]time.Time{}, cancelRequested: map[string]bool{}, lastState: map[string]string{}, startedAt: now,
		crashing: map[string]*crashHistory{}, crashingJobs: map[string]*crashHistory{}, heavy: map[string]bool{}, lasting: map[string]bool{},
	}
}

func (c *checker) addViolation(now time.Time, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%6.2fs ", now.Sub(c.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// fail adds a violation that the soak itself found.
func (c *checker) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(time.Now(), format, args...)
}

func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

// Started checks the start of a run against the history. Limits of time apply to
// when the worker received the order.
func (c *checker) Started(worker, task string, run int, arrivedAt, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, number := range c.running[task] {
		c.addViolation(now, "concurrent runs: %s run %d on %s while run %d is on %s", task, run, worker, number, other)
	}
	if number, ok := c.acknowledgedRun[task]; ok {
		c.addViolation(now, "started after completion: %s run %d on %s after the completion of run %d was acknowledged", task, run, worker, number)
	}
	if at, ok := c.evacuatedAt[c.workerDomain[worker]]; ok && arrivedAt.Sub(at) > platformemulator.EvacuationBound {
		c.addViolation(now, "started in evacuated domain: %s on %s, %s after the request", task, worker, arrivedAt.Sub(at))
	}
	if c.refused[jobOf(task)] {
		c.addViolation(now, "refused job started: %s on %s", task, worker)
	}
	if at, ok := c.absentAt[jobOf(task)]; ok {
		c.addViolation(now, "absent job started: %s on %s, %s after it was reported not to exist", task, worker, arrivedAt.Sub(at))
	}
	if at, ok := c.canceledAt[jobOf(task)]; ok && arrivedAt.Sub(at) > cancelGrace {
		c.addViolation(now, "canceled job started: %s on %s, %s after the cancel", task, worker, arrivedAt.Sub(at))
	}
	if at, ok := c.completedAt[jobOf(task)]; ok && arrivedAt.Sub(at) > completionGrace {
		c.addViolation(now, "completed job started: %s run %d on %s, %s after it was reported as completed", task, run, worker, arrivedAt.Sub(at))
	}
	if _, ok := c.jobSizes[jobOf(task)]; !ok {
		c.addViolation(now, "unknown job started: %s on %s", task, worker)
	}
	c.checkCrashBound(worker, task, run, now)
	if len(c.heavy) > 0 && !c.heavy[jobOf(task)] {
		c.noteOrdinaryStart(now)
	}
	if c.running[task] == nil {
		c.running[task] = map[string]int{}
	}
	c.running[task][worker] = run
	c.startCounts[task]++
	c.lastStartedRun[task] = max(c.lastStartedRun[task], run)
	c.lastStartedAt[task] = now
	c.addUsage(worker, task, 1)
	if usage := c.workerUsage[worker]; !c.mayHold(worker, usage, arrivedAt) {
		c.addViolation(now, "over capacity: %s holds %+v of %+v", worker, usage, c.workerCapacity[worker])
	}
}

func (c *checker) addUsage(worker, task string, sign int) {
	need, usage := c.jobSizes[jobOf(task)], c.workerUsage[worker]
	usage.millis += sign * need.millis
	usage.memory += sign * need.memory
	c.workerUsage[worker] = usage
}

// Ended records the end of a run.
func (c *checker) Ended(worker, task string, run int, how string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if how == "done" {
		c.doneAt[completion{worker, task, run}] = now
	}
	if how == "crashed" {
		c.noteLoss(task, now)
	}
	if _, ok := c.running[task][worker]; !ok {
		return
	}
	delete(c.running[task], worker)
	c.addUsage(worker, task, -1)
}

// Acknowledged records that the end of a run was acknowledged. A completion counts
// as acknowledged only if the worker's lease had not expired since.
func (c *checker) Acknowledged(worker, task string, run int, how string, lapsed bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if how != "done" {
		return
	}
	if _, ok := c.acknowledgedRun[task]; !ok && c.lastStartedRun[task] > run {
		c.addViolation(now, "superseded run acknowledged: run %d of %s after run %d was started", run, task, c.lastStartedRun[task])
	}
	if doneAt := c.doneAt[completion{worker, task, run}]; !lapsed && c.lastStartedAt[task].After(doneAt) {
		c.addViolation(now, "started between completion and acknowledgment: %s, run %d of which had completed on %s", task, run, worker)
	}
	c.acknowledgedRun[task] = run
}

// recordResponse records and checks an entry's response to a client.
func (c *checker) recordResponse(job, operation string, status int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, accepted := c.acceptedAt[job]
	if status == 410 && !accepted {
		c.absentAt[job] = now
	}
	switch {
	case operation == "submit" && status == 200:
		delete(c.refused, job)
		if !accepted {
			c.acceptedAt[job] = now
		}
	case operation == "cancel" && status == 200 && c.canceledAt[job].IsZero():
		c.canceledAt[job] = now
	case operation == "state" && status == 410 && accepted && now.Sub(c.acceptedAt[job]) > cancelGrace:
		c.addViolation(now, "lost: %s was accepted and is reported not to exist", job)
	case status == 404:
		c.addViolation(now, "no such queue: %s of %s", operation, job)
	}
}

// recordSubmission records that a client is about to submit a job, maybe once more after it
// was told that there is none.
func (c *checker) recordSubmission(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.absentAt, job)
}

// recordCancelRequest records that a client is about to request a cancel. The
// answer may be lost.
func (c *checker) recordCancelRequest(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelRequested[job] = true
}

// recordRefusal records a job that got only refusals.
func (c *checker) recordRefusal(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.acceptedAt[job]; !ok {
		c.refused[job] = true
	}
}

// recordState records and checks the state of a job that an entry reported.
func (c *checker) recordState(job, state string, tasks []string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.lastState[job]
	if (previous == platformemulator.StateCompleted || previous == platformemulator.StateFailed || previous == platformemulator.StateCanceled) && state != previous {
		c.addViolation(now, "terminal state changed: %s from %s to %s", job, previous, state)
	}
	c.lastState[job] = state
	if state == platformemulator.StateFailed && previous != state {
		c.checkFailure(job, now)
	}
	if state != platformemulator.StateCompleted {
		return
	}
	if _, ok := c.completedAt[job]; !ok {
		c.completedAt[job] = now
	}
	for _, task := range tasks {
		if c.startCounts[task] == 0 {
			c.addViolation(now, "completed without a run: %s", task)
		}
	}
}

// checkFinal checks that all accepted jobs have ended and no task still runs.
func (c *checker) checkFinal(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for job := range c.acceptedAt {
		state := c.lastState[job]
		switch {
		case state == platformemulator.StateCompleted && c.crashingJobs[job] != nil:
			c.addViolation(now, "completed though a task crashes its workers: %s", job)
		case state == platformemulator.StateFailed && c.crashingJobs[job] != nil:
		case state == platformemulator.StateCompleted, state == platformemulator.StateCanceled && c.cancelRequested[job]:
		case state == platformemulator.StateCanceled:
			c.addViolation(now, "canceled without a request: %s", job)
		default:
			c.addViolation(now, "not finished: %s is %q", job, state)
		}
	}
	for task, workers := range c.running {
		if len(workers) > 0 {
			c.addViolation(now, "still running at the end: %s", task)
		}
	}
}
