// Package explainer builds the timeline of one job or task from the logs of any
// number of processes: what was decided, from which inputs, and the likely cause
// of what went wrong.
package explainer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// Event is one log line of a timeline.
type Event struct {
	Time    time.Time      `json:"time"`
	Process string         `json:"process"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Timeline holds the log lines that concern one job or task, in order of time.
type Timeline struct {
	ID     string  `json:"id"`
	Events []Event `json:"events"`
	// Causes are the likely causes of problems, the most telling first.
	Causes []string `json:"causes"`
}

// Read collects the lines that concern the job or task with the given id: those
// that name it, those about the state of VMs that its runs were on, and those
// about events that affect all work.
func Read(id string, sources ...io.Reader) (*Timeline, error) {
	all, err := ReadEvents(sources...)
	if err != nil {
		return nil, err
	}
	timeline := &Timeline{ID: id}
	vms := map[string]bool{}
	for _, e := range all {
		if e.concerns(id) {
			if vm, ok := e.Fields["vm"].(string); ok {
				vms[vm] = true
			}
		}
	}
	for _, e := range all {
		if e.concerns(id) || e.affectsVM(vms) || e.affectsAll() {
			timeline.Events = append(timeline.Events, e)
		}
	}
	timeline.trim()
	timeline.dropLoads()
	timeline.Causes = causes(timeline)
	return timeline, nil
}

// ReadEvents returns all lines of logs, in order of time.
func ReadEvents(sources ...io.Reader) ([]Event, error) {
	var all []Event
	for _, source := range sources {
		scanner := bufio.NewScanner(source)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
		for scanner.Scan() {
			if e, ok := parse(scanner.Text()); ok {
				all = append(all, e)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
	return all, nil
}

// parse reads a JSON log line. Text before the JSON object is ignored.
func parse(line string) (Event, bool) {
	start := strings.IndexByte(line, '{')
	if start < 0 {
		return Event{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(line[start:]), &fields) != nil {
		return Event{}, false
	}
	message, ok := fields["@message"].(string)
	if !ok {
		return Event{}, false
	}
	e := Event{Message: message, Fields: fields}
	e.Process, _ = fields["@module"].(string)
	if stamp, ok := fields["@timestamp"].(string); ok {
		// A line without a valid time is kept and sorts first.
		e.Time, _ = time.Parse(time.RFC3339Nano, stamp)
	}
	for _, key := range []string{"@message", "@module", "@timestamp", "@level"} {
		delete(fields, key)
	}
	return e, true
}

// concerns reports whether an event is about the job or task with an id, the job
// of such a task, or a task of such a job.
func (e *Event) concerns(id string) bool {
	job, _ := e.Fields["job"].(string)
	task, _ := e.Fields["task"].(string)
	return job != "" && strings.HasPrefix(id, job) || task == id || strings.HasPrefix(task, id+".")
}

// affectsVM reports whether an event changes the known state of one of the VMs.
func (e *Event) affectsVM(vms map[string]bool) bool {
	vm, _ := e.Fields["vm"].(string)
	switch e.Message {
	case "worker crashed", "crash judged", "revoke", "session", "gone", slowVMMessage, "VM sound again", "worker drains", "worker gone", "worker found", "another worker process answers", "lease over on a worker that does not answer":
		return vms[vm]
	}
	return false
}

// affectsAll reports whether an event affects all work.
func (e *Event) affectsAll() bool {
	switch e.Message {
	case "lead begins", "lead ends", "fenced", "log lost", "log regained", "lines folded", loadMessage:
		return true
	}
	return false
}

// contextMargin is how long before the first and after the last line about the
// id other lines are shown.
const contextMargin = 2 * time.Second

// trim drops lines that are too long before the first or after the last line
// about the id.
func (t *Timeline) trim() {
	var first, last time.Time
	for i := range t.Events {
		if e := &t.Events[i]; e.concerns(t.ID) {
			if first.IsZero() {
				first = e.Time
			}
			last = e.Time
		}
	}
	var kept []Event
	for _, e := range t.Events {
		if e.Time.After(first.Add(-contextMargin)) && e.Time.Before(last.Add(contextMargin)) {
			kept = append(kept, e)
		}
	}
	t.Events = kept
}

// Print writes the timeline and the causes as text.
func (t *Timeline) Print(w io.Writer) {
	if len(t.Events) == 0 {
		fmt.Fprintf(w, "%s: no line names it; are these the logs of all processes of that time?\n", t.ID)
		return
	}
	began := t.Events[0].Time
	for _, e := range t.Events {
		var fields []string
		for key, value := range e.Fields {
			fields = append(fields, fmt.Sprintf("%s=%v", key, value))
		}
		sort.Strings(fields)
		fmt.Fprintf(w, "%10s  %-22s %-24s %s\n", e.Time.Sub(began).Round(time.Millisecond), e.Process, e.Message, strings.Join(fields, " "))
	}
	fmt.Fprintln(w)
	for i, cause := range t.Causes {
		fmt.Fprintf(w, "%d. %s\n", i+1, cause)
	}
}
