package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// decideTime and eachTime are decideMs and eachMs of the queue, ticketTime is validMs.
	decideTime, eachTime = 500 * time.Millisecond, 120 * time.Millisecond
	ticketTime           = 3 * time.Second
	// maxWaitingCalls is how many calls may wait, maxNamed how many workers a call may name.
	maxWaitingCalls, maxNamed = 32, 100
)

// advisor is a stand-in of the service that knows which workers may run a step. Here all may.
type advisor struct {
	record *recorder
	turn   sync.Mutex

	mu      sync.Mutex
	waiting int
	tickets map[string]ticket
}

type ticket struct {
	worker, step string
	expires      time.Time
}

// ServeHTTP answers a call after its time, one call at a time. It stops working on a call whose
// caller is gone.
func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var question struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&question); err != nil || len(question.Workers) > maxNamed {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !a.enter(1) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	a.enter(-1)
	took := decideTime + time.Duration(len(question.Workers))*eachTime
	select {
	case <-time.After(took):
	case <-r.Context().Done():
		a.record.line("advice: the caller gave up on %s, %d workers, before the %s that it takes", question.Step, len(question.Workers), took)
		return
	}
	good := [][]string{}
	for _, id := range question.Workers {
		good = append(good, []string{id, a.issue(id, question.Step)})
	}
	a.record.line("advice: %s, %d workers, answered after %s", question.Step, len(question.Workers), took)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "validMs": ticketTime.Milliseconds()}) // the caller may be gone
}

// enter changes the number of calls that wait, unless there are too many.
func (a *advisor) enter(change int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if change > 0 && a.waiting >= maxWaitingCalls {
		return false
	}
	a.waiting += change
	return true
}

func (a *advisor) issue(worker, step string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tickets == nil {
		a.tickets = map[string]ticket{}
	}
	name := fmt.Sprintf("t-%08x", len(a.tickets))
	a.tickets[name] = ticket{worker, step, time.Now().Add(ticketTime)}
	return name
}

// valid reports whether a ticket allows a worker to run a step.
func (a *advisor) valid(name, worker, step string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, known := a.tickets[name]
	return known && t.worker == worker && t.step == step && time.Now().Before(t.expires)
}
