package jobacceptor

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/leader"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/wire/work"
)

// absenceTimeout bounds the attempts to record that a job is absent. It covers the time
// until another entry leads.
const absenceTimeout = 2 * time.Second

// confirmAbsent returns the state of a job that the view does not have, or "" once the log
// says that the job is absent: from then on no submission that arrived before, at whatever
// entry, has an effect.
func (a *Acceptor) confirmAbsent(ctx context.Context, id string) (string, error) {
	if a.Follower.Age() > maxViewAge {
		return "", a.unavailable("the view of the log is out of date")
	}
	ctx, cancel := context.WithTimeout(ctx, absenceTimeout)
	defer cancel()
	for {
		record := jobreducer.AbsenceRecord(id, newSuffix(), &work.Absence{ReportedAt: time.Now()})
		err := a.Leader.Write(ctx, []journal.Record{record})
		if errors.Is(err, leader.ErrTooManyAbsences) {
			return "", a.unavailable(err.Error())
		}
		// Whether an entry appended the job just before is told by the view alone.
		if caughtUp := a.catchUp(ctx); caughtUp != nil {
			return "", caughtUp
		}
		if state := a.lookup(id); state != "" {
			return state, nil
		}
		if err == nil {
			return "", nil
		}
		if ctx.Err() != nil {
			return "", a.unavailable("no leader recorded that the job is absent: " + err.Error())
		}
		waiter.Sleep(ctx, retryPause)
	}
}

// ReportedAbsent returns the number of jobs that the log holds a report of their absence of.
func (a *Acceptor) ReportedAbsent() int {
	count := 0
	a.Follower.View(func(state *jobreducer.State, _ time.Duration) { count = len(state.Absences) })
	return count
}

// newSuffix returns a suffix for the key of a record that must replace no other.
func newSuffix() string { return strconv.FormatUint(rand.Uint64(), 36) }
