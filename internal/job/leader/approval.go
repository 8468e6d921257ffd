package leader

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/job/queryscheduler"
)

// policyIdlePause is the pause while no step needs a ticket, or the policy service is busy.
const policyIdlePause = 40 * time.Millisecond

// PolicyService decides which VMs may run a step.
type PolicyService interface {
	// RequestTickets returns a ticket for each VM that may run the step, and how
	// long the tickets are valid, 0 if the answer does not say so. The context limits the request. The
	// kind of an error tells why there is no answer: trace.LimitExceeded if the service is busy,
	// trace.ConnectionProblem if it was not reached or broke off.
	RequestTickets(ctx context.Context, step string, vms []string) (tickets map[string]string, valid time.Duration, err error)
}

// PolicyCounts counts the queries to the policy service since the process started.
type PolicyCounts struct {
	// Queries is the number of queries, VMs that of the VMs in them, Approved that of the VMs with a ticket.
	Queries, VMs, Approved int64
	// Overdue counts queries that took longer than expected, LateAnswers those of them that were answered.
	Overdue, LateAnswers int64
	// Unanswered counts queries by why they were given up.
	Unanswered map[string]int64
	// Open and OpenOverdue are the numbers of queries that are awaited now.
	Open, OpenOverdue int
}

// policyCounter holds PolicyCounts.
type policyCounter struct {
	mu     sync.Mutex
	counts PolicyCounts
}

func (c *policyCounter) add(change func(*PolicyCounts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts.Unanswered == nil {
		c.counts.Unanswered = map[string]int64{}
	}
	change(&c.counts)
}

// PolicyCounts returns the numbers of queries to the policy service.
func (l *Leader) PolicyCounts() PolicyCounts {
	var counts PolicyCounts
	l.policyCounter.add(func(c *PolicyCounts) {
		counts = *c
		counts.Unanswered = map[string]int64{}
		for reason, n := range c.Unanswered {
			counts.Unanswered[reason] = n
		}
	})
	l.Inspect(func(p *planner.Planner, _ time.Time) { counts.Open, counts.OpenOverdue = p.OpenPolicyQueries() })
	return counts
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

// requestTickets requests tickets from the policy service while this entry leads. It returns once all
// queries have ended.
func (l *Leader) requestTickets(ctx context.Context) {
	var queries sync.WaitGroup
	defer queries.Wait()
	ended := make(chan struct{}, 1)
	for ctx.Err() == nil {
		query, wanted := l.nextPolicyQuery(time.Now())
		if wanted {
			queries.Go(func() {
				l.sendPolicyQuery(ctx, query)
				select {
				case ended <- struct{}{}:
				default:
				}
			})
			continue
		}
		select {
		case <-ended:
		case <-time.After(policyIdlePause):
		case <-ctx.Done():
		}
	}
}

// errOverdue ends an overdue query whose answer is no longer awaited.
var errOverdue = errors.New("overdue")

// policyAnswer is the answer to a query, or why there is none.
type policyAnswer struct {
	tickets map[string]string
	valid   time.Duration
	err     error
}

// sendPolicyQuery sends one query and passes its answer, or that it has none, to the planner.
func (l *Leader) sendPolicyQuery(leadCtx context.Context, query planner.PolicyQuery) {
	sent := time.Now()
	l.policyCounter.add(func(c *PolicyCounts) { c.Queries, c.VMs = c.Queries+1, c.VMs+int64(len(query.VMs)) })
	ctx, end := context.WithCancelCause(leadCtx)
	defer end(nil)
	ctx, cancel := context.WithTimeout(ctx, query.MaxWait)
	defer cancel()
	answers := make(chan policyAnswer, 1)
	go func() {
		tickets, valid, err := l.PolicyService.RequestTickets(ctx, query.Step, query.VMs)
		answers <- policyAnswer{tickets, valid, err}
	}()
	overdue := time.NewTimer(query.Patience)
	defer overdue.Stop()
	var answer policyAnswer
	late := false
	select {
	case answer = <-answers:
	case <-overdue.C:
		late = true
		if !l.delayPolicyQuery(query) {
			end(errOverdue)
		}
		answer = <-answers
	}
	if leadCtx.Err() != nil {
		return
	}
	received := time.Now()
	took := received.Sub(sent)
	if l.PolicyLatency != nil {
		l.PolicyLatency.Observe(took)
	}
	if answer.err != nil {
		l.failPolicyQuery(ctx, query, took, answer.err)
		return
	}
	l.policyCounter.add(func(c *PolicyCounts) {
		c.Approved += int64(len(answer.tickets))
		if late {
			c.LateAnswers++
		}
	})
	l.Logger.Info("policy query answered", append(queryFields(query), "took", took, "approved", len(answer.tickets), "valid", answer.valid)...)
	l.WithPlanner(func(p *planner.Planner, _ time.Time) {
		p.HandlePolicyAnswer(query, answer.tickets, answer.valid, received)
	})
}

// queryFields returns the log fields of a query.
func queryFields(q planner.PolicyQuery) []any {
	return []any{
		"step", q.Step, "queue", q.Queue, "attempt", q.Attempt, "count", len(q.VMs), "vms", strings.Join(q.VMs, " "),
		"expected", q.Expected, "patience", q.Patience,
	}
}

// failPolicyQuery handles a query that ended without an answer.
func (l *Leader) failPolicyQuery(ctx context.Context, query planner.PolicyQuery, took time.Duration, err error) {
	reason := unansweredReason(ctx, err)
	l.policyCounter.add(func(c *PolicyCounts) { c.Unanswered[reason]++ })
	l.Logger.Warn("policy query given up", append(queryFields(query), "took", took, "reason", reason, "error", err.Error())...)
	failure := map[string]queryscheduler.Failure{reasonBusy: queryscheduler.Busy, reasonUnreachable: queryscheduler.Unreachable}[reason]
	l.WithPlanner(func(p *planner.Planner, now time.Time) { p.HandlePolicyFailure(query, failure, now) })
}

// delayPolicyQuery handles a query that has taken longer than its patience, and reports whether its answer
// is still awaited.
func (l *Leader) delayPolicyQuery(query planner.PolicyQuery) bool {
	waits := false
	l.WithPlanner(func(p *planner.Planner, now time.Time) { waits = p.HandlePolicyDelay(query, now) })
	l.policyCounter.add(func(c *PolicyCounts) { c.Overdue++ })
	l.Logger.Warn("policy query overdue", append(queryFields(query), "waits", waits)...)
	return waits
}

// The reasons for which a query has no answer, as logs and metrics name them.
const (
	reasonOverdue     = "overdue"
	reasonTimeout     = "timeout"
	reasonBusy        = "busy"
	reasonUnreachable = "unreachable"
	reasonInvalid     = "invalid answer"
)

// unansweredReason returns why a query has no answer.
func unansweredReason(ctx context.Context, err error) string {
	switch {
	case errors.Is(context.Cause(ctx), errOverdue):
		return reasonOverdue
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return reasonTimeout
	case trace.IsLimitExceeded(err):
		return reasonBusy
	case trace.IsConnectionProblem(err):
		return reasonUnreachable
	default:
		return reasonInvalid
	}
}
