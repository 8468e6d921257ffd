package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// step is a step of a submission, as PROTOCOL.md writes it.
type step struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu"`
	MemMb    int    `json:"memMb"`
	Estimate int    `json:"estDurationMs"`
	Requires string `json:"requires,omitempty"`
	// LongRunning tasks last until their submission is ended by its client.
	LongRunning bool `json:"longRunning,omitempty"`
}

func newBody(data []byte) io.Reader { return bytes.NewReader(data) }

// jobBody returns the body of a submission.
func jobBody(steps ...step) []byte {
	data, err := json.Marshal(map[string]any{"spec": "s", "steps": steps})
	if err != nil {
		panic(err) // plain values have an encoding
	}
	return data
}

// timedBody returns the body of a submission with times.
func timedBody(first time.Time, interval time.Duration, times int, steps ...step) []byte {
	data, err := json.Marshal(map[string]any{"spec": "s", "steps": steps, "startAtMs": first.UnixMilli(), "intervalMs": interval.Milliseconds(), "repeatCount": times})
	if err != nil {
		panic(err) // plain values have an encoding
	}
	return data
}

func jobID(kind, number int) string { return fmt.Sprintf("%08x%08x", kind, number) }

// maxTries is how often a consumer sends a submission.
const maxTries = 5

// submit sends a submission to a path until it is accepted, and reports whether it was. Each try goes
// to the next entry.
func (c *cluster) submit(entries []*process, number int, path string, body []byte) bool {
	for try := range maxTries {
		status, _ := c.send(entries[(number+try)%len(entries)], http.MethodPost, path, body)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of the submission at a path, at the next entry if there is no
// answer.
func (c *cluster) state(entries []*process, path string) string {
	for _, p := range entries {
		if status, state := c.send(p, http.MethodGet, path, nil); status == http.StatusOK {
			return state
		}
	}
	return ""
}

// waitCompleted waits until the submission at a path is shown as completed, and reports whether
// it was in time.
func (c *cluster) waitCompleted(entries []*process, path string, limit time.Duration) bool {
	for since := time.Now(); time.Since(since) < limit; time.Sleep(200 * time.Millisecond) {
		if c.state(entries, path) == "completed" {
			return true
		}
	}
	return false
}
