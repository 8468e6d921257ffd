// Package requestexecutor passes the requests that entries send to the upstream
// on the agent's VM, and streams the answers back.
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
	// MaxPartBytes is the maximum size of one part of an answer.
	MaxPartBytes = 32 << 10
	// Window is the flow-control window: how many parts of an answer may be sent
	// before the entry grants more credit.
	Window = 16
)

// Sender sends frames to one entry.
type Sender interface {
	Send(f *message.Frame) error
}

// Executor runs requests. Set the exported fields before use.
type Executor struct {
	// Admitter decides whether each request is accepted.
	Admitter *requestadmitter.Admitter
	Upstream upstreamclient.Upstream

	active sync.WaitGroup
	counts Counts
}

// Counts are the totals of an executor. An abandoned request may also be counted
// as refused, failed or served.
type Counts struct {
	Served, Refused, Failed, Abandoned atomic.Int64
}

// Counts returns the totals. They keep changing while requests run.
func (e *Executor) Counts() *Counts { return &e.counts }

// Wait blocks until no request is running.
func (e *Executor) Wait() { e.active.Wait() }

// LinkRequests holds the requests of one link, the connection to one entry.
type LinkRequests struct {
	executor *Executor
	sender   Sender
	mu       sync.Mutex
	running  map[uint64]*runningRequest
}

type runningRequest struct {
	cancel context.CancelFunc
	credit chan int
}

// NewLinkRequests returns an empty set of requests for the connection to one
// entry.
func (e *Executor) NewLinkRequests(sender Sender) *LinkRequests {
	return &LinkRequests{executor: e, sender: sender, running: map[uint64]*runningRequest{}}
}

// Close cancels all requests of the link.
func (l *LinkRequests) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, running := range l.running {
		running.cancel()
	}
}

// Abandon cancels one request.
func (l *LinkRequests) Abandon(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if running := l.running[id]; running != nil {
		l.executor.counts.Abandoned.Add(1)
		running.cancel()
	}
}

// Credit grants the answer of a request further parts.
func (l *LinkRequests) Credit(id uint64, parts int) {
	l.mu.Lock()
	running := l.running[id]
	l.mu.Unlock()
	if running == nil {
		return
	}
	select {
	case running.credit <- parts:
	default:
	}
}

// Serve asks the admitter about a request that has just arrived, and runs it in
// the background unless it is refused.
func (l *LinkRequests) Serve(now time.Time, r *message.Request) {
	deadline := now.Add(r.TimeLeft)
	admission, refusal := l.executor.Admitter.Admit(now, deadline)
	if refusal != nil {
		l.executor.counts.Refused.Add(1)
		l.sendFault(r.ID, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	running := &runningRequest{cancel: cancel, credit: make(chan int, Window)}
	l.mu.Lock()
	l.running[r.ID] = running
	l.mu.Unlock()
	l.executor.active.Add(1)
	go func() {
		defer l.executor.active.Done()
		defer l.remove(r.ID)
		defer cancel()
		l.run(ctx, running, admission, r)
	}()
}

func (l *LinkRequests) remove(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, id)
}

func (l *LinkRequests) sendFault(id uint64, e *verdict.Error) {
	_ = l.sender.Send(&message.Frame{Answer: &message.Answer{ID: id, Last: true, Fault: e.Fault()}})
}

// run waits until a slot is free, sends the request to the upstream and streams
// the answer back.
func (l *LinkRequests) run(ctx context.Context, running *runningRequest, admission *requestadmitter.Admission, r *message.Request) {
	select {
	case <-admission.Ready:
	case <-ctx.Done():
		if l.executor.Admitter.Withdraw(admission) {
			l.executor.counts.Refused.Add(1)
			l.sendFault(r.ID, &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.DeadlineExceeded, Reason: "the request was given up while it waited"})
			return
		}
		<-admission.Ready
	}
	if e := admission.Err(); e != nil {
		l.executor.counts.Refused.Add(1)
		l.sendFault(r.ID, e)
		return
	}
	defer func() { l.executor.Admitter.Release(time.Now(), admission) }()
	resp, err := l.executor.Upstream.Do(ctx, r)
	if err != nil {
		l.executor.counts.Failed.Add(1)
		l.sendFault(r.ID, classifyFailure(ctx, err))
		return
	}
	defer resp.Body.Close()
	l.streamAnswer(ctx, running, r.ID, resp)
}

// classifyFailure converts an error of the upstream client to a failure whose
// verdict says whether the request may have been executed.
func classifyFailure(ctx context.Context, err error) *verdict.Error {
	if errors.Is(err, upstreamclient.ErrNotSent) {
		return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Unavailable, Reason: "the upstream did not take the connection", RetryAfter: time.Second}
	}
	if ctx.Err() != nil {
		return &verdict.Error{Verdict: verdict.Unknown, Cause: verdict.DeadlineExceeded, Reason: "the deadline passed while the request ran"}
	}
	return &verdict.Error{Verdict: verdict.Unknown, Cause: verdict.UpstreamFailure, Reason: "the upstream broke off: " + err.Error()}
}

// partBuffers holds buffers for parts of answers.
var partBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, MaxPartBytes)
	return &buffer
}}

// streamAnswer sends the answer in parts as it is read. The last part is marked
// as such; if the answer ends early, it carries a fault.
func (l *LinkRequests) streamAnswer(ctx context.Context, running *runningRequest, id uint64, resp *upstreamclient.Response) {
	buffer := partBuffers.Get().(*[]byte)
	defer partBuffers.Put(buffer)
	credit := Window
	part := &message.Answer{ID: id, Status: resp.Status, Header: resp.Header}
	for {
		n, err := resp.Body.Read(*buffer)
		part.Data = (*buffer)[:n]
		l.finishPart(part, err)
		if l.sender.Send(&message.Frame{Answer: part}) != nil || part.Last {
			return
		}
		part = &message.Answer{ID: id}
		credit, err = running.waitForCredit(ctx, credit-1)
		if err != nil {
			l.sendFault(id, &verdict.Error{Verdict: verdict.Ran, Cause: verdict.DeadlineExceeded, Reason: "the answer was given up on its way"})
			return
		}
	}
}

// finishPart marks the last part of an answer according to the read error, if
// any.
func (l *LinkRequests) finishPart(part *message.Answer, err error) {
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		part.Last = true
		l.executor.counts.Served.Add(1)
	default:
		part.Last = true
		part.Fault = (&verdict.Error{Verdict: verdict.Ran, Cause: verdict.UpstreamFailure, Reason: "the answer was cut: " + err.Error()}).Fault()
		l.executor.counts.Failed.Add(1)
	}
}

// waitForCredit blocks until there is credit and returns how much there is.
func (running *runningRequest) waitForCredit(ctx context.Context, credit int) (int, error) {
	for {
		select {
		case n := <-running.credit:
			credit += n
			continue
		default:
		}
		if credit > 0 {
			return credit, nil
		}
		select {
		case n := <-running.credit:
			credit += n
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}
