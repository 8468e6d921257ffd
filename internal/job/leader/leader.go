// Package leader takes and keeps the right to place tasks. One entry leads at
// a time: it writes under a fencing token that the log checks, and sends an
// order only after the record of it is in the log. Any entry may take over.
package leader

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
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
	// watchEvery is how often an entry looks whether a leader is needed.
	watchEvery = 50 * time.Millisecond
	// takeover is how long the log may hold no sign of a leader that is
	// supposed to give one every signEvery.
	takeover = 1300 * time.Millisecond
	// signEvery is the longest time between two records of a leader.
	signEvery = 400 * time.Millisecond
	// jitter spreads the claims of several entries.
	jitter = 200 * time.Millisecond
	// probeAfter is how long a leader may give no sign until it is asked
	// whether it lives, and probeTimeout how long it has to answer.
	probeAfter   = 500 * time.Millisecond
	probeTimeout = 200 * time.Millisecond
	// weakDelay is added to the claim of an entry for each core that it has
	// less than the strongest.
	weakDelay = time.Second
	// introduction is how long the first leader waits for entries that start
	// with it.
	introduction = 150 * time.Millisecond
	// MemberLife is how long an entry counts after it announced itself.
	MemberTTL = 45 * time.Second
	// freshLimit is the oldest view from which a claim is made.
	freshLimit = 700 * time.Millisecond
	// claimTimeout bounds one claim, with its repeats.
	claimTimeout = 2 * time.Second
	// abstain is how long an entry that stepped down does not claim.
	abstain = 4 * time.Second
	// epochShift leaves room for a random part that keeps two claims apart.
	epochShift = 12
)

// Links reach the agents that are connected to this entry.
type Links interface {
	// SendOrders and SendGrant send to the agent of a VM.
	SendOrders(vm string, o *work.Orders)
	SendGrant(vm string, g *work.Grant)
	// Hellos returns the introductions of all agents that are connected.
	Hellos() []*work.Hello
	// Announce tells all agents at once who leads.
	Announce()
}

// Leader takes and keeps the lead.
type Leader struct {
	Journal  journal.Journal
	Follower *logfollower.Follower
	Links    Links
	Logger   hclog.Logger
	Settings planner.Settings
	// Name, Life and Address identify the entry.
	Name, Life string
	Address    netip.AddrPort
	// Strength is the processor share of the entry, in cores. Stronger entries
	// claim earlier.
	Strength float64
	// Advisor says which VMs may run a step, nil where there is none.
	Advisor Advisor
	// Client reaches other entries.
	Client *http.Client
	// Appends measures the time until a batch is in the log, nil for not.
	Appends *exporter.Histogram
	// MaxCall bounds one append, in bytes.
	MaxCall int
	// Draw returns a random number below n; Init sets a generator where it is nil.
	RandomBelow func(n int64) int64
	// Done is closed when Run has returned.
	Done chan struct{}

	mu sync.Mutex
	// signed is when the log last showed a sign of the leader.
	signed time.Time
	// claimed is the epoch of the newest claim of this process.
	claimed int64
	// book is nil while another entry leads.
	book     *planner.Book
	epoch    int64
	writer   *journal.Writer
	kick     chan struct{}
	resigned bool
	offers   []*offer
	// dead is the life of a leader that is known to have ended.
	dead string
	// waitUntil is when this entry may claim again.
	waitUntil time.Time
}

// Init prepares the leader. It must be called before any other method.
func (l *Leader) Init(now time.Time) {
	if l.RandomBelow == nil {
		l.RandomBelow = rand.Int64N
	}
	l.kick = make(chan struct{}, 1)
	l.signed = now
	l.Done = make(chan struct{})
}

// Leading returns the epoch if this entry leads, else 0.
func (l *Leader) Leading() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.book == nil {
		return 0
	}
	return l.epoch
}

// Folded hears of a record of the log.
func (l *Leader) Applied(r journal.Record) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case strings.HasPrefix(r.Key, "j/"), strings.HasPrefix(r.Key, "c/"):
		l.foreign(r, now)
	case strings.HasPrefix(r.Key, "m/"):
	default:
		l.signed = now
	}
}

// foreign takes what another entry may have written: jobs and cancellations.
func (l *Leader) foreign(r journal.Record, now time.Time) {
	if l.book == nil || len(r.Value) == 0 {
		return
	}
	id := r.Key[len("j/"):]
	l.Follower.View(func(state *jobreducer.State, _ time.Duration) {
		j := state.Jobs[id]
		if j == nil {
			return
		}
		if j.Record != nil && j.Outcome == nil {
			l.book.AddJob(j.Record, now)
		}
		if j.Cancel != nil {
			l.book.CancelJob(id, now)
		}
	})
	l.wake()
}

// Restarted hears that the view was built anew: what a leader knew may miss
// records, so it begins a new term.
func (l *Leader) Rebuilt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.signed = time.Now()
	if l.book != nil {
		l.stepDown("the log was cut before it was read", 0)
	}
}

