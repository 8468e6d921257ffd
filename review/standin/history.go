package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// submission is what a client hands in. Run holds how long the tasks of each step take,
// which only the workers know.
type submission struct {
	ID          string          `json:"-"`
	Spec        string          `json:"spec"`
	Steps       []step          `json:"steps"`
	StartAtMs   int64           `json:"startAtMs,omitempty"`
	IntervalMs  int64           `json:"intervalMs,omitempty"`
	RepeatCount int             `json:"repeatCount,omitempty"`
	Run         []time.Duration `json:"-"`
}

type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMb        int    `json:"memMb"`
	EstimateMs   int64  `json:"estDurationMs"`
	DependsOn    []int  `json:"dependsOn,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Requires     string `json:"requires,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
}

// event is a start or an end of a run, as a worker saw it.
type event struct {
	at      time.Time
	machine string
	worker  string
	task    string
	run     int
	// how is empty for a start.
	how string
}

// history holds what clients, workers and the platform saw, and writes it to record.txt.
type history struct {
	mu          sync.Mutex
	file        *os.File
	began       time.Time
	submissions map[string]*submission
	events      []event
}

func newHistory(path string) (*history, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &history{file: file, began: time.Now(), submissions: map[string]*submission{}}, nil
}

// add writes a line with the time since the begin.
func (h *history) add(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.line(format, args...)
}

func (h *history) line(format string, args ...any) {
	fmt.Fprintf(h.file, "%8.3f s  %s\n", time.Since(h.began).Seconds(), fmt.Sprintf(format, args...))
}

func (h *history) started(machine, worker, task string, run int) {
	h.note(event{time.Now(), machine, worker, task, run, ""})
}

func (h *history) ended(machine, worker, task string, run int, how string) {
	h.note(event{time.Now(), machine, worker, task, run, how})
}

func (h *history) note(e event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
	how := e.how
	if how == "" {
		how = "starts"
	}
	h.line("run %d of %s on %s: %s", e.run, e.task, e.worker, how)
}

// all returns the events so far.
func (h *history) all() []event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]event(nil), h.events...)
}

// register makes the tasks of a submission known to the workers.
func (h *history) register(s *submission) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.submissions[s.ID] = s
}

// durationOf returns how long a task runs.
func (h *history) durationOf(task string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, stepNumber := splitTask(task)
	return h.submissions[id].Run[stepNumber]
}

// splitTask returns the submission and the step that a task belongs to.
func splitTask(task string) (id string, stepNumber int) {
	parts := strings.Split(task, ".")
	stepNumber, _ = strconv.Atoi(parts[2]) // the names of tasks are checked by nobody else
	return parts[0], stepNumber
}

// sizeOf returns the step of a task, for what the task reserves.
func (h *history) sizeOf(task string) *step {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, stepNumber := splitTask(task)
	return &h.submissions[id].Steps[stepNumber]
}

// taskState is what the workers know of a task. running holds the machine of each run.
type taskState struct {
	running map[string]string
	done    bool
	starts  int
}

// tasks returns the state of all tasks that were started.
func (h *history) tasks() map[string]*taskState {
	states := map[string]*taskState{}
	for _, e := range h.all() {
		t := states[e.task]
		if t == nil {
			t = &taskState{running: map[string]string{}}
			states[e.task] = t
		}
		key := fmt.Sprint(e.worker, e.run)
		if e.how == "" {
			t.starts++
			t.running[key] = e.machine
			continue
		}
		delete(t.running, key)
		t.done = t.done || e.how == "done"
	}
	return states
}
