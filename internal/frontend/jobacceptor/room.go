package jobacceptor

import (
	"context"
	"time"

	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/frontend/admissiondecider"
	"knapweedspur/internal/frontend/queuecataloger"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/leader"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

// confirmTimeout bounds the wait for a view that shows that no other entry has recorded
// a job. A client that waits longer for a refusal might as well be accepted.
const confirmTimeout = 400 * time.Millisecond

// refuseForRoom returns an error if the job would surely end too late to be useful and
// was never recorded. A job that may be in the log, or on its way there, is accepted:
// it may run, so its client must not be told that it does not.
func (a *Acceptor) refuseForRoom(ctx context.Context, q *queuecataloger.Queue, job *work.Job, key string, now time.Time) error {
	if admissiondecider.Judge(job, a.Situation(now)) == nil || a.mayBeRecorded(key) {
		return nil
	}
	// The request may repeat one whose answer was lost at another entry.
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if a.Follower.CatchUp(ctx) != nil || a.isKnown(job.ID) {
		return nil
	}
	situation := a.Situation(now)
	refusal := admissiondecider.Judge(job, situation)
	if refusal == nil || a.mayBeRecorded(key) {
		return nil
	}
	a.mu.Lock()
	a.decider.Refuse(job, refusal, situation.Entries, now)
	a.mu.Unlock()
	a.refusedForRoom.Add(1)
	err := &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Overload, Reason: refusal.Reason(), RetryAfter: refusal.RetryAfter}
	a.Logger.Warn("accept", "job", job.ID, "queue", q.Name, "outcome", err.Error(), "priority", job.Queue.Priority,
		"fresh", refusal.FreshStart.String(), "return", refusal.RetryAfter.String(), "forecast", refusal.Age.String(), "took", time.Since(now).String())
	return err
}

// Situation returns what the view says about room. Without refusals it has no forecast.
func (a *Acceptor) Situation(now time.Time) admissiondecider.Situation {
	var s admissiondecider.Situation
	a.Follower.Forecast(func(state *jobreducer.State, age time.Duration) {
		if s.Age = age; a.Gates.On(gatekeeper.Refusals) {
			s.Forecast = state.Forecast
		}
		if state.Term != nil {
			s.Epoch = state.Term.Epoch
		}
		for _, m := range state.Members {
			if now.Sub(m.AnnouncedAt) < leader.MemberTTL {
				s.Entries++
			}
		}
	})
	return s
}

// acceptRefused notes that a job was accepted that may have been refused before.
func (a *Acceptor) acceptRefused(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decider.Accept(id)
}

// mayBeRecorded reports whether this entry has tried to write the record of a key and
// does not know that it failed.
func (a *Acceptor) mayBeRecorded(key string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.appending[key] > 0 || !a.unresolved[key].IsZero()
}

// ForecastAge returns the age of the forecast of room, and false if the view has none.
func (a *Acceptor) ForecastAge() (time.Duration, bool) {
	var forecastAge time.Duration
	known := false
	a.Follower.Forecast(func(state *jobreducer.State, age time.Duration) { forecastAge, known = age, state.Forecast != nil })
	return forecastAge, known
}

// RefusedForRoom returns the number of refusals for want of room.
func (a *Acceptor) RefusedForRoom() int64 { return a.refusedForRoom.Load() }
