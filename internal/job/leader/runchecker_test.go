package leader_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"knapweedspur/internal/wire/work"
)

// runChecker checks from the workers' side that no task runs twice: neither two
// runs at the same time, nor a start after a run has ended as done if that end is
// acknowledged then or later, unless the worker's lease lapsed between the two.
type runChecker struct {
	mu        sync.Mutex
	startedAt time.Time
	active    map[string][]*simulatedRun
	done      map[string][]*simulatedEnd
	starts    int
	// speculative holds the jobs whose tasks may have copies, copies counts the starts
	// beside another run of their task.
	speculative map[string]bool
	copies      int
	// crashed counts the runs that were lost in a crash of their worker.
	crashed int
	// evacuatedAt is when the log took the request to evacuate a failure domain.
	evacuatedAt map[string]time.Time
	events      []string
	violations  []string
}

type simulatedRun struct {
	vm, task, domain string
	run              int
	endsAt           time.Time
	outcome          string
	// sentAt is when the start was sent to the worker, duration how long the task
	// takes.
	sentAt   time.Time
	duration time.Duration
}

// percent returns the progress of the run.
func (r *simulatedRun) percent(now time.Time) int {
	return max(0, min(99, int(100-100*r.endsAt.Sub(now)/r.duration)))
}

type simulatedEnd struct {
	work.RunEnd
	vm string
	// lapsed is set if the lease lapsed since the end, acked if it was acknowledged
	// before that, and startedAgain if a run of the task started since.
	lapsed, acked, startedAgain bool
	ackedAt                     time.Time
	// listed is how often the worker has listed the end.
	listed int
}

// lateStartMargin is how long after an acknowledged end a start may still be sent where
// copies are allowed.
const lateStartMargin = time.Second

func newRunChecker() *runChecker {
	return &runChecker{startedAt: time.Now(), active: map[string][]*simulatedRun{}, done: map[string][]*simulatedEnd{}, speculative: map[string]bool{}, evacuatedAt: map[string]time.Time{}}
}

// allowCopies notes whether the tasks of a job may have copies.
func (c *runChecker) allowCopies(job string, allowed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.speculative[job] = allowed
}

func (c *runChecker) logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(format, args...)
}

func (c *runChecker) note(format string, args ...any) {
	c.events = append(c.events, fmt.Sprintf("%7.3f ", time.Since(c.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

func (c *runChecker) fail(format string, args ...any) {
	c.note("VIOLATION "+format, args...)
	c.violations = append(c.violations, c.events[len(c.events)-1])
}

func (c *runChecker) started(r *simulatedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	c.note("worker %s starts %s run %d", r.vm, r.task, r.run)
	if at, ok := c.evacuatedAt[r.domain]; ok && r.sentAt.Sub(at) > evacuationBound {
		c.fail("start in a domain that was evacuated %s before: %s run %d on %s", r.sentAt.Sub(at), r.task, r.run, r.vm)
	}
	if c.speculative[strings.Split(r.task, ".")[0]] {
		c.startedCopy(r)
		return
	}
	for _, other := range c.active[r.task] {
		c.fail("two runs at the same time: %s run %d on %s beside run %d on %s", r.task, r.run, r.vm, other.run, other.vm)
	}
	for _, e := range c.done[r.task] {
		e.startedAgain = true
		if e.acked {
			c.fail("started again after an acknowledged end: %s run %d on %s after run %d on %s", r.task, r.run, r.vm, e.Run, e.vm)
		}
	}
	c.active[r.task] = append(c.active[r.task], r)
}

// startedCopy checks a start where copies are allowed.
func (c *runChecker) startedCopy(r *simulatedRun) {
	if len(c.active[r.task]) > 0 {
		c.copies++
	}
	for _, e := range c.done[r.task] {
		if e.acked && r.sentAt.Sub(e.ackedAt) > lateStartMargin {
			c.fail("start sent %s after an acknowledged end: %s run %d on %s", r.sentAt.Sub(e.ackedAt), r.task, r.run, r.vm)
		}
	}
	c.active[r.task] = append(c.active[r.task], r)
}

// ended records that a run has ended, or has vanished with its worker.
func (c *runChecker) ended(r *simulatedRun, e *simulatedEnd, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("worker %s: %s run %d ends, %s", r.vm, r.task, r.run, outcome)
	if outcome == "crashed" {
		c.crashed++
	}
	for i, other := range c.active[r.task] {
		if other == r {
			c.active[r.task] = append(c.active[r.task][:i:i], c.active[r.task][i+1:]...)
			break
		}
	}
	if e != nil && outcome == "done" {
		c.done[r.task] = append(c.done[r.task], e)
	}
}

func (c *runChecker) acknowledged(e *simulatedEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("worker %s forgets the end of %s run %d, %s, lapsed %t", e.vm, e.Task, e.Run, e.Outcome, e.lapsed)
	if e.Outcome != "done" || e.lapsed {
		return
	}
	e.acked, e.ackedAt = true, time.Now()
	if e.startedAgain {
		c.fail("end acknowledged after the task was started again: %s run %d on %s", e.Task, e.Run, e.vm)
	}
}

// report fails the test for each violation, with all events, and returns how many
// tasks are done.
func (c *runChecker) report(t *testing.T) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.Logf("%d starts, %d beside another run, %d tasks done", c.starts, c.copies, len(c.done))
	for _, v := range c.violations {
		t.Error(v)
	}
	if len(c.violations) > 0 {
		t.Log(strings.Join(c.events, "\n"))
	}
	return len(c.done)
}

// dump logs all events if the test has failed for another reason than a violation,
// which report logs.
func (c *runChecker) dump(t *testing.T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Failed() && len(c.violations) == 0 {
		t.Log(strings.Join(c.events, "\n"))
	}
}
