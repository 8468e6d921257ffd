package leader

import (
	"context"
	"time"

	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/job/planner"
)

const (
	// policyIdlePause is the pause while no step needs a ticket.
	policyIdlePause = 40 * time.Millisecond
	// policyRetryPause is the pause after a request that was not answered.
	policyRetryPause = 150 * time.Millisecond
)

// PolicyService decides which VMs may run a step.
type PolicyService interface {
	// RequestTickets returns a ticket for each VM that may run the step, and how
	// long the tickets are valid.
	RequestTickets(ctx context.Context, step string, vms []string) (tickets map[string]string, valid time.Duration, err error)
}

// nextPolicyQuery returns the next query to the policy service, if this entry
// leads and there is one.
func (l *Leader) nextPolicyQuery(now time.Time) (query planner.PolicyQuery, wanted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner == nil {
		return planner.PolicyQuery{}, false
	}
	l.guard(func() { query, wanted = l.planner.NextPolicyQuery(now) })
	return query, wanted
}

// requestTickets requests tickets from the policy service while this entry leads,
// one query at a time.
func (l *Leader) requestTickets(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		query, wanted := l.nextPolicyQuery(time.Now())
		if !wanted {
			waiter.Sleep(ctx, policyIdlePause)
			continue
		}
		tickets, valid, err := l.PolicyService.RequestTickets(ctx, query.Step, query.VMs)
		if err != nil {
			if !lost && ctx.Err() == nil {
				l.Logger.Warn("policy service did not answer; retrying", "error", err.Error())
			}
			lost = true
			waiter.Sleep(ctx, policyRetryPause)
			continue
		}
		if lost {
			lost = false
			l.Logger.Info("policy service answers again")
		}
		l.WithPlanner(func(p *planner.Planner, now time.Time) { p.HandlePolicyAnswer(query, tickets, valid, now) })
	}
}
