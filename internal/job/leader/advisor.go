package leader

import (
	"context"
	"time"

	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/job/planner"
)

const (
	// adviseIdle is the pause while no step needs a ticket.
	adviseIdle = 40 * time.Millisecond
	// adviseRetry is the pause after a question without an answer.
	adviseRetry = 150 * time.Millisecond
)

// Advisor is the policy service that says which VMs may run a step.
type Advisor interface {
	// Ask returns a ticket for each VM that may run the step, and how long
	// the tickets hold.
	Ask(ctx context.Context, step string, vms []string) (tickets map[string]string, valid time.Duration, err error)
}

// question returns what the policy service should be asked next.
func (l *Leader) question(now time.Time) (planner.Question, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.book == nil {
		return planner.Question{}, false
	}
	return l.book.Question(now)
}

// advise asks the policy service while this entry leads, one question at a time.
func (l *Leader) advise(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		question, wanted := l.question(time.Now())
		if !wanted {
			waiter.Pause(ctx, adviseIdle)
			continue
		}
		tickets, valid, err := l.Advisor.Ask(ctx, question.Step, question.VMs)
		if err != nil {
			if !lost && ctx.Err() == nil {
				l.Logger.Warn("policy service lost", "error", err.Error())
			}
			lost = true
			waiter.Pause(ctx, adviseRetry)
			continue
		}
		if lost {
			lost = false
			l.Logger.Info("policy service regained")
		}
		l.With(func(b *planner.Book, now time.Time) { b.Answer(question, tickets, valid, now) })
	}
}
