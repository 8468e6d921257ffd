// Package leader elects the entry that places tasks. One entry leads at a time:
// it writes with a fencing token (the epoch of its term) that the log checks,
// and sends a command only after the record of it is in the log. Any entry may
// take over by appending a term record with a higher epoch.
package leader

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/logfollower"
	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/metric/exporter"
	"knapweedspur/internal/wire/work"
)

const (
	// checkInterval is how often an entry checks whether to claim the
	// leadership, and the longest time between two passes of the planner.
	checkInterval = 50 * time.Millisecond
	// leaderTimeout is how long the log may hold no new record of the leader,
	// which writes one at least every keepaliveInterval, before others claim.
	leaderTimeout = 1300 * time.Millisecond
	// keepaliveInterval is the longest time between two records of a leader.
	keepaliveInterval = 400 * time.Millisecond
	// claimJitter is the largest random delay of a claim. It keeps entries from
	// claiming at the same time.
	claimJitter = 200 * time.Millisecond
	// probeAfter is how long a leader may write no record before its process is
	// probed, and probeTimeout how long it has to answer the probe.
	probeAfter   = 500 * time.Millisecond
	probeTimeout = 200 * time.Millisecond
	// delayPerCore delays the claim of an entry for each core that its CPU share
	// is below the largest of all entries.
	delayPerCore = time.Second
	// announcePause is how long an entry waits before the very first claim, so
	// that entries that start at the same time can announce themselves.
	announcePause = 150 * time.Millisecond
	// MemberTTL is how long an entry counts as a member after it announced
	// itself.
	MemberTTL = 45 * time.Second
	// maxViewAge is the greatest age of the view at which an entry may claim.
	maxViewAge = 700 * time.Millisecond
	// claimTimeout limits the append of one claim with its retries, and then
	// the wait until the view includes it.
	claimTimeout = 2 * time.Second
	// isolatedPause is how long an entry that stepped down because it was
	// isolated from most agents does not claim again.
	isolatedPause = 4 * time.Second
	// failedPause is how long an entry whose planner failed does not claim again, so
	// that another one leads first: the failure may depend on what only this entry
	// was told.
	failedPause = 4 * time.Second
	// epochRandomBits is the number of low bits of an epoch that are random, so
	// that two claims made at the same time almost always differ.
	epochRandomBits = 12
)

// AgentConnections are the connections of agents to this entry.
type AgentConnections interface {
	// SendCommands and SendGrant send to the agent of a VM.
	SendCommands(vm string, commands *work.Commands)
	SendGrant(vm string, g *work.Grant)
	// Hellos returns the hello packets of all connected agents.
	Hellos() []*work.Hello
	// Announce notifies all connected agents immediately of who leads.
	Announce()
}

// Leader takes part in the election, and runs the planner while this entry leads.
type Leader struct {
	Journal  journal.Journal
	Follower *logfollower.Follower
	Agents   AgentConnections
	Logger   hclog.Logger
	Settings planner.Settings
	// Name and Address identify the entry. Incarnation identifies its process, so
	// that a restarted entry is told apart from the process before.
	Name, Incarnation string
	Address           netip.AddrPort
	// CPUShare is the entry's share of the processors, in cores. Entries with a
	// larger share claim earlier.
	CPUShare float64
	// Evacuation returns the evacuated failure domains, nil while they are not known.
	// If it is nil, they are never known.
	Evacuation func() *work.Evacuation
	// PolicyService decides which VMs may run a step, nil if there is none.
	PolicyService PolicyService
	// Client sends requests to other entries.
	Client *http.Client
	// AppendLatency and PolicyLatency record how long appends to the log and queries to the policy
	// service take, unless they are nil.
	AppendLatency, PolicyLatency *exporter.Histogram
	// MaxAppendBytes is the size limit of one append.
	MaxAppendBytes int
	// RandomBelow returns a random number from 0 to n-1. If nil, Init sets a
	// generator.
	RandomBelow func(n int64) int64
	// Done is closed when Run has returned.
	Done chan struct{}

	// inbox holds what the follower has applied; leading is the epoch in which this entry
	// leads, 0 if it does not. Neither waits for a pass, which holds the lock.
	inbox   inbox
	leading atomic.Int64

	policyCounter policyCounter

	mu sync.Mutex
	// claimedEpoch is the epoch of the newest claim of this process.
	claimedEpoch int64
	// planner is nil unless this entry leads.
	planner   *planner.Planner
	epoch     int64
	writer    *journal.Writer
	wakeup    chan struct{}
	resigned  bool
	proposals []*proposal
	absences  absences
	// endedIncarnation is the incarnation of a leader process that is known to
	// have ended.
	endedIncarnation string
	// noClaimBefore is when this entry may claim again.
	noClaimBefore time.Time
}

