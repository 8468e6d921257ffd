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

// LifePath is where an entry tells the life of its process.
const LifePath = "/internal/life"

// maxLife bounds the answer to a probe, in bytes.
const maxLife = 64

// ServeLife tells the life of this process.
func (l *Leader) ServeLife(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, l.Life) // who asked may be gone, which it notices
}

// probe asks a leader that gives no sign whether its process is still there.
// Only a refused connection and the answer of another life prove that it is
// not; silence proves nothing.
func (l *Leader) probe(ctx context.Context, now time.Time) {
	var term *work.Term
	l.Follower.View(func(state *jobreducer.State, _ time.Duration) { term = state.Term })
	l.mu.Lock()
	wanted := l.book == nil && term != nil && term.Leader != "" && term.Life != l.Life && l.dead != term.Life && now.Sub(l.signed) > probeAfter
	l.mu.Unlock()
	if !wanted {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+term.Address.String()+LifePath, nil)
	if err != nil {
		l.Logger.Error("probe of the leader", "error", err.Error())
		return
	}
	resp, err := l.Client.Do(req)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.bury(term.Life, "connection refused")
		}
		return
	}
	defer resp.Body.Close()
	life, err := io.ReadAll(io.LimitReader(resp.Body, maxLife))
	if err == nil && resp.StatusCode == http.StatusOK && string(life) != term.Life {
		l.bury(term.Life, "another process answers")
	}
}

func (l *Leader) bury(life, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead = life
	l.Logger.Info("leader ended", "life", life, "reason", reason)
}
