package leader

import (
	"context"
	"errors"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

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
	for ctx.Err() == nil {
		query, wanted := l.nextPolicyQuery(time.Now())
		if !wanted {
			waiter.Sleep(ctx, policyIdlePause)
			continue
		}
		sent := time.Now()
		tickets, valid, err := l.PolicyService.RequestTickets(ctx, query.Step, query.VMs)
		if ctx.Err() != nil {
			return
		}
		l.recordPolicyQuery(query, time.Since(sent), tickets, valid, err)
		if err != nil {
			waiter.Sleep(ctx, policyRetryPause)
			continue
		}
		l.WithPlanner(func(p *planner.Planner, now time.Time) { p.HandlePolicyAnswer(query, tickets, valid, now) })
	}
}

// PolicyCounts counts the queries to the policy service since the process started.
type PolicyCounts struct {
	// Queries is the number of queries, VMs that of the VMs in them, Approved that of the VMs with a ticket.
	Queries, VMs, Approved int64
	// Unanswered counts queries by why they were given up.
	Unanswered map[string]int64
}

// policyCounter holds PolicyCounts.
type policyCounter struct {
	mu     sync.Mutex
	counts PolicyCounts
}

// PolicyCounts returns the numbers of queries to the policy service.
func (l *Leader) PolicyCounts() PolicyCounts {
	l.policyCounter.mu.Lock()
	defer l.policyCounter.mu.Unlock()
	counts := l.policyCounter.counts
	counts.Unanswered = maps.Clone(counts.Unanswered)
	return counts
}

// recordPolicyQuery counts and logs a query that has ended.
func (l *Leader) recordPolicyQuery(q planner.PolicyQuery, took time.Duration, tickets map[string]string, valid time.Duration, err error) {
	if l.PolicyLatency != nil {
		l.PolicyLatency.Observe(took)
	}
	l.policyCounter.mu.Lock()
	defer l.policyCounter.mu.Unlock()
	c := &l.policyCounter.counts
	c.Queries, c.VMs, c.Approved = c.Queries+1, c.VMs+int64(len(q.VMs)), c.Approved+int64(len(tickets))
	fields := []any{"step", q.Step, "queue", q.Queue, "count", len(q.VMs), "vms", strings.Join(q.VMs, " "), "took", took, "expected", q.Expected}
	if err == nil {
		l.Logger.Info("policy query answered", append(fields, "approved", len(tickets), "valid", valid)...)
		return
	}
	reason := unansweredReason(err)
	if c.Unanswered == nil {
		c.Unanswered = map[string]int64{}
	}
	c.Unanswered[reason]++
	l.Logger.Warn("policy query given up", append(fields, "reason", reason, "error", err.Error())...)
}

// unansweredReason returns why a query has no answer.
func unansweredReason(err error) string {
	switch {
	case errors.Is(trace.Unwrap(err), context.DeadlineExceeded):
		return "timeout"
	case trace.IsLimitExceeded(err):
		return "busy"
	case trace.IsConnectionProblem(err):
		return "unreachable"
	default:
		return "invalid answer"
	}
}
