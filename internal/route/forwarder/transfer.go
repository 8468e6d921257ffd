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

// sources holds random sources, one for each request that picks at the time.
var sources = sync.Pool{New: func() any {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}}

// send sends the request to one upstream and passes its answer on.
func (t *transfer) send(now time.Time, m *agenttracker.Agent, w http.ResponseWriter, r *http.Request) *verdict.Error {
	t.tried = append(t.tried, m)
	peer := m.Sender.(Peer)
	id := t.ids.Add(1)
	c := peer.Exchange().begin(id)
	if c == nil {
		return refuse(verdict.Unavailable, "the connection to the upstream's agent has ended", absentAfter)
	}
	defer peer.Exchange().end(id)
	m.Candidate.Begin()
	frame := t.frame
	frame.ID = id
	frame.TimeLeft = t.deadline.Sub(now)
	if err := peer.Send(&message.Frame{Request: &frame}); err != nil {
		m.Candidate.Fail(now)
		return broken("the connection to the upstream's agent broke while the request was sent")
	}
	timer := time.NewTimer(t.deadline.Sub(now))
	defer timer.Stop()
	e := t.receive(c, m, id, timer, w, r)
	if end := time.Now(); e == nil {
		m.Candidate.End(end, end.Sub(now))
	} else {
		m.Candidate.Fail(end)
	}
	return e
}

func broken(reason string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.Unknown, Cause: verdict.UpstreamFailure, Reason: reason}
}

// receive passes an answer on. Once its start has gone out to the caller, a
// failure can only be shown by breaking the connection.
func (t *transfer) receive(c *call, m *agenttracker.Agent, id uint64, timer *time.Timer, w http.ResponseWriter, r *http.Request) *verdict.Error {
	begun := false
	count := 0
	for {
		part, e := t.next(c, m, id, timer, r)
		if e == nil && part.Fault != nil {
			e = verdict.FromFault(part.Fault)
		}
		if e != nil {
			if begun {
				t.counts.Ran.Add(1)
				panic(http.ErrAbortHandler)
			}
			return e
		}
		if !begun {
			begun = true
			start(w, m, part)
		}
		if _, err := w.Write(part.Data); err != nil {
			t.abandon(m, id)
			panic(http.ErrAbortHandler)
		}
		if part.Last {
			return nil
		}
		count++
		if count%creditStep == 0 {
			_ = m.Sender.Send(&message.Frame{Credit: &message.Credit{ID: id, Parts: creditStep}})
		}
		if len(c.parts) == 0 {
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// next waits for the next part of an answer.
func (t *transfer) next(c *call, m *agenttracker.Agent, id uint64, timer *time.Timer, r *http.Request) (*message.Answer, *verdict.Error) {
	select {
	case part := <-c.parts:
		return part, nil
	default:
	}
	select {
	case part := <-c.parts:
		return part, nil
	case <-c.lost:
		return nil, broken("the connection to the upstream's agent ended before the answer")
	case <-timer.C:
		t.abandon(m, id)
		return nil, &verdict.Error{Verdict: verdict.Unknown, Cause: verdict.DeadlineExceeded, Reason: "the deadline passed before the answer"}
	case <-r.Context().Done():
		t.abandon(m, id)
		return nil, &verdict.Error{Verdict: verdict.Unknown, Cause: verdict.DeadlineExceeded, Reason: "the caller went away"}
	}
}

func (t *transfer) abandon(m *agenttracker.Agent, id uint64) {
	t.counts.Abandoned.Add(1)
	_ = m.Sender.Send(&message.Frame{Abandon: &message.Abandon{ID: id}})
}

// start sends the status and the headers of an answer.
func start(w http.ResponseWriter, m *agenttracker.Agent, part *message.Answer) {
	h := w.Header()
	for _, line := range part.Header {
		h.Add(line.Name, line.Value)
	}
	h.Set(VMHeader, m.Hello.VM)
	w.WriteHeader(part.Status)
}
