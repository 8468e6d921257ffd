// Package workeremulator emulates the platform's worker in tests and the demo. Its
// tasks only wait; a checkpoint holds their progress.
package workeremulator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"knapweedspur/internal/client/workerclient"
	"knapweedspur/internal/wire/message"
)

// Interval is a period in which an attempt ran without a pause.
type Interval struct {
	Run     string    `json:"run"`
	Task    int       `json:"task"`
	Attempt int       `json:"attempt"`
	VM      string    `json:"vm"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	// Resumed is the checkpoint that the attempt resumed from.
	Resumed string `json:"resumed"`
	// How is how the attempt ended, empty if it was paused or is still running.
	How string `json:"how"`
}

// Worker is an emulated worker. Set the exported fields, then call Boot.
type Worker struct {
	// VM is the name of the VM.
	VM string
	// Size is the capacity of the VM.
	Size message.Size
	// TaskDurations is how long a task of each job runs; the key "" applies to
	// jobs that are not listed.
	TaskDurations map[string]time.Duration
	// FailTasks makes every task fail at once.
	FailTasks bool

	mu              sync.Mutex
	bootID          string
	bootTime        time.Time
	bootCount       int
	agent           string
	revision        int
	changed         chan struct{}
	expiresAt       time.Duration
	tasks           map[message.Attempt]*task
	history         []Interval
	down            bool
	timerGeneration int
}

type task struct {
	workerclient.Task
	progress  time.Duration
	duration  time.Duration
	startedAt time.Time
}

// Boot starts or restarts the VM, with no tasks.
func (w *Worker) Boot(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bootCount++
	w.bootID = fmt.Sprintf("%s-%d-%d", w.VM, w.bootCount, now.UnixNano())
	w.bootTime = now
	w.down = false
	w.agent = ""
	w.expiresAt = 0
	w.tasks = map[message.Attempt]*task{}
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	w.notifyWatchers()
}

// Kill stops the VM at once; its tasks are lost.
func (w *Worker) Kill(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		w.pause(now, t, "killed")
	}
	w.tasks = map[message.Attempt]*task{}
	w.down = true
}

// History returns the intervals in which attempts ran, open ones up to now.
func (w *Worker) History(now time.Time) []Interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	intervals := append([]Interval(nil), w.history...)
	for _, t := range w.tasks {
		if t.State == workerclient.StateRunning {
			intervals = append(intervals, w.newInterval(now, t, ""))
		}
	}
	return intervals
}

func (w *Worker) newInterval(now time.Time, t *task, how string) Interval {
	return Interval{Run: t.Run, Task: t.Task.Task, Attempt: t.Attempt, VM: w.VM, From: t.startedAt, To: now, Resumed: t.Checkpoint, How: how}
}

// notifyWatchers raises the revision and wakes pending Watch calls.
func (w *Worker) notifyWatchers() {
	w.revision++
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) uptime(now time.Time) time.Duration { return now.Sub(w.bootTime) }

// resume runs a task that is not ended, or pauses it if the lease has expired.
func (w *Worker) resume(now time.Time, t *task) {
	if t.State == workerclient.StateRunning || t.State == workerclient.StateEnded {
		return
	}
	if w.uptime(now) >= w.expiresAt {
		t.State = workerclient.StatePaused
		return
	}
	t.State = workerclient.StateRunning
	t.startedAt = now
}

// pause pauses a running task and records its interval.
func (w *Worker) pause(now time.Time, t *task, how string) {
	if t.State != workerclient.StateRunning {
		return
	}
	t.progress += now.Sub(t.startedAt)
	w.history = append(w.history, w.newInterval(now, t, how))
	t.State = workerclient.StatePaused
}

func (w *Worker) endTask(now time.Time, t *task, how string) {
	w.pause(now, t, how)
	t.State = workerclient.StateEnded
	t.How = how
	w.notifyWatchers()
}

// advance ends tasks whose duration has elapsed, and pauses all others once the
// lease has expired. It is called with the lock held, before each call is served
// and by timers.
func (w *Worker) advance(now time.Time) {
	expiry := w.bootTime.Add(w.expiresAt)
	for _, t := range w.tasks {
		if t.State != workerclient.StateRunning {
			continue
		}
		end := t.startedAt.Add(t.duration - t.progress)
		switch {
		case !end.After(now) && !end.After(expiry):
			w.endTask(end, t, w.completionOutcome())
		case !expiry.After(now):
			w.pause(expiry, t, "")
		}
	}
	w.scheduleAdvance(now)
}

func (w *Worker) completionOutcome() string {
	if w.FailTasks {
		return "failed"
	}
	return "done"
}

// scheduleAdvance sets a timer for the next task end or the expiry of the lease.
// An earlier timer is invalidated by its generation.
func (w *Worker) scheduleAdvance(now time.Time) {
	soonest := time.Duration(-1)
	for _, t := range w.tasks {
		if t.State != workerclient.StateRunning {
			continue
		}
		remaining := min(t.startedAt.Add(t.duration-t.progress).Sub(now), w.bootTime.Add(w.expiresAt).Sub(now))
		if soonest < 0 || remaining < soonest {
			soonest = remaining
		}
	}
	if soonest < 0 {
		return
	}
	w.timerGeneration++
	generation := w.timerGeneration
	time.AfterFunc(max(soonest, 0), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if generation == w.timerGeneration && !w.down {
			w.advance(time.Now())
		}
	})
}

func (w *Worker) status(now time.Time) workerclient.Status {
	s := workerclient.Status{Boot: w.bootID, Revision: w.revision, Clock: w.uptime(now), Size: w.Size}
	for _, t := range w.tasks {
		s.Tasks = append(s.Tasks, t.Task)
	}
	return s
}

// errDown stands for the missing answer of a killed VM.
var errDown = fmt.Errorf("the VM does not answer")

// beginCall starts to serve a call of an agent: it rejects calls to a killed VM and
// from superseded agents, and brings the tasks up to date. An empty agent is not
// checked.
func (w *Worker) beginCall(agent string) (time.Time, error) {
	now := time.Now()
	if w.down {
		return now, errDown
	}
	if agent != "" && agent != w.agent {
		return now, workerclient.ErrSuperseded
	}
	w.advance(now)
	return now, nil
}

// Claim makes this agent process the only one whose calls the worker accepts.
func (w *Worker) Claim(_ context.Context, agent string) (workerclient.Status, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.beginCall("")
	if err != nil {
		return workerclient.Status{}, err
	}
	w.agent = agent
	w.notifyWatchers()
	return w.status(now), nil
}

// Watch returns the status once its revision differs from the given one, or after
// the wait.
func (w *Worker) Watch(ctx context.Context, agent string, revision int, wait time.Duration) (workerclient.Status, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := wait == 0; ; {
		w.mu.Lock()
		now, err := w.beginCall(agent)
		if err != nil {
			w.mu.Unlock()
			return workerclient.Status{}, err
		}
		status := w.status(now)
		changed := w.changed
		w.mu.Unlock()
		if expired || status.Revision != revision {
			return status, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return workerclient.Status{}, ctx.Err()
		}
	}
}

// Extend extends the lease: tasks may run until the worker's clock, the time since
// boot, reaches the given value.
func (w *Worker) Extend(_ context.Context, agent string, until time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.beginCall(agent)
	if err != nil {
		return err
	}
	w.expiresAt = max(w.expiresAt, until)
	for _, t := range w.tasks {
		w.resume(now, t)
	}
	w.scheduleAdvance(now)
	return nil
}

// defaultDuration is how long a task runs if TaskDurations does not cover its job.
const defaultDuration = 2 * time.Second

func (w *Worker) taskDuration(job string) time.Duration {
	if d, ok := w.TaskDurations[job]; ok {
		return d
	}
	if d, ok := w.TaskDurations[""]; ok {
		return d
	}
	return defaultDuration
}

// Start starts a task. A repeated start has no effect.
func (w *Worker) Start(_ context.Context, agent string, spec workerclient.Task) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.beginCall(agent)
	if err != nil {
		return err
	}
	if w.tasks[spec.Name()] != nil {
		return nil
	}
	t := &task{Task: spec, duration: w.taskDuration(spec.Job), progress: parseCheckpoint(spec.Checkpoint)}
	t.State = workerclient.StatePaused
	if w.FailTasks {
		t.duration = 0
	}
	w.tasks[spec.Name()] = t
	w.resume(now, t)
	w.notifyWatchers()
	w.advance(now)
	return nil
}

// Stop ends a task, with a checkpoint if requested.
func (w *Worker) Stop(_ context.Context, agent string, attempt message.Attempt, checkpoint bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, err := w.beginCall(agent)
	if err != nil {
		return err
	}
	t := w.tasks[attempt]
	if t == nil || t.State == workerclient.StateEnded {
		return nil
	}
	w.pause(now, t, "stopped")
	how := "stopped"
	if checkpoint {
		how = "checkpointed"
		t.Checkpoint = formatCheckpoint(t.progress, attempt)
	}
	t.State = workerclient.StateEnded
	t.How = how
	w.notifyWatchers()
	return nil
}

// Forget removes ended tasks.
func (w *Worker) Forget(_ context.Context, agent string, attempts []message.Attempt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.beginCall(agent); err != nil {
		return err
	}
	for _, attempt := range attempts {
		if t := w.tasks[attempt]; t != nil && t.State == workerclient.StateEnded {
			delete(w.tasks, attempt)
		}
	}
	return nil
}

func formatCheckpoint(progress time.Duration, attempt message.Attempt) string {
	return fmt.Sprintf("%d@%s/%d/%d", progress.Milliseconds(), attempt.Run, attempt.Task, attempt.Attempt)
}

func parseCheckpoint(text string) time.Duration {
	var ms int64
	_, _ = fmt.Sscanf(text, "%d@", &ms)
	return time.Duration(ms) * time.Millisecond
}
