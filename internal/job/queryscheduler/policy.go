package queryscheduler

import (
	"fmt"
	"time"

	"knapweedspur/internal/wire/work"
)

// What follows from the times that a queue declares.

const (
	// shortQuery is the time of a query that is not worth dividing: a start waits about as long for
	// the log and the agent.
	shortQuery = 300 * time.Millisecond
	// maxTicketMargin is what a start takes from its decision to the worker: the log, the agent, and a
	// process that is scheduled late.
	maxTicketMargin = 300 * time.Millisecond
	// maxDeclared bounds each declared time, so that sums of them do not overflow.
	maxDeclared = 24 * time.Hour
	// minUsefulLifetime is the shortest lifetime of a ticket with which a start usually arrives in time.
	minUsefulLifetime = 100 * time.Millisecond
)

// Normalize returns a policy whose times are neither negative nor longer than a day, and whether these
// differ from what was declared.
func Normalize(p work.ApprovalPolicy) (work.ApprovalPolicy, bool) {
	clamp := func(d time.Duration) time.Duration { return min(max(d, 0), maxDeclared) }
	normal := work.ApprovalPolicy{BaseLatency: clamp(p.BaseLatency), LatencyPerVM: clamp(p.LatencyPerVM), TicketLifetime: clamp(p.TicketLifetime)}
	return normal, normal != p
}

// QueryTime returns the declared time of a query about a number of VMs.
func QueryTime(p *work.ApprovalPolicy, vms int) time.Duration {
	normal, _ := Normalize(*p)
	return normal.BaseLatency + time.Duration(vms)*normal.LatencyPerVM
}

// affordable returns how many VMs a query may name in a round. The first names no more than double its fixed
// time, each further one twice as many up to maxHold.
func affordable(p *work.ApprovalPolicy, round int) int {
	normal, _ := Normalize(*p)
	if normal.LatencyPerVM == 0 {
		return MaxVMs
	}
	within := func(limit time.Duration) int { return int(min((limit-normal.BaseLatency)/normal.LatencyPerVM, MaxVMs)) }
	least := max(1, int(min(normal.BaseLatency/normal.LatencyPerVM, MaxVMs)), within(shortQuery))
	return max(least, min(least<<min(round, 7), within(maxHold)))
}

// togetherSize returns how many VMs each of the queries about a number of VMs must name so that the
// tickets of the first are valid until the last is answered, with other queries in between.
func togetherSize(p *work.ApprovalPolicy, vms, least int) int {
	normal, _ := Normalize(*p)
	for size := min(least, vms); size < vms; size++ {
		further := (vms - 1) / size
		if 2*time.Duration(further)*QueryTime(p, size) <= normal.TicketLifetime-TicketMargin(normal.TicketLifetime) {
			return size
		}
	}
	return vms
}

// TicketMargin returns how long a ticket must still be valid when a start is sent, so that the start
// arrives in time: a quarter of its lifetime, but not more than a start takes.
func TicketMargin(lifetime time.Duration) time.Duration {
	return min(maxTicketMargin, max(lifetime, 0)/4)
}

// Problems returns what an operator should know of the times that a queue declares, in words. All are served.
func Problems(p *work.ApprovalPolicy) []string {
	normal, changed := Normalize(*p)
	var problems []string
	if changed {
		problems = append(problems, fmt.Sprintf("a time of its approval policy is negative or longer than %s: taken as %s per query, %s per VM and tickets valid for %s",
			maxDeclared, normal.BaseLatency, normal.LatencyPerVM, normal.TicketLifetime))
	}
	takes, lifetime := QueryTime(p, 1), normal.TicketLifetime
	switch {
	case lifetime < minUsefulLifetime:
		problems = append(problems, fmt.Sprintf("its tickets are valid for %s: starts may arrive too late and are repeated", lifetime))
	case takes >= lifetime:
		problems = append(problems, fmt.Sprintf("a query about one VM takes %s, longer than its tickets are valid, %s: no start has its ticket in advance, and a gang gets all its tickets only "+
			"from one query of up to %d VMs", takes, lifetime, MaxVMs))
	}
	if takes > maxHold {
		problems = append(problems, fmt.Sprintf("a query about one VM takes %s: starts wait at least as long, and those of other queues may wait for it", takes))
	}
	return problems
}

// PaysEarly reports whether a step may ask before its tasks can start. Tickets that last hardly longer
// than a query would expire unused, again and again.
func PaysEarly(p *work.ApprovalPolicy) bool {
	normal, _ := Normalize(*p)
	return 2*QueryTime(p, 1) <= normal.TicketLifetime
}
