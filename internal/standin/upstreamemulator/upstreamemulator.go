// Package upstreamemulator emulates an upstream in tests and the demo. Its answers
// echo the request, so that a client can detect an answer to another request.
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

// IDHeader carries the ID of a request; the answer repeats it.
const IDHeader = "Load-Id"

// maxBodyBytes is the largest body that is echoed or generated, in bytes.
const maxBodyBytes = 16 << 20

// Upstream is an emulated upstream. Set the exported fields before use.
type Upstream struct {
	// ServiceTime is the mean time that a request takes.
	ServiceTime time.Duration
	// Jitter is the share of ServiceTime by which requests deviate from it, 0 to 1.
	Jitter float64

	mu           sync.Mutex
	slowdown     float64
	loseEvery    int
	servedCount  int
	runsByID     map[string]int
	inFlight     int
	peakInFlight int
	lastRequest  time.Time
}

// RunCounts returns how often each request ID ran.
func (u *Upstream) RunCounts() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	counts := make(map[string]int, len(u.runsByID))
	for id, n := range u.runsByID {
		counts[id] = n
	}
	return counts
}

// SetSlowdown multiplies the service time of later requests by a factor.
func (u *Upstream) SetSlowdown(factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slowdown = factor
}

// LoseResponses makes one in the given number of requests run and lose its
// response, 0 for none.
func (u *Upstream) LoseResponses(every int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loseEvery = every
}

// shouldLoseResponse reports whether to lose the response to this request.
func (u *Upstream) shouldLoseResponse() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.servedCount++
	return u.loseEvery > 0 && u.servedCount%u.loseEvery == 0
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
	m.HandleFunc("/", u.serveRequest)
	return m
}

func (u *Upstream) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(IDHeader)
	serviceTime := u.beginRequest(id)
	defer u.endRequest()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if serviceTime > 0 {
		select {
		case <-time.After(serviceTime):
		case <-r.Context().Done():
			return
		}
	}
	if u.shouldLoseResponse() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(IDHeader, id)
	var size int
	if n, _ := fmt.Sscan(r.URL.Query().Get("size"), &size); n == 1 && size > 0 && size <= maxBodyBytes {
		_, _ = io.WriteString(w, strings.Repeat("x", size))
		return
	}
	fmt.Fprintf(w, "%s %s %s ", r.Method, r.URL.Path, id)
	_, _ = w.Write(body)
}

// beginRequest counts a request and returns its service time.
func (u *Upstream) beginRequest(id string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight++
	u.peakInFlight = max(u.peakInFlight, u.inFlight)
	u.lastRequest = time.Now()
	if id != "" {
		if u.runsByID == nil {
			u.runsByID = map[string]int{}
		}
		u.runsByID[id]++
	}
	serviceTime := float64(u.ServiceTime) * (1 + u.Jitter*(2*rand.Float64()-1))
	if u.slowdown > 0 {
		serviceTime *= u.slowdown
	}
	return time.Duration(serviceTime)
}

func (u *Upstream) endRequest() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

// PeakInFlight returns the highest number of requests that ran at once.
func (u *Upstream) PeakInFlight() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.peakInFlight
}

// LastRequest returns when the latest request arrived.
func (u *Upstream) LastRequest() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastRequest
}
