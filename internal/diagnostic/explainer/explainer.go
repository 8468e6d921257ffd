// Package explainer reads the logs of any number of processes and tells the
// story of one job or task: what was decided, from which inputs, and the
// likely cause of what went wrong.
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

// Event is one log line that belongs to the story.
type Event struct {
	Time    time.Time      `json:"time"`
	Process string         `json:"process"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Story is what the logs tell of one id.
type Timeline struct {
	ID     string  `json:"id"`
	Events []Event `json:"events"`
	// Causes are the likely causes, the strongest first.
	Causes []string `json:"causes"`
}

// Read collects the lines that concern an id: those that name it, and those of
// the VMs that its runs were on.
func Read(id string, sources ...io.Reader) (*Timeline, error) {
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
	story := &Timeline{ID: id}
	vms := map[string]bool{}
	for _, e := range all {
		if e.names(id) {
			if vm, ok := e.Fields["vm"].(string); ok {
				vms[vm] = true
			}
		}
	}
	for _, e := range all {
		if e.names(id) || e.ofVM(vms) || e.ofAll() {
			story.Events = append(story.Events, e)
		}
	}
	story.trim()
	story.Causes = causes(story)
	return story, nil
}

// parse reads a line of JSON, whatever precedes it.
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
		// A line without a readable time is kept, first in order.
		e.Time, _ = time.Parse(time.RFC3339Nano, stamp)
	}
	for _, key := range []string{"@message", "@module", "@timestamp", "@level"} {
		delete(fields, key)
	}
	return e, true
}

// names says whether an event is about the job or task of an id.
func (e *Event) names(id string) bool {
	job, _ := e.Fields["job"].(string)
	task, _ := e.Fields["task"].(string)
	return job != "" && strings.HasPrefix(id, job) || task == id || strings.HasPrefix(task, id+".")
}

// ofVM says whether an event changes what is believed of a VM of the story.
func (e *Event) ofVM(vms map[string]bool) bool {
	vm, _ := e.Fields["vm"].(string)
	switch e.Message {
	case "revoke", "session", "gone", "worker drains", "worker gone", "worker found", "lease over on a worker that does not answer":
		return vms[vm]
	}
	return false
}

// ofAll says whether an event concerns all work.
func (e *Event) ofAll() bool {
	switch e.Message {
	case "lead begins", "lead ends", "fenced", "log lost", "log regained", "lines folded":
		return true
	}
	return false
}

// margin is how long before the first and after the last line about the id
// other lines are shown.
const margin = 2 * time.Second

// trim drops what lies far outside of the story.
func (s *Timeline) trim() {
	var first, last time.Time
	for i := range s.Events {
		if e := &s.Events[i]; e.names(s.ID) {
			if first.IsZero() {
				first = e.Time
			}
			last = e.Time
		}
	}
	var kept []Event
	for _, e := range s.Events {
		if e.Time.After(first.Add(-margin)) && e.Time.Before(last.Add(margin)) {
			kept = append(kept, e)
		}
	}
	s.Events = kept
}

// Print writes the story for a reader.
func (s *Timeline) Print(w io.Writer) {
	if len(s.Events) == 0 {
		fmt.Fprintf(w, "%s: no line names it; are these the logs of all processes of that time?\n", s.ID)
		return
	}
	began := s.Events[0].Time
	for _, e := range s.Events {
		var fields []string
		for key, value := range e.Fields {
			fields = append(fields, fmt.Sprintf("%s=%v", key, value))
		}
		sort.Strings(fields)
		fmt.Fprintf(w, "%10s  %-22s %-24s %s\n", e.Time.Sub(began).Round(time.Millisecond), e.Process, e.Message, strings.Join(fields, " "))
	}
	fmt.Fprintln(w)
	for i, cause := range s.Causes {
		fmt.Fprintf(w, "%d. %s\n", i+1, cause)
	}
}
