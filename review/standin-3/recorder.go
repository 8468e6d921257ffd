package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, and keeps what the checks need.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	// starts counts the runs that began, by task.
	starts map[string]int
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, began: time.Now(), starts: map[string]int{}}, nil
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
	r.lineLocked("worker %s: start of %s run %d", worker, task, run)
}

func (r *recorder) ended(worker, task string, run int, how string) {
	r.line("worker %s: end of %s run %d: %s", worker, task, run, how)
}

// noted records that an end was taken note of.
func (r *recorder) noted(worker, task string, run int, how string) {
	r.line("worker %s: end of %s run %d (%s) is taken note of", worker, task, run, how)
}

// hasStarted reports whether a run of a task has begun.
func (r *recorder) hasStarted(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[task] > 0
}
