// Package workerclient is the client of the platform's worker on the agent's
// VM.
package workerclient

import (
	"context"
	"errors"
	"time"

	"knapweedspur/internal/wire/message"
)

// ErrSuperseded means that another agent process has claimed the worker.
var ErrSuperseded = errors.New("another agent has taken this worker")

// The states of a task on a worker.
const (
	StateRunning = "running"
	StatePaused  = "paused"
	StateEnded   = "ended"
)

// Task is one task on the worker.
type Task struct {
	Run        string       `json:"run"`
	Task       int          `json:"task"`
	Attempt    int          `json:"attempt"`
	Job        string       `json:"job"`
	Size       message.Size `json:"size"`
	Checkpoint string       `json:"checkpoint"`
	State      string       `json:"state"`
	// How says how an ended task ended, with the same values as in a close
	// record.
	How string `json:"how"`
}

// Name identifies the attempt.
func (t *Task) Name() message.Attempt {
	return message.Attempt{Run: t.Run, Task: t.Task, Attempt: t.Attempt}
}

// Status is the state of a worker.
type Status struct {
	// Boot identifies the boot of the VM. It changes on every reboot.
	Boot string `json:"boot"`
	// Revision increases with every change to the tasks.
	Revision int `json:"revision"`
	// Clock is the worker's clock: the time since boot, including time in which
	// the VM was suspended.
	Clock time.Duration `json:"stamp"`
	// Size is the capacity of the VM for tasks.
	Size message.Size `json:"size"`
	// Tasks are the running tasks, and the ended ones that were not removed with
	// Forget.
	Tasks []Task `json:"tasks"`
}

// Worker is the interface to the worker. A different protocol needs only
// another implementation of it. Every call except Claim fails with ErrSuperseded
// once another agent process has claimed the worker.
type Worker interface {
	// Claim makes this agent process the one that controls the worker. Calls of
	// earlier processes are rejected from then on.
	Claim(ctx context.Context, agent string) (Status, error)
	// Watch returns the status once its revision differs from the given one, or
	// after the wait time.
	Watch(ctx context.Context, agent string, revision int, wait time.Duration) (Status, error)
	// Extend allows tasks to run until the worker's clock reaches the given
	// time. After that the worker pauses them on its own.
	Extend(ctx context.Context, agent string, until time.Duration) error
	// Start starts a task. It is idempotent.
	Start(ctx context.Context, agent string, t Task) error
	// Stop stops a task, after writing a checkpoint if requested.
	Stop(ctx context.Context, agent string, name message.Attempt, checkpoint bool) error
	// Forget removes ended tasks from the status.
	Forget(ctx context.Context, agent string, names []message.Attempt) error
}
