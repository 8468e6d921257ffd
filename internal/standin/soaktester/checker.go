package soaktester

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"knapweedspur/platform/platformemulator"
)

// checker keeps one history of what clients and workers saw, and the promises
// that it breaks.
type checker struct {
	mu sync.Mutex
	// running tells where each task runs.
	running map[string]map[string]int
	starts  map[string]int
	// last is the highest run of each task that was started.
	last map[string]int
	// noted tells of tasks whose end was acknowledged.
	noted map[string]int
	sizes map[string]size
	used  map[string]size
	limit map[string]size
	// accepted and canceled are jobs that clients have an answer for; refused
	// are those that only got refusals.
	accepted map[string]time.Time
	canceled map[string]time.Time
	refused  map[string]bool
	// asked are jobs that a client asked to cancel, answered or not.
	asked  map[string]bool
	shown  map[string]string
	broken []string
	began  time.Time
}

type size struct{ millis, memory int }

// cancelTime is how long a canceled task may go on.
const cancelTime = 3 * time.Second

func newChecker(now time.Time) *checker {
	return &checker{
		running: map[string]map[string]int{}, starts: map[string]int{}, last: map[string]int{}, noted: map[string]int{},
		sizes: map[string]size{}, used: map[string]size{}, limit: map[string]size{},
		accepted: map[string]time.Time{}, canceled: map[string]time.Time{}, refused: map[string]bool{}, asked: map[string]bool{}, shown: map[string]string{}, began: now,
	}
}

func (c *checker) fail(now time.Time, format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf("%6.2fs ", now.Sub(c.began).Seconds())+fmt.Sprintf(format, args...))
}

func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

// Started checks a start against what runs and what ended.
func (c *checker) Started(worker, task string, run int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, number := range c.running[task] {
		c.fail(now, "two places: %s run %d on %s while run %d is on %s", task, run, worker, number, other)
	}
	if number, ok := c.noted[task]; ok {
		c.fail(now, "done twice: %s run %d on %s after run %d was done and noted", task, run, worker, number)
	}
	if c.refused[jobOf(task)] {
		c.fail(now, "refused and run: %s on %s", task, worker)
	}
	if at, ok := c.canceled[jobOf(task)]; ok && now.Sub(at) > cancelTime {
		c.fail(now, "canceled and run: %s on %s, %s after", task, worker, now.Sub(at))
	}
	if _, ok := c.sizes[jobOf(task)]; !ok {
		c.fail(now, "unasked: %s on %s", task, worker)
	}
	if c.running[task] == nil {
		c.running[task] = map[string]int{}
	}
	c.running[task][worker] = run
	c.starts[task]++
	c.last[task] = max(c.last[task], run)
	c.add(worker, task, 1, now)
}

func (c *checker) add(worker, task string, sign int, now time.Time) {
	s, u := c.sizes[jobOf(task)], c.used[worker]
	u.millis += sign * s.millis
	u.memory += sign * s.memory
	c.used[worker] = u
	if limit := c.limit[worker]; u.millis > limit.millis || u.memory > limit.memory {
		c.fail(now, "over capacity: %s holds %+v of %+v", worker, u, limit)
	}
}

// Ended takes the end of a run.
func (c *checker) Ended(worker, task string, run int, _ string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.running[task][worker]; !ok {
		return
	}
	delete(c.running[task], worker)
	c.add(worker, task, -1, now)
}

// Noted takes that an end was acknowledged.
func (c *checker) Noted(_, task string, run int, how string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if how != "done" {
		return
	}
	if _, ok := c.noted[task]; !ok && c.last[task] > run {
		c.fail(now, "noted too late: run %d of %s, after run %d was started", run, task, c.last[task])
	}
	c.noted[task] = run
}

// answer takes what a client was told of a job.
func (c *checker) answer(job, what string, status int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, accepted := c.accepted[job]
	switch {
	case what == "submit" && status == 200:
		delete(c.refused, job)
		if !accepted {
			c.accepted[job] = now
		}
	case what == "cancel" && status == 200 && c.canceled[job].IsZero():
		c.canceled[job] = now
	case what == "state" && status == 410 && accepted && now.Sub(c.accepted[job]) > cancelTime:
		c.fail(now, "lost: %s is accepted and said not to exist", job)
	case status == 404:
		c.fail(now, "no queue: %s of %s", what, job)
	}
}

// ask notes that a client is about to ask for a job to be canceled.
func (c *checker) ask(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked[job] = true
}

// refuse notes a job that got refusals only.
func (c *checker) refuse(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.accepted[job]; !ok {
		c.refused[job] = true
	}
}

// state takes a state that a client was shown.
func (c *checker) state(job, state string, tasks []string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.shown[job]
	if (before == platformemulator.StateCompleted || before == platformemulator.StateFailed || before == platformemulator.StateCanceled) && state != before {
		c.fail(now, "state went back: %s from %s to %s", job, before, state)
	}
	c.shown[job] = state
	if state != platformemulator.StateCompleted {
		return
	}
	for _, task := range tasks {
		if c.starts[task] == 0 {
			c.fail(now, "completed without a run: %s", task)
		}
	}
}

// finish checks that all accepted jobs came to an end.
func (c *checker) finish(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for job := range c.accepted {
		state := c.shown[job]
		switch {
		case state == platformemulator.StateCompleted, state == platformemulator.StateCanceled && c.asked[job]:
		case state == platformemulator.StateCanceled:
			c.fail(now, "canceled unasked: %s", job)
		default:
			c.fail(now, "not done: %s is %q", job, state)
		}
	}
	for task, places := range c.running {
		if len(places) > 0 {
			c.fail(now, "still running at the end: %s", task)
		}
	}
}