// Init prepares the leader. It must be called before any other method.
func (l *Leader) Init(now time.Time) {
	if l.RandomBelow == nil {
		l.RandomBelow = rand.Int64N
	}
	if l.Evacuation == nil {
		l.Evacuation = func() *work.Evacuation { return nil }
	}
	l.wakeup = make(chan struct{}, 1)
	l.inbox.noteLeader(now)
	l.Done = make(chan struct{})
}

// Leading returns the epoch in which this entry leads, or 0 if it does not.
func (l *Leader) Leading() int64 { return l.leading.Load() }

// Applied handles a record that the follower has applied to the view. Jobs,
// cancellations and announcements of entries can come from any entry; all other
// records show that the leader is alive.
func (l *Leader) Applied(r journal.Record) {
	id, ofClient := jobreducer.ClientJobID(r.Key)
	switch {
	case ofClient:
		if len(r.Value) > 0 {
			l.inbox.addJob(id)
			l.wake()
		}
	case strings.HasPrefix(r.Key, "m/"):
	default:
		l.inbox.noteLeader(time.Now())
	}
}

// applyClientRecords passes the jobs and cancellations that were read since the last
// pass, which other entries may have written, to the planner. It returns the records that
// replace candidates. The caller holds the lock.
func (l *Leader) applyClientRecords(now time.Time) []journal.Record {
	ids := l.inbox.takeJobs()
	if len(ids) == 0 {
		return nil
	}
	var records []journal.Record
	l.Follower.View(func(state *jobreducer.State, _ time.Duration) {
		for _, id := range ids {
			j := state.Jobs[id]
			if j == nil {
				continue
			}
			if j.Description != nil && j.Outcome == nil {
				l.planner.AddJob(j.Description, now)
			}
			if len(j.Candidates) > 0 {
				records = append(records, l.adoptCandidates(id, j)...)
			}
			if j.Cancel != nil {
				l.planner.CancelJob(id, now)
			}
		}
	})
	return records
}

// Rebuilt handles a rebuild of the view. The planner of a leader may have missed
// records, so the leader steps down and a new term must be claimed.
func (l *Leader) Rebuilt() {
	l.inbox.noteLeader(time.Now())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner != nil {
		l.stepDown("the log was cut before it was read", 0)
	}
}

