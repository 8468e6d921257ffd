// Package jobacceptor accepts jobs from clients and reports their state. A job is
// accepted once its record is in the log.
package jobacceptor

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/frontend/admissiondecider"
	"knapweedspur/internal/frontend/queuecataloger"
	"knapweedspur/internal/job/jobmeasurer"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/logfollower"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/metric/exporter"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

const (
	// maxViewAge is the maximum age of a view from which the absence of a job is
	// reported or jobs are counted, and of a configuration from which the absence
	// of a queue is reported. An entry with an older view is not ready.
	maxViewAge = 1500 * time.Millisecond
	// maxViewLag is how far the view lags behind the log at most while reads are answered: a
	// poll, its pause and the answer.
	maxViewLag = 300 * time.Millisecond
	// maxConfigAge is the age of the configuration from which no job is accepted: its
	// queue may have been removed while this process was suspended or cut off. It
	// covers two polls of a log that takes half a second for an answer.
	maxConfigAge = 3 * time.Second
	// maxUnanswered is how long the log may leave this entry without an answer
	// before it is assumed to be unreachable, so that a request is refused without
	// an attempt to append.
	maxUnanswered = 1200 * time.Millisecond
	// minRetryAfter is when a refused client may retry at the start of an outage:
	// other entries may be able to reach the log. maxRetryAfter limits the delay
	// in a long outage.
	minRetryAfter, maxRetryAfter = time.Second, 4 * time.Second
	// leaderWriteTimeout bounds a write through the leader. It is well under the
	// time that clients wait, so that a direct append can follow.
	leaderWriteTimeout = 1100 * time.Millisecond
	// maxRefusals is the number of attempts at an append that the log refuses.
	maxRefusals = 3
	// retryPause is the pause between attempts.
	retryPause = 60 * time.Millisecond
	// unansweredTimeout bounds the retries of an append that got no answer.
	unansweredTimeout = 2200 * time.Millisecond
	// unresolvedLifetime is how long an append that got no answer is assumed to be
	// able to take effect: longer than a single outage of the log.
	unresolvedLifetime = 30 * time.Second
	// catchUpTimeout bounds the wait for a view that is recent enough to report
	// that a job is absent.
	catchUpTimeout = time.Second
)

// The states of a job that has not ended.
const (
	Queued  = "queued"
	Running = "running"
)

// LeaderWriter writes records to the log through the leader, in one append with
// the leader's own.
type LeaderWriter interface {
	Write(ctx context.Context, records []journal.Record) error
}

// Acceptor handles the requests of clients.
type Acceptor struct {
	Journal  journal.Journal
	Follower *logfollower.Follower
	// Leader writes records to the log together with its own.
	Leader    LeaderWriter
	Cataloger *queuecataloger.Cataloger
	// ConfigAge returns the time since the configuration was last known to be
	// current.
	ConfigAge func() time.Duration
	Logger    hclog.Logger
	// AcceptLatency measures the time until the record of a job or a cancellation
	// is in the log, refused or given up on without an answer. It may be nil.
	AcceptLatency *exporter.Histogram
	// MaxRecordBytes bounds the record of a job.
	MaxRecordBytes int
	// Gates says which mechanisms are switched off.
	Gates gatekeeper.Gates

	draining       atomic.Bool
	refusedForRoom atomic.Int64
	// mu guards the fields below.
	mu sync.Mutex
	// unresolved maps the keys of records that may still get into the log to the
	// time of the last unanswered append.
	unresolved map[string]time.Time
	// appending counts the appends in progress by key.
	appending map[string]int
	decider   admissiondecider.Decider
}

// StartDraining makes the entry not ready, so that the load balancer sends no new
// clients.
func (a *Acceptor) StartDraining() { a.draining.Store(true) }

// Draining reports whether the entry is about to stop.
func (a *Acceptor) Draining() bool { return a.draining.Load() }

// Arrival returns the position of the view when a request arrived that is being read, and
// when that was on the boot clock, at the earliest.
func (a *Acceptor) Arrival() (position int64, at time.Duration) { return a.Follower.Arrival() }

