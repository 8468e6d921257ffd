package forwarder

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"knapweedspur/internal/entry/agenttracker"
	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/wire/message"
)

// randomSources holds random sources, so that requests that select an upstream at
// the same time do not share one.
var randomSources = sync.Pool{New: func() any {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}}

// send sends the request to one upstream and passes the answer on to the caller.
func (t *transfer) send(now time.Time, agent *agenttracker.Agent, w http.ResponseWriter, r *http.Request) *verdict.Error {
	t.tried = append(t.tried, agent)
	conn := agent.Sender.(AgentConnection)
	id := t.lastID.Add(1)
	c := conn.Exchange().register(id)
	if c == nil {
		return unrunError(verdict.Unavailable, "the connection to the upstream's agent has ended", noUpstreamRetryAfter)
	}
	defer conn.Exchange().unregister(id)
	agent.Candidate.Begin()
	request := t.request
	request.ID = id
	request.TimeLeft = t.deadline.Sub(now)
	if err := conn.Send(&message.Frame{Request: &request}); err != nil {
		agent.Candidate.Fail(now)
		return upstreamFailureError("the connection to the upstream's agent broke while the request was sent")
	}
	timer := time.NewTimer(t.deadline.Sub(now))
	defer timer.Stop()
	e := t.receive(c, agent, id, timer, w, r)
	if end := time.Now(); e == nil {
		agent.Candidate.End(end, end.Sub(now))
	} else {
		agent.Candidate.Fail(end)
	}
	return e
}

func upstreamFailureError(reason string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.Unknown, Cause: verdict.UpstreamFailure, Reason: reason}
}

// receive passes an answer on to the caller. Once the status has been sent, the
// only way to report a failure is to abort the caller's connection.
func (t *transfer) receive(c *pendingRequest, agent *agenttracker.Agent, id uint64, timer *time.Timer, w http.ResponseWriter, r *http.Request) *verdict.Error {
	headerSent := false
	count := 0
	for {
		part, e := t.next(c, agent, id, timer, r)
		if e == nil && part.Fault != nil {
			e = verdict.FromFault(part.Fault)
		}
		if e != nil {
			if headerSent {
				t.counts.Ran.Add(1)
				panic(http.ErrAbortHandler)
			}
			return e
		}
		if !headerSent {
			headerSent = true
			writeHeader(w, agent, part)
		}
		if _, err := w.Write(part.Data); err != nil {
			t.abandon(agent, id)
			panic(http.ErrAbortHandler)
		}
		if part.Last {
			return nil
		}
		count++
		if count%creditBatch == 0 {
			_ = agent.Sender.Send(&message.Frame{Credit: &message.Credit{ID: id, Parts: creditBatch}})
		}
		if len(c.parts) == 0 {
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// next waits for the next part of an answer.
func (t *transfer) next(c *pendingRequest, agent *agenttracker.Agent, id uint64, timer *time.Timer, r *http.Request) (*message.Answer, *verdict.Error) {
	select {
	case part := <-c.parts:
		return part, nil
	default:
	}
	select {
	case part := <-c.parts:
		return part, nil
	case <-c.disconnected:
		return nil, upstreamFailureError("the connection to the upstream's agent ended before the answer")
	case <-timer.C:
		t.abandon(agent, id)
		return nil, &verdict.Error{Verdict: verdict.Unknown, Cause: verdict.DeadlineExceeded, Reason: "the deadline passed before the answer"}
	case <-r.Context().Done():
		t.abandon(agent, id)
		return nil, &verdict.Error{Verdict: verdict.Unknown, Cause: verdict.DeadlineExceeded, Reason: "the caller went away"}
	}
}

func (t *transfer) abandon(agent *agenttracker.Agent, id uint64) {
	t.counts.Abandoned.Add(1)
	_ = agent.Sender.Send(&message.Frame{Abandon: &message.Abandon{ID: id}})
}

// writeHeader sends the status and the headers of an answer.
func writeHeader(w http.ResponseWriter, agent *agenttracker.Agent, part *message.Answer) {
	h := w.Header()
	for _, line := range part.Header {
		h.Add(line.Name, line.Value)
	}
	h.Set(VMHeader, agent.Hello.VM)
	w.WriteHeader(part.Status)
}