func (l *Leader) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// With calls f with the book if this entry leads, and plans anew.
func (l *Leader) With(f func(b *planner.Book, now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.book == nil {
		return
	}
	f(l.book, time.Now())
	l.wake()
}

// Resign hands the lead to another entry, and never claims it again.
func (l *Leader) Resign() {
	l.mu.Lock()
	l.resigned = true
	l.mu.Unlock()
	l.wake()
}

// Run takes the lead when it is needed and keeps it, until the context ends.
func (l *Leader) Run(ctx context.Context) {
	defer close(l.Done)
	for ctx.Err() == nil {
		if !l.wanted(time.Now()) {
			l.probe(ctx, time.Now())
			waiter.Pause(ctx, watchEvery)
			continue
		}
		if l.claim(ctx) {
			l.lead(ctx)
		}
	}
}

// wanted says whether this entry should claim the lead now.
func (l *Leader) wanted(now time.Time) bool {
	var term *work.Term
	age, strongest, known := time.Duration(0), l.Strength, false
	l.Follower.View(func(state *jobreducer.State, a time.Duration) {
		term, age = state.Term, a
		for _, m := range state.Members {
			known = known || m.Name == l.Name && m.Life == l.Life
			if now.Sub(m.Seen) < MemberTTL {
				strongest = max(strongest, m.Strength)
			}
		}
	})
	regained := l.Follower.RecoveredAt()
	l.mu.Lock()
	defer l.mu.Unlock()
	if age > freshLimit || l.resigned || now.Before(l.waitUntil) {
		return false
	}
	if term == nil {
		// The first start: wait until all have had time to announce themselves.
		if !known {
			l.signed = now
		}
		return now.Sub(l.signed) > introduction+time.Duration((strongest-l.Strength)*float64(weakDelay))
	}
	if term.Life == l.Life && term.Epoch == l.claimed {
		// A claim whose answer was lost took effect.
		return true
	}
	limit, spread := takeover, jitter
	switch {
	case term.Leader == "":
		limit, spread = 0, jitter/4
	case term.Leader == l.Name, l.dead == term.Life:
		// The process that led is gone: it was this entry's, or its address says so.
		limit = 0
	}
	since := l.signed
	if regained.After(since) {
		since = regained
	}
	delay := time.Duration((strongest-l.Strength)*float64(weakDelay)) + time.Duration(l.RandomBelow(int64(spread)))
	if limit == 0 {
		delay /= 3
	}
	if now.Sub(since) < limit+delay {
		return false
	}
	return true
}

// claim writes the record of a new term. It returns true once the record is
// in this entry's view and no later claim is.
func (l *Leader) claim(ctx context.Context) bool {
	var last int64
	mine := false
	l.Follower.View(func(state *jobreducer.State, _ time.Duration) {
		if state.Term != nil {
			last = state.Term.Epoch
			mine = state.Term.Life == l.Life && last == l.claimed
		}
	})
	if !mine {
		l.mu.Lock()
		l.claimed = (last>>epochShift+1)<<epochShift | l.RandomBelow(1<<epochShift)
		l.writer = &journal.Writer{Name: "leader", Epoch: l.claimed, Number: l.RandomBelow(1 << 40)}
		l.mu.Unlock()
		term := &work.Term{Leader: l.Name, Life: l.Life, Epoch: l.claimed, Address: l.Address}
		l.Logger.Info("claim", "epoch", l.claimed, "after", last)
		offset, ok := l.append(ctx, []journal.Record{jobreducer.TermRecord(term)}, time.Now().Add(claimTimeout))
		if !ok {
			l.mu.Lock()
			l.waitUntil = time.Now().Add(time.Duration(l.RandomBelow(int64(jitter))))
			l.mu.Unlock()
			return false
		}
		reached, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		if err := l.Follower.WaitForOffset(reached, offset); err != nil {
			l.Logger.Warn("claim not in view", "epoch", l.claimed, "error", err.Error())
			return false
		}
		return l.begin()
	}
	caught, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := l.Follower.CatchUp(caught); err != nil {
		l.Logger.Warn("claim without a view after it", "epoch", l.claimed, "error", err.Error())
		return false
	}
	return l.begin()
}

// begin starts to lead if the view says so.
func (l *Leader) begin() bool {
	now := time.Now()
	hellos := l.Links.Hellos()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Follower.View(func(state *jobreducer.State, _ time.Duration) {
		if state.Term == nil || state.Term.Epoch != l.claimed || state.Term.Life != l.Life {
			return
		}
		l.epoch = l.claimed
		l.book = planner.New(l.Settings, state, now, l.decided)
		l.book.Resume(state, now)
	})
	if l.book == nil {
		return false
	}
	l.Logger.Info("lead begins", "epoch", l.epoch, "book", l.book.Summary())
	for _, h := range hellos {
		l.book.Hello(h, now)
	}
	return true
}
