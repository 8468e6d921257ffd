package losscounter

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"knapweedspur/internal/diagnostic/explainer"
	"knapweedspur/internal/job/jobmeasurer"
)

// pause is a time in which nobody led.
type pause struct{ from, to time.Time }

// overlap returns how much of a time nobody led.
func overlap(pauses []pause, from, to time.Time) time.Duration {
	sum := time.Duration(0)
	for _, p := range pauses {
		if since, until := later(from, p.from), earlier(to, p.to); until.After(since) {
			sum += until.Sub(since)
		}
	}
	return sum
}

// collector gathers the jobs from events.
type collector struct {
	jobs map[string]*job
	// ledAt is when the last line of a leader was written.
	ledAt  time.Time
	pauses []pause
}

// collect returns the accepted jobs in order of acceptance, when nobody led, and the time
// of the last event.
func collect(events []explainer.Event) (jobs []*job, pauses []pause, end time.Time) {
	c := &collector{jobs: map[string]*job{}}
	for i := range events {
		e := &events[i]
		end = e.Time
		c.add(e)
	}
	for _, j := range c.jobs {
		if !j.acceptedAt.IsZero() {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Or(a.acceptedAt.Compare(b.acceptedAt), cmp.Compare(a.id, b.id)) })
	return jobs, c.pauses, end
}

func (c *collector) add(e *explainer.Event) {
	if e.Message == "lead begins" && !c.ledAt.IsZero() {
		c.pauses = append(c.pauses, pause{c.ledAt, e.Time})
	}
	if _, leads := e.Fields["epoch"]; leads {
		c.ledAt = e.Time
	}
	switch e.Message {
	case "accept":
		if j := c.job(text(e, "job")); text(e, "outcome") == "done" && j.acceptedAt.IsZero() {
			j.acceptedAt, j.kind = e.Time, jobmeasurer.Kind(text(e, "kind"))
		}
	case "finish":
		if j := c.job(text(e, "job")); j.finishedAt.IsZero() {
			j.finishedAt, j.state, j.took, j.objective, j.work = e.Time, text(e, "state"), duration(e, "after"), duration(e, "objective"), number(e, "work")
		}
	case "sequence":
		j := c.job(text(e, "job"))
		j.behind = append(j.behind, change{e.Time, text(e, "class") != "in time"})
	case "place":
		t := c.task(e)
		t.runs = append(t.runs, run{number: int(number(e, "run")), placedAt: e.Time})
	case "end", "void":
		c.endRun(e)
	}
}

// endRun notes the end of a run; the first one counts.
func (c *collector) endRun(e *explainer.Event) {
	t := c.task(e)
	for i := range t.runs {
		if r := &t.runs[i]; r.number == int(number(e, "run")) && r.endsAt.IsZero() {
			r.endsAt, r.how, r.full = e.Time, cmp.Or(text(e, "how"), "lost"), duration(e, "full")
		}
	}
}

func (c *collector) job(id string) *job {
	if c.jobs[id] == nil {
		c.jobs[id] = &job{id: id, tasks: map[string]*task{}}
	}
	return c.jobs[id]
}

// task returns the task that an event names. One without a line about its start is not
// kept.
func (c *collector) task(e *explainer.Event) *task {
	name := text(e, "task")
	id, _, _ := strings.Cut(name, ".")
	j := c.job(id)
	t := j.tasks[name]
	if t == nil {
		t = &task{step: stepOf(name)}
		if e.Message == "place" {
			j.tasks[name] = t
		}
	}
	return t
}

func text(e *explainer.Event, key string) string {
	s, _ := e.Fields[key].(string)
	return s
}

func number(e *explainer.Event, key string) float64 {
	x, _ := e.Fields[key].(float64)
	return x
}

// duration returns a duration that is logged in nanoseconds.
func duration(e *explainer.Event, key string) time.Duration { return time.Duration(number(e, key)) }
