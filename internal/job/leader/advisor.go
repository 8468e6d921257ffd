package leader

import (
	"context"
	"time"

	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/job/planner"
)

const (
	// adviseIdlePause is the pause while no step needs a ticket.
	adviseIdlePause = 40 * time.Millisecond
	// adviseRetryPause is the pause after a request that was not answered.
	adviseRetryPause = 150 * time.Millisecond
)

// Advisor is the policy service that decides which VMs may run a step.
type PolicyService interface {
	// Ask returns a ticket for each VM that may run the step, and how long the
	// tickets are valid.
	RequestTickets(ctx context.Context, step string, vms []string) (tickets map[string]string, valid time.Duration, err error)
}

// question returns the next question for the policy service, if this entry
// leads and there is one.
func (l *Leader) question(now time.Time) (planner.PolicyQuery, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.scheduler == nil {
		return planner.PolicyQuery{}, false
	}
	return l.scheduler.NextPolicyQuery(now)
}

// advise asks the policy service for tickets while this entry leads, one
// question at a time.
func (l *Leader) advise(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		question, wanted := l.question(time.Now())
		if !wanted {
			waiter.Sleep(ctx, adviseIdlePause)
			continue
		}
		tickets, valid, err := l.PolicyService.RequestTickets(ctx, question.Step, question.VMs)
		if err != nil {
			if !lost && ctx.Err() == nil {
				l.Logger.Warn("policy service did not answer; retrying", "error", err.Error())
			}
			lost = true
			waiter.Sleep(ctx, adviseRetryPause)
			continue
		}
		if lost {
			lost = false
			l.Logger.Info("policy service answers again")
		}
		l.WithPlanner(func(p *planner.Planner, now time.Time) { p.HandlePolicyAnswer(question, tickets, valid, now) })
	}
}
