package leader

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

// IncarnationPath is the URL path at which an entry answers with the incarnation
// (the identifier) of its process.
const IncarnationPath = "/internal/life"

// maxIncarnationBytes is how much is read of the answer to a probe or a proposal.
const maxIncarnationBytes = 64

// ServeIncarnation answers with the incarnation of this process.
func (l *Leader) ServeIncarnation(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, l.Incarnation) // a failed write matters only to the caller, which sees it
}

// probe checks whether the process of a leader that writes no records is still
// running. Only a refused connection or an answer with another incarnation
// proves that it has ended; a missing answer proves nothing.
func (l *Leader) probe(ctx context.Context, now time.Time) {
	var term *work.Term
	l.Follower.View(func(state *jobreducer.State, _ time.Duration) { term = state.Term })
	silent := now.Sub(l.inbox.leaderRecordAt())
	l.mu.Lock()
	shouldProbe := l.planner == nil && term != nil && term.Leader != "" && term.Incarnation != l.Incarnation && l.endedIncarnation != term.Incarnation && silent > probeAfter
	l.mu.Unlock()
	if !shouldProbe {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+term.Address.String()+IncarnationPath, nil)
	if err != nil {
		l.Logger.Error("cannot create the request to probe the leader", "error", err.Error())
		return
	}
	resp, err := l.Client.Do(req)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.markEnded(term.Incarnation, "connection refused")
		}
		return
	}
	defer resp.Body.Close()
	incarnation, err := io.ReadAll(io.LimitReader(resp.Body, maxIncarnationBytes))
	if err == nil && resp.StatusCode == http.StatusOK && string(incarnation) != term.Incarnation {
		l.markEnded(term.Incarnation, "another process answers")
	}
}

// markEnded notes that a leader process has ended, so that its leadership can be
// claimed without waiting for leaderTimeout.
func (l *Leader) markEnded(incarnation, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endedIncarnation = incarnation
	l.Logger.Info("leader process ended", "life", incarnation, "reason", reason)
}