// Ready reports whether the entry can serve clients.
func (a *Acceptor) Ready() bool {
	return !a.draining.Load() && a.Cataloger.Current() != nil && a.Follower.Age() < maxViewAge
}

// FindQueue returns the queue of a request and the version of the configuration.
func (a *Acceptor) FindQueue(host, path string) (*queuecataloger.Queue, int64, error) {
	catalog := a.Cataloger.Current()
	if catalog == nil {
		return nil, 0, a.unavailable("no configuration yet")
	}
	if q := catalog.Find(host, path); q != nil {
		return q, catalog.Version, nil
	}
	if age := a.ConfigAge(); age > maxViewAge {
		return nil, 0, a.unavailable("no such queue in a configuration that may be out of date")
	}
	return nil, 0, &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.NotFound, Reason: "no such queue"}
}

func (a *Acceptor) unavailable(reason string) error {
	return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.LogUnavailable, Reason: reason, RetryAfter: retryDelay(a.Follower.Unanswered())}
}

// retryDelay returns when a client that is refused during an outage of the log
// should retry. An outage is expected to last about as long again as it has lasted,
// so that a client with few retries outlasts it.
func retryDelay(outage time.Duration) time.Duration {
	roundedUp := (outage + time.Second - 1).Truncate(time.Second)
	return min(max(roundedUp, minRetryAfter), maxRetryAfter)
}

// Submit accepts a job whose submission arrived, at the earliest, at a time on the boot
// clock. A job that is known already is accepted without a new record.
func (a *Acceptor) Submit(ctx context.Context, q *queuecataloger.Queue, version int64, job *work.Job, arrived time.Duration, now time.Time) error {
	if a.acceptRepeat(q, job.ID) {
		return nil
	}
	for i := range job.Steps {
		// All tasks of a gang are placed together, so their records must fit in one
		// append; the largest record is well below that.
		if limit := a.MaxRecordBytes / jobreducer.MaxSoundTaskBytes; job.Steps[i].Tasks > limit {
			return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Invalid, Reason: fmt.Sprintf("step %d has %d tasks, the limit is %d", i, job.Steps[i].Tasks, limit)}
		}
	}
	if a.ConfigAge() > maxConfigAge {
		return a.resolve(jobreducer.JobRecord(job).Key, a.unavailable("the configuration may be out of date"), now)
	}
	job.Queue, job.AcceptedAt = q.Queue, now
	record := jobreducer.JobRecord(job)
	if len(record.Value)+len(record.Key) >= a.MaxRecordBytes {
		return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Invalid, Reason: "the job is larger than a record of the log"}
	}
	if err := a.refuseForRoom(ctx, q, job, record.Key, now); err != nil {
		return err
	}
	if a.acceptRepeat(q, job.ID) {
		return nil
	}
	a.countAppend(record.Key, 1)
	defer a.countAppend(record.Key, -1)
	err := a.resolve(record.Key, a.appendJob(ctx, job, arrived), now)
	if err == nil {
		a.acceptRefused(job.ID)
	}
	level := hclog.Info
	if err != nil {
		// At level Warn, refusals are not folded into counts under load.
		level = hclog.Warn
	}
	a.Logger.Log(level, "accept", "job", job.ID, "queue", q.Name, "kind", jobmeasurer.KindOf(job), "version", version, "outcome", outcomeText(err), "took", time.Since(now).String(), "view", a.Follower.Age().String())
	return err
}

// acceptRepeat reports whether a job is in the log already, so that nothing is left to
// do for it.
func (a *Acceptor) acceptRepeat(q *queuecataloger.Queue, id string) bool {
	if !a.isKnown(id) {
		return false
	}
	a.Logger.Info("accept", "job", id, "queue", q.Name, "repeat", true)
	return true
}

// resolve returns the error to answer with. It turns a refusal into Unknown while
// an earlier append of the same key may still get into the log, since the client
// must not be told that the job will never run.
func (a *Acceptor) resolve(key string, err error, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unresolved == nil {
		a.unresolved = map[string]time.Time{}
	}
	for unresolvedKey, since := range a.unresolved {
		if now.Sub(since) > unresolvedLifetime {
			delete(a.unresolved, unresolvedKey)
		}
	}
	switch {
	case err == nil:
		delete(a.unresolved, key)
	case verdict.Of(err) == verdict.Unknown:
		a.unresolved[key] = now
	case !a.unresolved[key].IsZero():
		return &verdict.Error{Verdict: verdict.Unknown, Cause: verdict.DeadlineExceeded, Reason: "an earlier try may still be taken"}
	}
	return err
}

