package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, and keeps what the checks need.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	// done holds the tasks with an end `done`.
	done map[string]bool
	// failures counts the ends `failed`, losses the runs lost in a crash, by task.
	failures, losses map[string]int
	// starts counts the runs that began, by task.
	starts map[string]int
	// beside counts the runs of a step that are at work on a worker, most is the highest number
	// that there was.
	beside map[string]int
	most   int
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, began: time.Now(), done: map[string]bool{}, failures: map[string]int{}, losses: map[string]int{}, starts: map[string]int{}, beside: map[string]int{}}, nil
}

// line writes a line with the time since the beginning.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lineLocked(format, args...)
}

func (r *recorder) lineLocked(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line and prints it.
func (r *recorder) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) started(worker, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task]++
	r.beside[besideKey(worker, task)]++
	r.most = max(r.most, r.beside[besideKey(worker, task)])
	r.lineLocked("worker %s: start of %s run %d", worker, task, run)
}

// besideKey names the tasks of a step on a worker.
func besideKey(worker, task string) string { return worker + " " + task[:strings.LastIndex(task, ".")] }

func (r *recorder) ended(worker, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beside[besideKey(worker, task)]--
	switch how {
	case "done":
		r.done[task] = true
	case "failed":
		r.failures[task]++
	case "crashed":
		r.losses[task]++
	}
	r.lineLocked("worker %s: end of %s run %d: %s", worker, task, run, how)
}

// noted records that an end was taken note of.
func (r *recorder) noted(worker, task string, run int, how string) {
	r.line("worker %s: end of %s run %d (%s) is taken note of", worker, task, run, how)
}

func (r *recorder) isDone(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done[task]
}

// counts returns how often runs of a task began, failed and were lost in a crash.
func (r *recorder) counts(task string) (starts, failures, losses int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[task], r.failures[task], r.losses[task]
}

// resetMost forgets the highest number of runs of a step on a worker.
func (r *recorder) resetMost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.most = 0
}
