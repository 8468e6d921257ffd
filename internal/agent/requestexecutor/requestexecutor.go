// Package requestexecutor runs the requests that entries send on the upstream beside
// the agent.
package requestexecutor

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"knapweedspur/internal/agent/requestadmitter"
	"knapweedspur/internal/client/upstreamclient"
	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/wire/message"
)

const (
	// PartSize is the most bytes of one part of an answer.
	MaxPartBytes = 32 << 10
	// Window is how many parts may be on their way without credit.
	Window = 16
)

// Sender sends frames to one entry.
type Sender interface {
	Send(f *message.Frame) error
}

// Server runs requests. Set the exported fields before use.
type Executor struct {
	// Admitter has the last word on each request.
	Admitter *requestadmitter.Admitter
	// Upstream runs the requests.
	Upstream upstreamclient.Upstream

	active sync.WaitGroup
	counts Counts
}

// Counts are the totals of a server.
type Counts struct {
	Served, Refused, Failed, Abandoned atomic.Int64
}

// Counts returns the totals, which go on changing.
func (s *Executor) Counts() *Counts { return &s.counts }

// Wait returns when no request is left.
func (s *Executor) Wait() { s.active.Wait() }

// Link is the requests of one entry.
type LinkRequests struct {
	server *Executor
	sender Sender
	mu     sync.Mutex
	calls  map[uint64]*call
}

type call struct {
	cancel context.CancelFunc
	credit chan int
}

// NewLink returns the place for the requests of one entry.
func (s *Executor) NewLinkRequests(sender Sender) *LinkRequests {
	return &LinkRequests{server: s, sender: sender, calls: map[uint64]*call{}}
}

// Close gives up all requests of the entry.
func (l *LinkRequests) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.calls {
		c.cancel()
	}
}

// Abandon gives up one request.
func (l *LinkRequests) Abandon(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.calls[id]; c != nil {
		l.server.counts.Abandoned.Add(1)
		c.cancel()
	}
}

// Credit lets more parts of an answer go out.
func (l *LinkRequests) Credit(id uint64, parts int) {
	l.mu.Lock()
	c := l.calls[id]
	l.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case c.credit <- parts:
	default:
	}
}

// Serve admits a request that has just arrived and runs it in the background.
func (l *LinkRequests) Serve(now time.Time, r *message.Request) {
	deadline := now.Add(r.Left)
	turn, refused := l.server.Admitter.Admit(now, deadline)
	if refused != nil {
		l.server.counts.Refused.Add(1)
		l.fault(r.ID, refused)
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	c := &call{cancel: cancel, credit: make(chan int, Window)}
	l.mu.Lock()
	l.calls[r.ID] = c
	l.mu.Unlock()
	l.server.active.Add(1)
	go func() {
		defer l.server.active.Done()
		defer l.forget(r.ID)
		defer cancel()
		l.run(ctx, c, turn, r)
	}()
}

func (l *LinkRequests) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, id)
}

func (l *LinkRequests) fault(id uint64, e *verdict.Error) {
	_ = l.sender.Send(&message.Frame{Answer: &message.Answer{ID: id, Last: true, Fault: e.Fault()}})
}

// run waits for the turn, runs the request and passes the answer on.
func (l *LinkRequests) run(ctx context.Context, c *call, turn *requestadmitter.Admission, r *message.Request) {
	select {
	case <-turn.Ready:
	case <-ctx.Done():
		if l.server.Admitter.Withdraw(turn) {
			l.server.counts.Refused.Add(1)
			l.fault(r.ID, &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.DeadlineExceeded, Reason: "the request was given up while it waited"})
			return
		}
		<-turn.Ready
	}
	if e := turn.Err(); e != nil {
		l.server.counts.Refused.Add(1)
		l.fault(r.ID, e)
		return
	}
	defer func() { l.server.Admitter.Release(time.Now(), turn) }()
	resp, err := l.server.Upstream.Do(ctx, r)
	if err != nil {
		l.server.counts.Failed.Add(1)
		l.fault(r.ID, failure(ctx, err))
		return
	}
	defer resp.Body.Close()
	l.pass(ctx, c, r.ID, resp)
}

// failure tells whether a failed request may have run.
func failure(ctx context.Context, err error) *verdict.Error {
	if errors.Is(err, upstreamclient.ErrNotSent) {
		return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Unavailable, Reason: "the upstream did not take the connection", RetryAfter: time.Second}
	}
	if ctx.Err() != nil {
		return &verdict.Error{Verdict: verdict.Unknown, Cause: verdict.DeadlineExceeded, Reason: "the deadline passed while the request ran"}
	}
	return &verdict.Error{Verdict: verdict.Unknown, Cause: verdict.UpstreamFailure, Reason: "the upstream broke off: " + err.Error()}
}

// parts holds buffers for parts of answers.
var parts = sync.Pool{New: func() any {
	buffer := make([]byte, MaxPartBytes)
	return &buffer
}}

// pass sends the answer as it comes. The last part says so, and a cut answer
// ends with a fault.
func (l *LinkRequests) pass(ctx context.Context, c *call, id uint64, resp *upstreamclient.Response) {
	buffer := parts.Get().(*[]byte)
	defer parts.Put(buffer)
	credit := Window
	part := &message.Answer{ID: id, Status: resp.Status, Header: resp.Header}
	for {
		n, err := resp.Body.Read(*buffer)
		part.Data = (*buffer)[:n]
		l.finish(part, err)
		if l.sender.Send(&message.Frame{Answer: part}) != nil || part.Last {
			return
		}
		part = &message.Answer{ID: id}
		credit, err = c.wait(ctx, credit-1)
		if err != nil {
			l.fault(id, &verdict.Error{Verdict: verdict.Ran, Cause: verdict.DeadlineExceeded, Reason: "the answer was given up on its way"})
			return
		}
	}
}

// finish marks the last part of an answer.
func (l *LinkRequests) finish(part *message.Answer, err error) {
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		part.Last = true
		l.server.counts.Served.Add(1)
	default:
		part.Last = true
		part.Fault = (&verdict.Error{Verdict: verdict.Ran, Cause: verdict.UpstreamFailure, Reason: "the answer was cut: " + err.Error()}).Fault()
		l.server.counts.Failed.Add(1)
	}
}

// wait returns the credit when there is some.
func (c *call) wait(ctx context.Context, credit int) (int, error) {
	for {
		select {
		case n := <-c.credit:
			credit += n
			continue
		default:
		}
		if credit > 0 {
			return credit, nil
		}
		select {
		case n := <-c.credit:
			credit += n
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}
