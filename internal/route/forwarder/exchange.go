package forwarder

import (
	"sync"
	"sync/atomic"

	"knapweedspur/internal/wire/message"
)

// Exchange matches the answers of one agent to the pending requests on its
// connection. An answer to a request that is no longer pending is dropped and
// counted.
type Exchange struct {
	mu      sync.Mutex
	pending map[uint64]*pendingRequest
	closed  bool
	orphans atomic.Int64
}

// pendingRequest is a request that waits for its answer.
type pendingRequest struct {
	parts        chan *message.Answer
	disconnected chan struct{}
}

// answerWindow is how many parts of an answer are buffered: a few more than an
// agent may send without further credit.
const answerWindow = 24

// NewExchange returns an empty exchange.
func NewExchange() *Exchange { return &Exchange{pending: map[uint64]*pendingRequest{}} }

// Orphans returns how many answers arrived for requests that were no longer
// pending.
func (x *Exchange) Orphans() int64 { return x.orphans.Load() }

// register adds a pending request. It returns nil if the connection has ended.
func (x *Exchange) register(id uint64) *pendingRequest {
	c := &pendingRequest{parts: make(chan *message.Answer, answerWindow), disconnected: make(chan struct{})}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed {
		return nil
	}
	x.pending[id] = c
	return c
}

func (x *Exchange) unregister(id uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.pending, id)
}

// Deliver passes a part of an answer to its request. It returns false if the
// agent sent more parts than it had credit for; the caller then closes the
// connection.
func (x *Exchange) Deliver(a *message.Answer) bool {
	x.mu.Lock()
	c := x.pending[a.ID]
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

// Close fails all pending requests.
func (x *Exchange) Close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed {
		return
	}
	x.closed = true
	for _, c := range x.pending {
		close(c.disconnected)
	}
}
