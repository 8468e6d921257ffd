// Package queryscheduler decides which queue asks the policy service next, about how many VMs, and how
// long the answer is awaited. The service answers the queries of an entry one after the other, each in
// the time that its queue declares: a fixed part, and a part for each VM. The package answers the load of
// queues whose declarations differ by orders of magnitude, and of a service that is slower than declared,
// busy, or leaves queries unanswered.
package queryscheduler

import (
	"maps"
	"time"

	"knapweedspur/internal/wire/work"
)

const (
	// MaxVMs is the largest number of VMs that the service takes in one query.
	MaxVMs = 100
	// maxQueued is how many queries may wait at the service. It refuses more.
	maxQueued = 32
	// maxOpen bounds the queries of an entry that are in time, maxOverdue those that are still awaited
	// although they are not. Together they leave room at the service for the next leader's.
	maxOpen    = 16
	maxOverdue = 8
	// maxHold is how long other queries are kept back while the service is busy with one. They are
	// better decided late, by what is needed then, but a query that takes long must not hold them up.
	maxHold = 2 * time.Second
	// maxCountedWait bounds the time that a query is expected to wait at the service, so that the loss of its
	// answer is noticed although a query before it takes, or declares, far longer.
	maxCountedWait = 30 * time.Second
	// slack is the time that an answer may take beyond that of the service: the way there and back, and
	// the scheduling of both processes.
	slack = 500 * time.Millisecond
	// maxOverrunFactor and overrunAllowance bound what late answers add to the declared time, so
	// that the answer after an outage does not make the queue patient for as long as that took.
	maxOverrunFactor = 4
	overrunAllowance = 2 * time.Second
	// minPause is the pause after a query that was refused or broken off at once; it doubles up to maxPause.
	minPause = 150 * time.Millisecond
	maxPause = 2 * time.Second
	// minCharge and maxCharge bound what one query counts for the turns of its queue.
	minCharge = 10 * time.Millisecond
	maxCharge = time.Minute
	// maxPatience bounds the time after which a query is overdue whatever its queue declares: the queue may declare
	// far more than its queries take, and an answer may be lost.
	maxPatience = 10 * time.Minute
	// idleRetention is how long a queue that asks nothing is remembered.
	idleRetention = 10 * time.Minute
)

// Demand is what a step needs.
type Demand struct {
	// VMs is the number of further VMs that are to be approved, Known the number of candidates that were
	// approved before and whose ticket has expired, Candidates that of all VMs that may be named.
	VMs, Known, Candidates int
	// Together is set if all tickets must be valid at the same time.
	Together bool
	// Rounds counts the answers so far that left the step in need, Failures its latest queries without
	// an answer.
	Rounds, Failures int
}

// Query is a query that was sent.
type Query struct {
	ID    int64
	Queue string
	// Expected is the declared time of the query; Patience is how long it may take before it is overdue,
	// MaxWait how long it is awaited at most.
	Expected, Patience, MaxWait time.Duration
}

type openQuery struct {
	Query
	sentAt time.Time
	// startsAfter is how long the service was busy with queries in time when this one was sent; waits
	// counts those that were overdue as well, of which it may have dropped some.
	startsAfter, waits time.Duration
	overdue            bool
}

type queue struct {
	// finish is the virtual time at which the queries of the queue end that it has sent.
	finish time.Duration
	// longest is the longest declared time of its queries, overrun how much longer they took lately.
	longest, overrun time.Duration
	// asked and approved count the VMs of the latest answers.
	asked, approved float64
	lastUsed        time.Time
}

// Scheduler holds the open queries of an entry and what earlier answers showed. The zero value is ready
// for use. It is not safe for concurrent use.
type Scheduler struct {
	queues map[string]*queue
	open   map[int64]*openQuery
	lastID int64
	// virtual is the virtual time of the service: queues take turns by the time that they use.
	virtual time.Duration
	// pausedUntil is when the service may be asked again after it could not be reached or was busy,
	// refusals the number of such queries since the last answer.
	pausedUntil time.Time
	refusals    int
}

// BatchSize returns the number of VMs that a query of a queue should name, at least 1. Usually that is what
// the step needs, given the share of VMs that the queue got approved lately, but for what would take long:
// a step gets its first VMs after little more than the fixed time of a query, and names more in
// each round that leaves it in need. Queries that were not answered come back smaller.
func (s *Scheduler) BatchSize(queue string, p *work.ApprovalPolicy, d Demand) int {
	most := min(max(d.Candidates, 1), MaxVMs)
	wanted := min(d.Known, d.VMs)
	if unknown := d.VMs - wanted; unknown > 0 {
		wanted += int(float64(unknown)/s.approvedShare(queue) + 0.5)
	}
	wanted = min(max(wanted, 1), most)
	if spare := min(2*wanted, most); QueryTime(p, spare) <= shortQuery {
		// More VMs to choose from cost nothing that anybody would notice.
		wanted = spare
	}
	size := affordable(p, d.Rounds)
	if d.Together {
		size = togetherSize(p, wanted, size)
	} else {
		size = max(size>>min(d.Failures, 8), 1)
	}
	return min(size, wanted)
}

// approvedShare returns the share of VMs that the queue gets approved.
func (s *Scheduler) approvedShare(name string) float64 {
	q := s.queues[name]
	if q == nil {
		q = &queue{}
	}
	// Until there are answers, half.
	return (q.approved + 1) / (q.asked + 2)
}

// MayAsk reports whether a queue may ask now: none of its queries is open in time, and the service is not known
// to be busy.
func (s *Scheduler) MayAsk(queue string, now time.Time) bool {
	if now.Before(s.pausedUntil) {
		return false
	}
	inTime := 0
	for _, o := range s.open {
		if o.overdue {
			continue
		}
		inTime++
		if o.Queue == queue || now.Sub(o.sentAt) < o.startsAfter+min(o.Expected, maxHold) {
			return false
		}
	}
	return inTime < maxOpen
}

