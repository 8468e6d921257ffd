// Package workeremulator stands in for the platform's worker in tests and the
// demo. Its tasks only wait; a checkpoint holds how far they had come.
package workeremulator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"knapweedspur/internal/client/workerclient"
	"knapweedspur/internal/wire/message"
)

// Interval is a stretch of time in which an attempt ran.
type Interval struct {
	Run     string    `json:"run"`
	Task    int       `json:"task"`
	Attempt int       `json:"attempt"`
	VM      string    `json:"vm"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	// Resumed is the checkpoint that the attempt began from.
	Resumed string `json:"resumed"`
	// How is how the attempt ended, empty if it was paused or still runs.
	How string `json:"how"`
}

// Runner is a worker in memory. Set the exported fields, then Boot.
type Worker struct {
	// VM names the VM.
	VM string
	// Size is what the VM has.
	Size message.Size
	// Duration is how long a task of each job runs; "" stands for the others.
	TaskDurations map[string]time.Duration
	// Fail makes every task fail at once.
	FailTasks bool

	mu       sync.Mutex
	boot     string
	booted   time.Time
	boots    int
	agent    string
	revision int
	changed  chan struct{}
	until    time.Duration
	tasks    map[message.Attempt]*task
	history  []Interval
	dead     bool
	wakes    int
}

type task struct {
	workerclient.Task
	done  time.Duration
	total time.Duration
	began time.Time
}

// Boot starts the VM, with nothing running.
func (r *Worker) Boot(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.boots++
	r.boot = fmt.Sprintf("%s-%d-%d", r.VM, r.boots, now.UnixNano())
	r.booted = now
	r.dead = false
	r.agent = ""
	r.until = 0
	r.tasks = map[message.Attempt]*task{}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	r.change()
}

// Kill ends the VM at once: what ran is gone.
func (r *Worker) Kill(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tasks {
		r.halt(now, t, "killed")
	}
	r.tasks = map[message.Attempt]*task{}
	r.dead = true
}

// History returns when which attempts ran.
func (r *Worker) History(now time.Time) []Interval {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := append([]Interval(nil), r.history...)
	for _, t := range r.tasks {
		if t.State == workerclient.StateRunning {
			list = append(list, r.interval(now, t, ""))
		}
	}
	return list
}

func (r *Worker) interval(now time.Time, t *task, how string) Interval {
	return Interval{Run: t.Run, Task: t.Task.Task, Attempt: t.Attempt, VM: r.VM, From: t.began, To: now, Resumed: t.Checkpoint, How: how}
}

// change wakes those who watch.
func (r *Worker) change() {
	r.revision++
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Worker) stamp(now time.Time) time.Duration { return now.Sub(r.booted) }

// run lets a task run on, if the lease allows.
func (r *Worker) run(now time.Time, t *task) {
	if t.State == workerclient.StateRunning || t.State == workerclient.StateEnded {
		return
	}
	if r.stamp(now) >= r.until {
		t.State = workerclient.StatePaused
		return
	}
	t.State = workerclient.StateRunning
	t.began = now
}

// halt ends or pauses a running task and notes the interval.
func (r *Worker) halt(now time.Time, t *task, how string) {
	if t.State != workerclient.StateRunning {
		return
	}
	t.done += now.Sub(t.began)
	r.history = append(r.history, r.interval(now, t, how))
	t.State = workerclient.StatePaused
}

func (r *Worker) end(now time.Time, t *task, how string) {
	r.halt(now, t, how)
	t.State = workerclient.StateEnded
	t.How = how
	r.change()
}

// settle ends tasks that are done, and pauses all past the deadline. It is
// called with the lock held before each call is served, and by timers.
func (r *Worker) settle(now time.Time) {
	lapse := r.booted.Add(r.until)
	for _, t := range r.tasks {
		if t.State != workerclient.StateRunning {
			continue
		}
		end := t.began.Add(t.total - t.done)
		switch {
		case !end.After(now) && !end.After(lapse):
			r.end(end, t, r.outcome())
		case !lapse.After(now):
			r.halt(lapse, t, "")
		}
	}
	r.arm(now)
}

func (r *Worker) outcome() string {
	if r.FailTasks {
		return "failed"
	}
	return "done"
}

// arm sets a timer for the next task to end or the deadline.
func (r *Worker) arm(now time.Time) {
	next := time.Duration(-1)
	for _, t := range r.tasks {
		if t.State != workerclient.StateRunning {
			continue
		}
		left := min(t.began.Add(t.total-t.done).Sub(now), r.booted.Add(r.until).Sub(now))
		if next < 0 || left < next {
			next = left
		}
	}
	if next < 0 {
		return
	}
	r.wakes++
	wake := r.wakes
	time.AfterFunc(max(next, 0), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if wake == r.wakes && !r.dead {
			r.settle(time.Now())
		}
	})
}

func (r *Worker) status(now time.Time) workerclient.Status {
	s := workerclient.Status{Boot: r.boot, Revision: r.revision, Clock: r.stamp(now), Size: r.Size}
	for _, t := range r.tasks {
		s.Tasks = append(s.Tasks, t.Task)
	}
	return s
}

// errDead stands for a VM that does not answer.
var errDead = fmt.Errorf("the VM does not answer")

// enter begins a call of an agent.
func (r *Worker) enter(agent string) (time.Time, error) {
	now := time.Now()
	if r.dead {
		return now, errDead
	}
	if agent != "" && agent != r.agent {
		return now, workerclient.ErrSuperseded
	}
	r.settle(now)
	return now, nil
}

// Take makes the worker heed this agent process and no earlier one.
func (r *Worker) Take(_ context.Context, agent string) (workerclient.Status, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, err := r.enter("")
	if err != nil {
		return workerclient.Status{}, err
	}
	r.agent = agent
	r.change()
	return r.status(now), nil
}

// Watch returns the status when its revision differs, or after the wait.
func (r *Worker) Watch(ctx context.Context, agent string, revision int, wait time.Duration) (workerclient.Status, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := wait == 0; ; {
		r.mu.Lock()
		now, err := r.enter(agent)
		if err != nil {
			r.mu.Unlock()
			return workerclient.Status{}, err
		}
		status := r.status(now)
		changed := r.changed
		r.mu.Unlock()
		if waited || status.Revision != revision {
			return status, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-ctx.Done():
			return workerclient.Status{}, ctx.Err()
		}
	}
}

// Extend lets tasks run until the worker's clock shows the stamp.
func (r *Worker) Extend(_ context.Context, agent string, until time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, err := r.enter(agent)
	if err != nil {
		return err
	}
	r.until = max(r.until, until)
	for _, t := range r.tasks {
		r.run(now, t)
	}
	r.arm(now)
	return nil
}

// defaultDuration is how long a task runs if nothing else is set.
const defaultDuration = 2 * time.Second

func (r *Worker) duration(job string) time.Duration {
	if d, ok := r.TaskDurations[job]; ok {
		return d
	}
	if d, ok := r.TaskDurations[""]; ok {
		return d
	}
	return defaultDuration
}

// Start starts a task.
func (r *Worker) Start(_ context.Context, agent string, given workerclient.Task) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, err := r.enter(agent)
	if err != nil {
		return err
	}
	if r.tasks[given.Name()] != nil {
		return nil
	}
	t := &task{Task: given, total: r.duration(given.Job), done: parseCheckpoint(given.Checkpoint)}
	t.State = workerclient.StatePaused
	if r.FailTasks {
		t.total = 0
	}
	r.tasks[given.Name()] = t
	r.run(now, t)
	r.change()
	r.settle(now)
	return nil
}

// Stop ends a task, after a checkpoint where asked.
func (r *Worker) Stop(_ context.Context, agent string, name message.Attempt, checkpoint bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, err := r.enter(agent)
	if err != nil {
		return err
	}
	t := r.tasks[name]
	if t == nil || t.State == workerclient.StateEnded {
		return nil
	}
	r.halt(now, t, "stopped")
	how := "stopped"
	if checkpoint {
		how = "checkpointed"
		t.Checkpoint = formatCheckpoint(t.done, name)
	}
	t.State = workerclient.StateEnded
	t.How = how
	r.change()
	return nil
}

// Forget drops ended tasks.
func (r *Worker) Forget(_ context.Context, agent string, names []message.Attempt) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err := r.enter(agent); err != nil {
		return err
	}
	for _, name := range names {
		if t := r.tasks[name]; t != nil && t.State == workerclient.StateEnded {
			delete(r.tasks, name)
		}
	}
	return nil
}

func formatCheckpoint(done time.Duration, name message.Attempt) string {
	return fmt.Sprintf("%d@%s/%d/%d", done.Milliseconds(), name.Run, name.Task, name.Attempt)
}

func parseCheckpoint(text string) time.Duration {
	var ms int64
	_, _ = fmt.Sscanf(text, "%d@", &ms)
	return time.Duration(ms) * time.Millisecond
}
