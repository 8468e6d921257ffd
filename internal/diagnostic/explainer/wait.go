package explainer

import (
	"fmt"
	"time"
)

// loadMessage is the message of the line with which a leader tells each second how
// full the VMs are and what waits.
const loadMessage = "load"

// wait is a time in which no task of the job was placed.
type wait struct {
	from, to time.Time
	// task is the one whose placement ended the wait.
	task string
}

// longestWait returns the longest time between a placement and the last line before
// it that accepted the job, or placed or ended one of its tasks.
func (t *Timeline) longestWait() wait {
	var longest wait
	var last time.Time
	for i := range t.Events {
		e := &t.Events[i]
		if !e.concerns(t.ID) {
			continue
		}
		switch e.Message {
		case "place":
			if !last.IsZero() && e.Time.Sub(last) > longest.to.Sub(longest.from) {
				longest = wait{last, e.Time, stringField(e, "task")}
			}
			last = e.Time
		case "accept", "end":
			last = e.Time
		}
	}
	return longest
}

// dropLoads drops the lines about load, but for those within a long wait.
func (t *Timeline) dropLoads() {
	w := t.longestWait()
	var kept []Event
	for _, e := range t.Events {
		within := w.to.Sub(w.from) > longWait && e.Time.After(w.from) && e.Time.Before(w.to)
		if e.Message != loadMessage || within {
			kept = append(kept, e)
		}
	}
	t.Events = kept
}

// loadDuringWait tells what the leader said of the load while the job waited.
func loadDuringWait(t *Timeline) string {
	var load *Event
	for i := range t.Events {
		if e := &t.Events[i]; e.Message == loadMessage {
			load = e
		}
	}
	if load == nil {
		return ""
	}
	w := t.longestWait()
	number := func(key string) float64 {
		n, _ := load.Fields[key].(float64)
		return n
	}
	evacuated := ""
	if n := number("evacuated"); n > 0 {
		evacuated = fmt.Sprintf(" %.0f of %.0f VMs were in evacuated failure domains.", n, number("vms"))
	}
	return fmt.Sprintf("Waited %s until %s was placed. Meanwhile %.0f fillers and %.0f other tasks waited; of %.0f cores %.0f were reserved, %.0f in use by others than fillers and %.0f by fillers; %.0f of %.0f fillers were slowed for serving tasks.",
		w.to.Sub(w.from).Round(time.Millisecond), w.task, number("waiting_fillers"), number("waiting"),
		number("millis")/1000, number("reserved")/1000, number("busy")/1000, number("filled")/1000, number("slowed"), number("fillers")) + evacuated
}
