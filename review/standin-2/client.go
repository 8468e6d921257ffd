package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// clientDeadline is the time limit of a client's request.
	clientDeadline = 3 * time.Second
	// maxAttempts and retryPause are those of a client's submission.
	maxAttempts = 5
	retryPause  = 300 * time.Millisecond
	// readyTimeout bounds the wait for the fleet.
	readyTimeout = 15 * time.Second
)

// step is one step of a submission.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMb       int    `json:"memMb"`
	EstimateMs  int    `json:"estDurationMs,omitempty"`
	Requires    string `json:"requires,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
	DependsOn   []int  `json:"dependsOn,omitempty"`
}

// send sends a request about a submission to an entry. It returns status 0 without an
// answer.
func (f *fleet) send(entry int, method, id, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.address(1, entry)+"/jobs/"+id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "queue.example"
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	status, answer := 0, ""
	resp, err := client.Do(req)
	if err == nil {
		data, readErr := io.ReadAll(resp.Body)
		if err = readErr; err == nil {
			status, answer = resp.StatusCode, strings.TrimSpace(string(data))
		}
		_ = resp.Body.Close() // it was read whole
	}
	if err != nil {
		answer = err.Error()
	}
	f.note("client: %s %s at front-%d -> %d %s", method, id, entry, status, answer)
	return status, answer
}

// submit submits a submission until it is accepted, and returns when that was confirmed.
func (f *fleet) submit(entries []int, id string, steps ...step) (time.Time, error) {
	body, err := json.Marshal(map[string]any{"spec": "work", "steps": steps})
	if err != nil {
		return time.Time{}, err
	}
	for i := range maxAttempts {
		if status, _ := f.send(entries[i%len(entries)], http.MethodPost, id, string(body)); status == http.StatusOK {
			return time.Now(), nil
		}
		time.Sleep(retryPause)
	}
	return time.Time{}, fmt.Errorf("%s was not accepted", id)
}

// state returns the state of a submission, empty without an answer that has one.
func (f *fleet) state(entry int, id string) string {
	_, answer := f.send(entry, http.MethodGet, id, "")
	var v struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(answer), &v) != nil {
		return ""
	}
	return v.State
}

// pending returns the number of submissions without a start that an entry tells.
func (f *fleet) pending(entry int) (int, bool) {
	status, answer := f.send(entry, http.MethodGet, "", "")
	var v struct {
		Pending *int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &v) != nil || v.Pending == nil {
		return 0, false
	}
	return *v.Pending, true
}

// warmUp submits one short task after the other until one has started on each worker.
func (f *fleet) warmUp(entry int) error {
	for n, begin := 0, time.Now(); time.Since(begin) < readyTimeout; n++ {
		id := fmt.Sprintf("%016x", 0xf000+n)
		if _, err := f.submit([]int{entry}, id, step{Count: 2 * len(f.workers), CPU: workerCPU / 2, MemMb: workerMemory / 2, EstimateMs: 300}); err != nil {
			return err
		}
		time.Sleep(time.Second)
		if f.allStarted(id) {
			return nil
		}
	}
	return fmt.Errorf("not all workers got tasks within %s", readyTimeout)
}

// allStarted reports whether a task of a submission has started on each worker.
func (f *fleet) allStarted(id string) bool {
	for _, w := range f.workers {
		started := false
		w.mu.Lock()
		for task := range w.starts {
			started = started || strings.HasPrefix(task, id)
		}
		w.mu.Unlock()
		if !started {
			return false
		}
	}
	return true
}

// countDone counts the tasks of a submission that have ended done anywhere.
func (f *fleet) countDone(id string) int {
	tasks := map[string]bool{}
	for _, w := range f.workers {
		w.mu.Lock()
		for task := range w.done {
			if strings.HasPrefix(task, id) {
				tasks[task] = true
			}
		}
		w.mu.Unlock()
	}
	return len(tasks)
}

// begun reports whether a task of a submission has started anywhere.
func (f *fleet) begun(id string) bool {
	for _, w := range f.workers {
		w.mu.Lock()
		started := false
		for task := range w.starts {
			started = started || strings.HasPrefix(task, id)
		}
		w.mu.Unlock()
		if started {
			return true
		}
	}
	return false
}

// runsNow reports whether a task of a submission runs anywhere.
func (f *fleet) runsNow(id string) bool {
	for _, w := range f.workers {
		w.mu.Lock()
		running := false
		if w.life != nil {
			for task := range w.life.running {
				running = running || strings.HasPrefix(task, id)
			}
		}
		w.mu.Unlock()
		if running {
			return true
		}
	}
	return false
}

// waitUntil waits for a condition and reports whether it came about in time.
func waitUntil(limit time.Duration, condition func() bool) bool {
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(tick) {
		if condition() {
			return true
		}
	}
	return false
}
