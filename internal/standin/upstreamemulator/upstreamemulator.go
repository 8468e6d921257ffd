// Package upstreamemulator stands in for an upstream in tests and the demo. Its
// answers echo what the request asked, so that a mix-up shows.
package upstreamemulator

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// IDHeader names a request; the answer repeats it.
const IDHeader = "Load-Id"

// maxBody is the largest body that is echoed, in bytes.
const maxBody = 16 << 20

// Responder is an upstream. Set the exported fields before use.
type Upstream struct {
	// Service is how long a request takes.
	ServiceTime time.Duration
	// Spread is the share of Service by which requests differ, 0 to 1.
	Jitter float64

	mu     sync.Mutex
	slow   float64
	broken int
	served int
	runs   map[string]int
	active int
	peak   int
	last   time.Time
}

// Runs returns how often each named request ran.
func (u *Upstream) RunCounts() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make(map[string]int, len(u.runs))
	for id, n := range u.runs {
		runs[id] = n
	}
	return runs
}

// Slow multiplies the service time from now on.
func (u *Upstream) SetSlowdown(factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slow = factor
}

// Break makes one in so many requests run and lose its answer, 0 for none.
func (u *Upstream) LoseResponses(one int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.broken = one
}

// loses reports whether this request's answer is to be lost.
func (u *Upstream) loses() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.served++
	return u.broken > 0 && u.served%u.broken == 0
}

// Handler returns the upstream's routes.
func (u *Upstream) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	m.HandleFunc("/standin/runs", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(u.RunCounts()) })
	m.HandleFunc("/standin/slow", func(w http.ResponseWriter, r *http.Request) {
		var factor float64
		_, _ = fmt.Sscan(r.URL.Query().Get("factor"), &factor)
		u.SetSlowdown(factor)
	})
	m.HandleFunc("/", u.serve)
	return m
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(IDHeader)
	took := u.begin(id)
	defer u.end()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if took > 0 {
		select {
		case <-time.After(took):
		case <-r.Context().Done():
			return
		}
	}
	if u.loses() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(IDHeader, id)
	var size int
	if n, _ := fmt.Sscan(r.URL.Query().Get("size"), &size); n == 1 && size > 0 && size <= maxBody {
		_, _ = io.WriteString(w, strings.Repeat("x", size))
		return
	}
	fmt.Fprintf(w, "%s %s %s ", r.Method, r.URL.Path, id)
	_, _ = w.Write(body)
}

// begin notes a run and returns how long it takes.
func (u *Upstream) begin(id string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.active++
	u.peak = max(u.peak, u.active)
	u.last = time.Now()
	if id != "" {
		if u.runs == nil {
			u.runs = map[string]int{}
		}
		u.runs[id]++
	}
	took := float64(u.ServiceTime) * (1 + u.Jitter*(2*rand.Float64()-1))
	if u.slow > 0 {
		took *= u.slow
	}
	return time.Duration(took)
}

func (u *Upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.active--
}

// Peak returns the most requests that ran at once.
func (u *Upstream) PeakInFlight() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.peak
}

// Last returns when the last request came.
func (u *Upstream) LastRequest() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.last
}