func outcomeText(err error) string {
	if err == nil {
		return "done"
	}
	return err.Error()
}

func (a *Acceptor) isKnown(id string) bool {
	known := false
	a.Follower.View(func(state *jobreducer.State, _ time.Duration) { known = state.Jobs[id].Accepted() })
	return known
}

// countAppend counts the appends in progress of a key.
func (a *Acceptor) countAppend(key string, change int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.appending == nil {
		a.appending = map[string]int{}
	}
	a.appending[key] += change
	if a.appending[key] == 0 {
		delete(a.appending, key)
	}
}

// State returns the state of a job.
func (a *Acceptor) State(ctx context.Context, id string) (string, error) {
	if state := a.lookup(id); state != "" {
		return state, nil
	}
	state, err := a.confirmAbsent(ctx, id)
	if err == nil && state == "" {
		return "", noSuchJob()
	}
	return state, err
}

func noSuchJob() error {
	return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.NotFound, Reason: "no such job"}
}

// catchUp waits for a view that is newer than the request.
func (a *Acceptor) catchUp(ctx context.Context) error {
	if a.Follower.Age() > maxViewAge {
		return a.unavailable("the view of the log is out of date")
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if a.Follower.CatchUp(ctx) != nil {
		return a.unavailable("the log is out of reach from here")
	}
	return nil
}

// lookup returns the state of a job, empty if the job is unknown.
func (a *Acceptor) lookup(id string) string {
	var found string
	a.Follower.View(func(state *jobreducer.State, _ time.Duration) {
		j := state.Jobs[id]
		switch {
		case !j.Accepted():
		case j.Outcome != nil:
			found = j.Outcome.State
		case j.Cancel != nil:
			found = jobreducer.Canceled
		case j.Started():
			found = Running
		default:
			found = Queued
		}
	})
	return found
}

// Cancel records the cancellation of a job by a request that arrived when the view had the
// given position, at the earliest at a time on the boot clock. A job that has ended or is
// canceled already stays as it is.
func (a *Acceptor) Cancel(ctx context.Context, id string, position int64, arrived time.Duration, now time.Time) error {
	state := a.lookup(id)
	if state == "" {
		var err error
		if state, err = a.confirmAbsent(ctx, id); err != nil {
			return err
		}
	}
	switch state {
	case "":
		return noSuchJob()
	case Queued, Running:
	default:
		return nil
	}
	if a.isNewerThan(id, position, arrived) {
		return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Unavailable, Reason: "the job may have been submitted after this request", RetryAfter: minRetryAfter}
	}
	record := jobreducer.CancelRecord(id, &work.Cancel{RequestedAt: now})
	err := a.resolve(record.Key, a.appendCancel(ctx, record), now)
	a.Logger.Info("cancellation handled", "job", id, "outcome", outcomeText(err), "took", time.Since(now).String())
	return err
}

// isNewerThan reports whether a job may have been submitted after a request arrived that
// was held here: another client was told meanwhile that there is no such job.
func (a *Acceptor) isNewerThan(id string, position int64, arrived time.Duration) bool {
	if a.Follower.Clock()-arrived < maxViewLag {
		return false
	}
	newer := false
	a.Follower.View(func(state *jobreducer.State, _ time.Duration) { newer = state.SubmittedAfterReport(id, position) })
	return newer
}

// Pending returns the number of jobs of a queue of which no run was started.
func (a *Acceptor) Pending(queue string) (int, error) {
	if a.Follower.Age() > maxViewAge {
		return 0, a.unavailable("the view of the log is out of date")
	}
	count := 0
	a.Follower.View(func(state *jobreducer.State, _ time.Duration) {
		for _, j := range state.Jobs {
			if j.Description != nil && j.Outcome == nil && j.Cancel == nil && j.Description.Queue.Name == queue && !j.Started() {
				count++
			}
		}
	})
	return count, nil
}
