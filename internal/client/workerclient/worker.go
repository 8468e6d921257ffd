// Package workerclient reaches the platform's worker on the agent's own VM.
package workerclient

import (
	"context"
	"errors"
	"time"

	"knapweedspur/internal/wire/message"
)

// ErrSuperseded means that another agent process has taken the worker.
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
	// How tells in which way an ended task ended, as in a close record.
	How string `json:"how"`
}

// Name returns the attempt's name.
func (t *Task) Name() message.Attempt {
	return message.Attempt{Run: t.Run, Task: t.Task, Attempt: t.Attempt}
}

// Status is what a worker tells of itself.
type Status struct {
	// Boot changes when the VM starts anew.
	Boot string `json:"boot"`
	// Revision grows with each change of the tasks.
	Revision int `json:"revision"`
	// Stamp is the worker's clock, counted from its boot, also while the VM is
	// suspended.
	Clock time.Duration `json:"stamp"`
	// Size is what the VM has for tasks.
	Size message.Size `json:"size"`
	// Tasks are the tasks that run, and the ended ones not yet forgotten.
	Tasks []Task `json:"tasks"`
}

// Worker is the narrow interface to the worker. Another protocol means another
// implementation of it. Each call but Take fails with ErrSuperseded once
// another agent process has taken the worker.
type Worker interface {
	// Take makes the worker heed this agent process and no earlier one.
	Take(ctx context.Context, agent string) (Status, error)
	// Watch returns the status when its revision differs from the given one,
	// or after the wait.
	Watch(ctx context.Context, agent string, revision int, wait time.Duration) (Status, error)
	// Extend lets tasks run until the worker's clock shows the stamp. Past it
	// the worker pauses them by itself.
	Extend(ctx context.Context, agent string, until time.Duration) error
	// Start starts a task. Starting it twice is the same as once.
	Start(ctx context.Context, agent string, t Task) error
	// Stop ends a task, after a checkpoint where asked.
	Stop(ctx context.Context, agent string, name message.Attempt, checkpoint bool) error
	// Forget drops ended tasks.
	Forget(ctx context.Context, agent string, names []message.Attempt) error
}