// Turn returns the virtual time of a queue's turn. The queue with the least goes first: each gets as much
// of the service's time as the others that ask.
func (s *Scheduler) Turn(queue string) time.Duration {
	if q := s.queues[queue]; q != nil {
		return max(q.finish, s.virtual)
	}
	return s.virtual
}

// Begin notes a query that is sent now, and returns how long to wait for its answer.
func (s *Scheduler) Begin(name string, p *work.ApprovalPolicy, vms int, now time.Time) Query {
	if s.queues == nil {
		s.queues, s.open = map[string]*queue{}, map[int64]*openQuery{}
	}
	maps.DeleteFunc(s.queues, func(_ string, q *queue) bool { return now.Sub(q.lastUsed) > idleRetention })
	q := s.queues[name]
	if q == nil {
		q = &queue{}
		s.queues[name] = q
	}
	q.lastUsed = now
	expected := QueryTime(p, vms)
	q.longest = max(q.longest, expected)
	startsAfter, waits := s.waits(now)
	s.lastID++
	o := &openQuery{sentAt: now, startsAfter: startsAfter, waits: waits, Query: Query{
		ID: s.lastID, Queue: name, Expected: expected,
		Patience: min(waits+patience(expected+q.overrun), maxPatience),
	}}
	// All others that may wait at the service come before, each with the patience of the longest known one.
	o.MaxWait = o.Patience + maxQueued*patience(s.longestQuery())
	s.open[o.ID] = o
	s.virtual = s.Turn(name)
	q.finish = s.virtual + min(max(expected, minCharge), maxCharge)
	return o.Query
}

// patience returns how long a query may take once the service begins with it.
func patience(takes time.Duration) time.Duration { return 2*takes + slack }

// waits returns how long the service is expected to be busy with the open queries in time, until the last
// of them ends, and with all, if the overdue ones take as long again.
func (s *Scheduler) waits(now time.Time) (inTime, all time.Duration) {
	var overdue time.Duration
	for _, o := range s.open {
		takes := o.Expected + s.queues[o.Queue].overrunOrZero()
		if o.overdue {
			overdue += takes
		} else {
			inTime = max(inTime, o.startsAfter+takes-now.Sub(o.sentAt))
		}
	}
	inTime = min(inTime, maxCountedWait)
	return inTime, max(inTime, min(overdue, maxCountedWait))
}

func (q *queue) overrunOrZero() time.Duration {
	if q == nil {
		return 0
	}
	return q.overrun
}

func (s *Scheduler) longestQuery() time.Duration {
	longest := time.Duration(0)
	for _, q := range s.queues {
		longest = max(longest, q.longest+q.overrun)
	}
	return longest
}

// Delay notes that a query has taken longer than its patience, so that others no longer wait for it. It reports
// whether the answer is still awaited: the service may be slower than declared, and what it has
// begun need not be done again.
func (s *Scheduler) Delay(id int64, alone bool) bool {
	o := s.open[id]
	if o == nil {
		return false
	}
	overdue := 0
	for _, other := range s.open {
		if other.overdue {
			overdue++
		}
	}
	o.overdue = true
	return alone && overdue < maxOverdue
}

// Answer notes that a query was answered. asked counts the VMs of which nothing was known before, approved those of
// them that may run the step.
func (s *Scheduler) Answer(id int64, asked, approved int, now time.Time) {
	s.refusals, s.pausedUntil = 0, time.Time{}
	o := s.open[id]
	if o == nil {
		return
	}
	delete(s.open, id)
	q := s.queues[o.Queue]
	if q == nil {
		return
	}
	took := now.Sub(o.sentAt)
	longer := max(took-o.waits-o.Expected, 0)
	q.finish += min(longer, maxCharge)
	overrun := min(longer, maxOverrunFactor*o.Expected+overrunAllowance)
	if overrun < q.overrun {
		overrun = (3*q.overrun + overrun) / 4
	}
	q.overrun = overrun
	// Earlier answers count half as much after a hundred VMs.
	keep := float64(MaxVMs) / float64(MaxVMs+asked)
	q.asked, q.approved = keep*q.asked+float64(asked), keep*q.approved+float64(approved)
}

// Failure is why a query has no answer.
type Failure int

const (
	// NoAnswer is a query that was awaited long enough, or whose answer could not be used.
	NoAnswer Failure = iota
	// Unreachable is a service that could not be reached or broke off.
	Unreachable
	// Busy is a service that refused the query since too many wait.
	Busy
)

// Fail notes that a query ended without an answer. Where it was the service that failed, all queries wait.
func (s *Scheduler) Fail(id int64, failure Failure, now time.Time) {
	delete(s.open, id)
	if failure == NoAnswer {
		return
	}
	s.pausedUntil = now.Add(min(minPause<<min(s.refusals, 8), maxPause))
	s.refusals++
}

// AsksFrom returns from when on the service is asked, now unless it failed.
func (s *Scheduler) AsksFrom(now time.Time) time.Time {
	if now.Before(s.pausedUntil) {
		return s.pausedUntil
	}
	return now
}

// RetryPause returns how long a step waits after its latest queries were not answered, so that
// other steps of its queue get their turn.
func RetryPause(failures int) time.Duration {
	return min(minPause<<min(max(failures-1, 0), 8), maxPause)
}

// Open returns the number of queries that are open, and of those that are overdue.
func (s *Scheduler) Open() (open, overdue int) {
	for _, o := range s.open {
		if o.overdue {
			overdue++
		}
	}
	return len(s.open), overdue
}