// WithPlanner calls f with the planner if this entry leads, and triggers a pass
// of the planner.
func (l *Leader) WithPlanner(f func(p *planner.Planner, now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner == nil {
		return
	}
	now := time.Now()
	l.guard(func() { f(l.planner, now) })
	l.wake()
}

// Inspect calls f with the planner if this entry leads, and reports whether it does.
// Unlike WithPlanner it is for questions: no pass follows.
func (l *Leader) Inspect(f func(p *planner.Planner, now time.Time)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner == nil {
		return false
	}
	l.guard(func() { f(l.planner, time.Now()) })
	return l.planner != nil
}

// Resign hands the leadership to another entry. This entry never claims it again.
func (l *Leader) Resign() {
	l.mu.Lock()
	l.resigned = true
	l.mu.Unlock()
	l.wake()
}

// Run claims the leadership whenever there is no leader, and leads while it holds
// it. It returns when the context ends.
func (l *Leader) Run(ctx context.Context) {
	defer close(l.Done)
	for ctx.Err() == nil {
		// A planner begins with what is in the view by then.
		l.inbox.takeJobs()
		if !l.shouldClaim(time.Now()) {
			l.probe(ctx, time.Now())
			waiter.Sleep(ctx, checkInterval)
			continue
		}
		if l.claim(ctx) {
			l.lead(ctx)
		}
	}
}

// shouldClaim reports whether this entry should claim the leadership now.
func (l *Leader) shouldClaim(now time.Time) bool {
	var term *work.Term
	age, maxCPUShare, announced := time.Duration(0), l.CPUShare, false
	l.Follower.View(func(state *jobreducer.State, viewAge time.Duration) {
		term, age = state.Term, viewAge
		for _, m := range state.Members {
			announced = announced || m.Name == l.Name && m.Incarnation == l.Incarnation
			if now.Sub(m.AnnouncedAt) < MemberTTL {
				maxCPUShare = max(maxCPUShare, m.CPUShare)
			}
		}
	})
	recoveredAt, lastLeaderRecord := l.Follower.RecoveredAt(), l.inbox.leaderRecordAt()
	l.mu.Lock()
	defer l.mu.Unlock()
	if age > maxViewAge || l.resigned || now.Before(l.noClaimBefore) {
		return false
	}
	if term == nil {
		// No entry has ever led: wait until all have had time to announce
		// themselves.
		if !announced {
			l.inbox.noteLeader(now)
			lastLeaderRecord = now
		}
		return now.Sub(lastLeaderRecord) > announcePause+time.Duration((maxCPUShare-l.CPUShare)*float64(delayPerCore))
	}
	if term.Incarnation == l.Incarnation && term.Epoch == l.claimedEpoch {
		// A claim of this entry took effect although its answer was lost.
		return true
	}
	timeout, maxJitter := leaderTimeout, claimJitter
	switch {
	case term.Leader == "":
		timeout, maxJitter = 0, claimJitter/4
	case term.Leader == l.Name, l.endedIncarnation == term.Incarnation:
		// The process that led has ended: it was an earlier process of this
		// entry, or a probe of its address has shown it.
		timeout = 0
	}
	silentSince := lastLeaderRecord
	if recoveredAt.After(silentSince) {
		silentSince = recoveredAt
	}
	delay := time.Duration((maxCPUShare-l.CPUShare)*float64(delayPerCore)) + time.Duration(l.RandomBelow(int64(maxJitter)))
	if timeout == 0 {
		delay /= 3
	}
	if now.Sub(silentSince) < timeout+delay {
		return false
	}
	return true
}

// claim appends the record of a new term, unless an earlier claim of this process
// is the newest in the view. It returns true once the claim is in this entry's
// view and no later claim is.
func (l *Leader) claim(ctx context.Context) bool {
	var lastEpoch int64
	mine := false
	l.Follower.View(func(state *jobreducer.State, _ time.Duration) {
		if state.Term != nil {
			lastEpoch = state.Term.Epoch
			mine = state.Term.Incarnation == l.Incarnation && lastEpoch == l.claimedEpoch
		}
	})
	if !mine {
		l.mu.Lock()
		l.claimedEpoch = (lastEpoch>>epochRandomBits+1)<<epochRandomBits | l.RandomBelow(1<<epochRandomBits)
		l.writer = &journal.Writer{Name: "leader", Epoch: l.claimedEpoch, Number: l.RandomBelow(1 << 40)}
		l.mu.Unlock()
		term := &work.Term{Leader: l.Name, Incarnation: l.Incarnation, Epoch: l.claimedEpoch, Address: l.Address}
		l.Logger.Info("claim", "epoch", l.claimedEpoch, "after", lastEpoch)
		offset, ok := l.append(ctx, []journal.Record{jobreducer.TermRecord(term)}, time.Now().Add(claimTimeout))
		if !ok {
			l.mu.Lock()
			l.noClaimBefore = time.Now().Add(time.Duration(l.RandomBelow(int64(claimJitter))))
			l.mu.Unlock()
			return false
		}
		waitCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		if err := l.Follower.WaitForOffset(waitCtx, offset); err != nil {
			l.Logger.Warn("claim did not appear in the view in time", "epoch", l.claimedEpoch, "error", err.Error())
			return false
		}
		return l.startTerm()
	}
	catchUpCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := l.Follower.CatchUp(catchUpCtx); err != nil {
		l.Logger.Warn("view did not catch up after the claim", "epoch", l.claimedEpoch, "error", err.Error())
		return false
	}
	return l.startTerm()
}

// startTerm starts to lead if the claim of this entry is the newest in the view.
func (l *Leader) startTerm() bool {
	now := time.Now()
	l.inbox.takeJobs() // they are in the view that the planner begins with
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Follower.View(func(state *jobreducer.State, _ time.Duration) {
		if state.Term == nil || state.Term.Epoch != l.claimedEpoch || state.Term.Incarnation != l.Incarnation {
			return
		}
		l.epoch = l.claimedEpoch
		l.absences = absences{lastSweep: now}
		for id, j := range state.Jobs {
			if len(j.Candidates) > 0 {
				l.inbox.addJob(id)
			}
		}
		l.guard(func() {
			l.planner = planner.New(l.Settings, state, now, l.logDecision)
			l.planner.SetEvacuation(l.Evacuation(), now)
			l.planner.Resume(state, now)
		})
	})
	if l.planner == nil {
		return false
	}
	l.leading.Store(l.epoch)
	l.Logger.Info("lead begins", "epoch", l.epoch, "book", l.planner.Summary())
	// An agent that connects after this call waits for the lock to be registered.
	l.guard(func() {
		for _, h := range l.Agents.Hellos() {
			l.planner.RegisterAgent(h, now)
		}
	})
	return l.planner != nil
}
