package losscounter

import (
	"slices"
	"strings"
	"time"

	"knapweedspur/internal/job/jobmeasurer"
)

// run is a run of a task.
type run struct {
	number           int
	placedAt, endsAt time.Time
	// how is how it ended, full the time that it would have taken at full speed.
	how  string
	full time.Duration
}

// task is a task with its runs in order.
type task struct {
	step string
	runs []run
}

// job is a job as the logs show it.
type job struct {
	id         string
	kind       jobmeasurer.Kind
	acceptedAt time.Time
	finishedAt time.Time
	state      string
	took       time.Duration
	objective  time.Duration
	work       float64
	tasks      map[string]*task
	// behind are the times from which the job was put behind others, or no longer.
	behind []change
}

type change struct {
	at     time.Time
	behind bool
}

// causeOfEnd returns the cause for which a run that did not complete is to blame.
func causeOfEnd(how string) Cause {
	switch how {
	case "done":
		return Unknown
	case "failed":
		return Failed
	case "stopped":
		return Moved
	default:
		return Lost
	}
}

func (t *task) open() bool { return t.runs[len(t.runs)-1].endsAt.IsZero() }

// endedAt returns when the last run of a task ended, end if it did not.
func (t *task) endedAt(end time.Time) time.Time {
	if t.open() {
		return end
	}
	return t.runs[len(t.runs)-1].endsAt
}

// lastEnded returns the task that ended last up to a time, nil if there is none.
func (j *job) lastEnded(until time.Time) *task {
	var last *task
	for _, t := range j.sortedTasks() {
		if t.open() || t.endedAt(until).After(until) {
			continue
		}
		if last == nil || t.endedAt(until).After(last.endedAt(until)) {
			last = t
		}
	}
	return last
}

func (j *job) sortedTasks() []*task {
	names := make([]string, 0, len(j.tasks))
	for name := range j.tasks {
		names = append(names, name)
	}
	slices.Sort(names)
	list := make([]*task, len(names))
	for i, name := range names {
		list[i] = j.tasks[name]
	}
	return list
}

// stepOf returns the name of the step of a task.
func stepOf(name string) string { return name[:max(strings.LastIndexByte(name, '.'), 0)] }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
