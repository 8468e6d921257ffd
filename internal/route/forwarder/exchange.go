package forwarder

import (
	"sync"
	"sync/atomic"

	"knapweedspur/internal/wire/message"
)

// Exchange matches the answers of one agent to the requests that wait for
// them. An answer whose request is gone is dropped and counted.
type Exchange struct {
	mu      sync.Mutex
	waiting map[uint64]*call
	closed  bool
	orphans atomic.Int64
}

// call is a request that waits for its answer.
type call struct {
	parts chan *message.Answer
	lost  chan struct{}
}

// window is how many parts an agent may send without credit, and a few more.
const window = 24

// NewExchange returns an empty exchange.
func NewExchange() *Exchange { return &Exchange{waiting: map[uint64]*call{}} }

// Orphans returns how many answers came for requests that were gone.
func (x *Exchange) Orphans() int64 { return x.orphans.Load() }

// begin notes a request, or returns nil if the connection has ended.
func (x *Exchange) begin(id uint64) *call {
	c := &call{parts: make(chan *message.Answer, window), lost: make(chan struct{})}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed {
		return nil
	}
	x.waiting[id] = c
	return c
}

func (x *Exchange) end(id uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.waiting, id)
}

// Deliver hands an answer to its request. It returns false if the agent sent
// more than it had credit for; the connection is then of no use.
func (x *Exchange) Deliver(a *message.Answer) bool {
	x.mu.Lock()
	c := x.waiting[a.ID]
	x.mu.Unlock()
	if c == nil {
		x.orphans.Add(1)
		return true
	}
	select {
	case c.parts <- a:
		return true
	default:
		return false
	}
}

// Close fails all requests that wait.
func (x *Exchange) Close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed {
		return
	}
	x.closed = true
	for _, c := range x.waiting {
		close(c.lost)
	}
}
