// Package requestadmitter decides which requests the upstream on the agent's VM
// accepts. Its decision is final: a refused request has not been executed.
package requestadmitter

import (
	"container/heap"
	"sync"
	"time"

	"knapweedspur/internal/fault/verdict"
)

const (
	// smoothingFactor is the weight of the newest request in the moving average
	// of the run time.
	smoothingFactor = 0.1
	// shutdownRetryAfter is the retry delay returned to a caller while the upstream
	// shuts down.
	shutdownRetryAfter = 100 * time.Millisecond
)

// Admission is a request in the queue or running. Ready is closed when the
// request may run or has been refused; Err then returns which.
type Admission struct {
	Ready chan struct{}

	deadline time.Time
	started  time.Time
	index    int
	err      *verdict.Error
}

// Err returns why the request was refused, or nil if it may run. Call it only
// after Ready is closed.
func (a *Admission) Err() *verdict.Error { return a.err }

// Admitter tracks one upstream's running and queued requests.
type Admitter struct {
	mu           sync.Mutex
	slots        int
	connections  int
	running      int
	queue        admissionQueue
	meanRunTime  time.Duration
	shuttingDown bool
	unhealthy    bool
}

// New returns an admitter that refuses all requests until SetLimits and
// SetHealthy are called.
func New() *Admitter { return &Admitter{unhealthy: true} }

// SetLimits applies the declared limits: slots is the number of requests that
// run at once, connections the number that run or wait.
func (a *Admitter) SetLimits(now time.Time, slots, connections int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = slots
	a.connections = max(connections, slots)
	a.startQueued(now)
}

// SetHealthy sets whether the upstream is healthy.
func (a *Admitter) SetHealthy(healthy bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unhealthy = !healthy
}

// StartShutdown makes the admitter refuse all new requests.
func (a *Admitter) StartShutdown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shuttingDown = true
}

// Load is the current load of an admitter.
type Load struct {
	Running, Queued int
	// Healthy is the value last passed to SetHealthy. Open additionally requires
	// that limits are set.
	ShuttingDown, Open, Healthy bool
}

// Load returns the current load.
func (a *Admitter) Load() Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Load{Running: a.running, Queued: len(a.queue), ShuttingDown: a.shuttingDown, Open: !a.unhealthy && a.slots > 0, Healthy: !a.unhealthy}
}

// Admit queues a request or refuses it. A refused request has not been
// executed.
func (a *Admitter) Admit(now, deadline time.Time) (*Admission, *verdict.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkAdmission(now, deadline); err != nil {
		return nil, err
	}
	admission := &Admission{Ready: make(chan struct{}), deadline: deadline}
	heap.Push(&a.queue, admission)
	a.startQueued(now)
	return admission, nil
}

func (a *Admitter) checkAdmission(now, deadline time.Time) *verdict.Error {
	if a.shuttingDown {
		return newRefusal(verdict.Unavailable, "the upstream is leaving", shutdownRetryAfter)
	}
	if a.unhealthy || a.slots == 0 {
		return newRefusal(verdict.Unavailable, "the upstream is not ready", time.Second)
	}
	if !now.Before(deadline) {
		return newRefusal(verdict.DeadlineExceeded, "the deadline passed before the request could start", 0)
	}
	if a.running+len(a.queue) >= a.connections {
		return newRefusal(verdict.Overload, "all connections of the upstream are in use", a.timeToFinish(1))
	}
	if a.running < a.slots {
		return nil
	}
	ahead := a.queue.countBefore(deadline) + 1
	if now.Add(a.timeToFinish(ahead) + a.meanRunTime).After(deadline) {
		return newRefusal(verdict.Overload, "the request would not end before its deadline", a.timeToFinish(len(a.queue)+1))
	}
	return nil
}

func newRefusal(cause verdict.Cause, reason string, retryAfter time.Duration) *verdict.Error {
	return &verdict.Error{Verdict: verdict.Unrun, Cause: cause, Reason: reason, RetryAfter: retryAfter}
}

// timeToFinish estimates how long it takes until n requests have finished, from
// the average run time.
func (a *Admitter) timeToFinish(n int) time.Duration {
	if a.slots == 0 {
		return time.Second
	}
	return time.Duration(n) * a.meanRunTime / time.Duration(a.slots)
}

// startQueued starts queued requests while there are free slots, those with the
// earliest deadline first.
func (a *Admitter) startQueued(now time.Time) {
	for a.running < a.slots && len(a.queue) > 0 {
		admission := heap.Pop(&a.queue).(*Admission)
		if !now.Before(admission.deadline) {
			admission.err = newRefusal(verdict.DeadlineExceeded, "the deadline passed before the request could start", a.timeToFinish(1))
			close(admission.Ready)
			continue
		}
		admission.started = now
		a.running++
		close(admission.Ready)
	}
}

// Withdraw removes a request from the queue. It returns false if the request
// was already started or refused.
func (a *Admitter) Withdraw(admission *Admission) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if admission.index < 0 || admission.index >= len(a.queue) || a.queue[admission.index] != admission {
		return false
	}
	heap.Remove(&a.queue, admission.index)
	return true
}

// Release records that a started request has finished.
func (a *Admitter) Release(now time.Time, admission *Admission) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	runTime := now.Sub(admission.started)
	if a.meanRunTime == 0 {
		a.meanRunTime = runTime
	}
	a.meanRunTime += time.Duration(smoothingFactor * float64(runTime-a.meanRunTime))
	a.startQueued(now)
}

// admissionQueue is a heap ordered by deadline.
type admissionQueue []*Admission

func (q admissionQueue) Len() int           { return len(q) }
func (q admissionQueue) Less(i, j int) bool { return q[i].deadline.Before(q[j].deadline) }
func (q admissionQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *admissionQueue) Push(x any) {
	admission := x.(*Admission)
	admission.index = len(*q)
	*q = append(*q, admission)
}

// Pop implements heap.Interface.
func (q *admissionQueue) Pop() any {
	last := len(*q) - 1
	admission := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	admission.index = -1
	return admission
}

// countBefore returns how many queued requests have an earlier deadline.
func (q admissionQueue) countBefore(deadline time.Time) int {
	n := 0
	for _, admission := range q {
		if admission.deadline.Before(deadline) {
			n++
		}
	}
	return n
}
