// Package requestadmitter decides which requests the upstream beside the agent takes.
// It has the last word: what it refuses has not run.
package requestadmitter

import (
	"container/heap"
	"sync"
	"time"

	"knapweedspur/internal/fault/verdict"
)

const (
	// smoothing is the weight of one more run in the mean run time.
	smoothing = 0.1
	// minAfter is the shortest time after which a caller is asked back.
	minAfter = 100 * time.Millisecond
)

// Turn is an admitted request's place. Ready is closed when it may run or has
// been refused; Err then tells which.
type Admission struct {
	Ready chan struct{}

	deadline time.Time
	started  time.Time
	index    int
	err      *verdict.Error
}

// Err returns why the turn was refused, or nil. Call it after Ready.
func (t *Admission) Err() *verdict.Error { return t.err }

// Admitter holds the ledger of one upstream's requests.
type Admitter struct {
	mu          sync.Mutex
	slots       int
	connections int
	running     int
	queue       turns
	mean        time.Duration
	leaving     bool
	closed      bool
}

// New returns an admitter that takes nothing until Set.
func New() *Admitter { return &Admitter{closed: true} }

// Set applies declared limits: slots run at once, connections are held at once.
func (a *Admitter) SetLimits(now time.Time, slots, connections int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = slots
	a.connections = max(connections, slots)
	a.advance(now)
}

// SetOpen tells whether the upstream is healthy.
func (a *Admitter) SetHealthy(open bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = !open
}

// Leave makes the admitter refuse all that still comes.
func (a *Admitter) StartShutdown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
}

// Load is what the admitter holds.
type Load struct {
	Running, Queued int
	// Healthy is what SetOpen was last told; Open also needs limits set.
	ShuttingDown, Open, Healthy bool
}

// Load returns what the admitter holds now.
func (a *Admitter) Load() Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Load{Running: a.running, Queued: len(a.queue), ShuttingDown: a.leaving, Open: !a.closed && a.slots > 0, Healthy: !a.closed}
}

// Admit takes a request or refuses it. A refused request has not run.
func (a *Admitter) Admit(now, deadline time.Time) (*Admission, *verdict.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.refusal(now, deadline); err != nil {
		return nil, err
	}
	t := &Admission{Ready: make(chan struct{}), deadline: deadline}
	heap.Push(&a.queue, t)
	a.advance(now)
	return t, nil
}

func (a *Admitter) refusal(now, deadline time.Time) *verdict.Error {
	if a.leaving {
		return refuse(verdict.Unavailable, "the upstream is leaving", minAfter)
	}
	if a.closed || a.slots == 0 {
		return refuse(verdict.Unavailable, "the upstream is not ready", time.Second)
	}
	if !now.Before(deadline) {
		return refuse(verdict.DeadlineExceeded, "the deadline passed before the request could start", 0)
	}
	if a.running+len(a.queue) >= a.connections {
		return refuse(verdict.Overload, "all connections of the upstream are in use", a.drainTime(1))
	}
	if a.running < a.slots {
		return nil
	}
	ahead := a.queue.before(deadline) + 1
	if now.Add(a.drainTime(ahead) + a.mean).After(deadline) {
		return refuse(verdict.Overload, "the request would not end before its deadline", a.drainTime(len(a.queue)+1))
	}
	return nil
}

func refuse(cause verdict.Cause, reason string, after time.Duration) *verdict.Error {
	return &verdict.Error{Verdict: verdict.Unrun, Cause: cause, Reason: reason, RetryAfter: after}
}

// drainTime returns how long n departures take at the measured rate.
func (a *Admitter) drainTime(n int) time.Duration {
	if a.slots == 0 {
		return time.Second
	}
	return time.Duration(n) * a.mean / time.Duration(a.slots)
}

// advance starts the waiting requests that there are slots for, the earliest
// deadline first.
func (a *Admitter) advance(now time.Time) {
	for a.running < a.slots && len(a.queue) > 0 {
		t := heap.Pop(&a.queue).(*Admission)
		if !now.Before(t.deadline) {
			t.err = refuse(verdict.DeadlineExceeded, "the deadline passed before the request could start", a.drainTime(1))
			close(t.Ready)
			continue
		}
		t.started = now
		a.running++
		close(t.Ready)
	}
}

// Withdraw gives up a turn that has not started and returns true, or returns
// false if it has started or was refused.
func (a *Admitter) Withdraw(t *Admission) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.index < 0 || t.index >= len(a.queue) || a.queue[t.index] != t {
		return false
	}
	heap.Remove(&a.queue, t.index)
	return true
}

// Release ends a turn that has started.
func (a *Admitter) Release(now time.Time, t *Admission) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	took := now.Sub(t.started)
	if a.mean == 0 {
		a.mean = took
	}
	a.mean += time.Duration(smoothing * float64(took-a.mean))
	a.advance(now)
}

// turns is a heap by deadline.
type turns []*Admission

func (q turns) Len() int           { return len(q) }
func (q turns) Less(i, j int) bool { return q[i].deadline.Before(q[j].deadline) }
func (q turns) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push adds a turn, for package heap.
func (q *turns) Push(x any) {
	t := x.(*Admission)
	t.index = len(*q)
	*q = append(*q, t)
}

// Pop removes the last turn, for package heap.
func (q *turns) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	t.index = -1
	return t
}

// before returns how many turns have an earlier deadline.
func (q turns) before(deadline time.Time) int {
	n := 0
	for _, t := range q {
		if t.deadline.Before(deadline) {
			n++
		}
	}
	return n
}
