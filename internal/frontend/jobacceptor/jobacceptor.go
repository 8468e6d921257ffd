// Package jobacceptor takes jobs from clients and tells them how their jobs
// stand. A job is accepted once its record is in the log.
package jobacceptor

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/frontend/queuecataloger"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/leader"
	"knapweedspur/internal/job/logfollower"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/metric/exporter"
	"knapweedspur/internal/wire/work"
)

const (
	// staleLimit is the oldest view that answers for work being absent, or
	// counts it.
	staleLimit = 1500 * time.Millisecond
	// lostLimit is the age of the view beyond which the log is taken to be
	// out of reach, so that a request is refused without a try.
	lostLimit = 1200 * time.Millisecond
	// comeBack is when a refused client may return: other entries may reach
	// the log already.
	comeBack = time.Second
	// offerLimit is how long the leader may take to write a record. It is well
	// under the time that clients wait, so that a direct append can follow.
	offerLimit = 1100 * time.Millisecond
	// refusedTries are the tries of an append that the log refuses.
	refusedTries = 3
	// refusedPause is the pause between them.
	refusedPause = 60 * time.Millisecond
	// unknownLimit bounds the tries of an append without an answer.
	unknownLimit = 2200 * time.Millisecond
	// openLimit is how long an append without an answer may still take effect:
	// longer than the log is away at a time.
	openLimit = 30 * time.Second
	// absentWait bounds the wait for a view that is young enough to say that
	// a job is absent.
	absentWait = time.Second
)

// The states of a job that has not ended.
const (
	Queued  = "queued"
	Running = "running"
)

// Writer brings records into the log with those of the leader.
type LeaderWriter interface {
	Write(ctx context.Context, records []journal.Record) error
}

// Acceptor answers clients.
type Acceptor struct {
	Journal  journal.Journal
	Follower *logfollower.Follower
	// Leader writes records together with its own.
	Leader    LeaderWriter
	Cataloger *queuecataloger.Cataloger
	// ConfigAge tells how old the knowledge of the configuration is.
	ConfigAge func() time.Duration
	Logger    hclog.Logger
	// Accepts measures the time until a job or a cancellation is in the log, or
	// refused; nil for not.
	AcceptLatency *exporter.Histogram
	// MaxRecord bounds the record of a job, in bytes.
	MaxRecordBytes int

	leaving atomic.Bool
	// open holds the keys of records that may still get into the log, and since when.
	mu   sync.Mutex
	open map[string]time.Time
}

// Leave makes the entry not ready, so that the balancer sends no new clients.
func (a *Acceptor) StartDraining() { a.leaving.Store(true) }

// Leaving says whether the entry is about to stop.
func (a *Acceptor) Draining() bool { return a.leaving.Load() }

// Ready says whether the entry can serve clients.
func (a *Acceptor) Ready() bool {
	return !a.leaving.Load() && a.Cataloger.Current() != nil && a.Follower.Age() < staleLimit
}

// Find returns the queue of a request.
func (a *Acceptor) FindQueue(host, path string) (*queuecataloger.Queue, int64, error) {
	catalog := a.Cataloger.Current()
	if catalog == nil {
		return nil, 0, refuse("no configuration yet")
	}
	if q := catalog.Find(host, path); q != nil {
		return q, catalog.Version, nil
	}
	if age := a.ConfigAge(); age > staleLimit {
		return nil, 0, refuse("no such queue in a configuration that may be out of date")
	}
	return nil, 0, &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.NotFound, Reason: "no such queue"}
}

func refuse(reason string) error {
	return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.LogUnavailable, Reason: reason, RetryAfter: comeBack}
}

// Submit accepts a job. A repeat of one that is known is accepted as well.
func (a *Acceptor) Submit(ctx context.Context, q *queuecataloger.Queue, version int64, job *work.Job, now time.Time) error {
	if a.known(job.ID) {
		a.Logger.Info("accept", "job", job.ID, "queue", q.Name, "repeat", true)
		return nil
	}
	for i := range job.Steps {
		// The state of a step must fit a record, or no leader could write it.
		if limit := a.MaxRecordBytes / jobreducer.MaxTaskBytes; job.Steps[i].Tasks > limit {
			return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Invalid, Reason: fmt.Sprintf("step %d has %d tasks, the limit is %d", i, job.Steps[i].Tasks, limit)}
		}
	}
	job.Queue, job.AcceptedAt = q.Queue, now
	record := jobreducer.JobRecord(job)
	if len(record.Value)+len(record.Key) >= a.MaxRecordBytes {
		return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Invalid, Reason: "the job is larger than a record of the log"}
	}
	err := a.settle(record.Key, a.append(ctx, record), now)
	level := hclog.Info
	if err != nil {
		// Refusals are not folded under load.
		level = hclog.Warn
	}
	a.Logger.Log(level, "accept", "job", job.ID, "queue", q.Name, "version", version, "outcome", outcome(err), "took", time.Since(now).String(), "view", a.Follower.Age().String())
	return err
}

// settle keeps a refusal true: what an earlier try may still bring into the
// log cannot be said never to happen.
func (a *Acceptor) settle(key string, err error, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open == nil {
		a.open = map[string]time.Time{}
	}
	for other, since := range a.open {
		if now.Sub(since) > openLimit {
			delete(a.open, other)
		}
	}
	switch {
	case err == nil:
		delete(a.open, key)
	case verdict.Of(err) == verdict.Unknown:
		a.open[key] = now
	case !a.open[key].IsZero():
		return &verdict.Error{Verdict: verdict.Unknown, Cause: verdict.DeadlineExceeded, Reason: "an earlier try may still be taken"}
	}
	return err
}

func outcome(err error) string {
	if err == nil {
		return "done"
	}
	return err.Error()
}

func (a *Acceptor) known(id string) bool {
	known := false
	a.Follower.View(func(state *jobreducer.State, _ time.Duration) { known = state.Jobs[id].Accepted() })
	return known
}

// append writes one record. It repeats an append without an answer, which is
// harmless since a record of the same key says the same.
func (a *Acceptor) append(ctx context.Context, record journal.Record) error {
	if a.Follower.Age() > lostLimit {
		return refuse("the log is out of reach from here")
	}
	began, unknown, refusals := time.Now(), false, 0
	defer func() {
		if a.AcceptLatency != nil {
			a.AcceptLatency.Observe(time.Since(began))
		}
	}()
	switch err := a.throughLeader(ctx, record); {
	case err == nil:
		return nil
	case !leader.NotWritten(err):
		unknown = true
	}
	for {
		_, err := a.Journal.Append(ctx, []journal.Record{record}, nil)
		if err == nil {
			return nil
		}
		if errors.Is(err, journal.ErrRefused) {
			refusals++
			if refusals >= refusedTries && !unknown {
				return refuse("the log refuses appends")
			}
		} else {
			unknown = true
		}
		if ctx.Err() != nil || time.Since(began) > unknownLimit {
			return &verdict.Error{Verdict: verdict.Unknown, Cause: verdict.DeadlineExceeded, Reason: "the log gave no answer"}
		}
		waiter.Sleep(ctx, refusedPause)
	}
}

// throughLeader offers a record to the leader. Whatever became of it, the
// record may be appended again: it says the same.
func (a *Acceptor) throughLeader(ctx context.Context, record journal.Record) error {
	ctx, cancel := context.WithTimeout(ctx, offerLimit)
	defer cancel()
	return a.Leader.Write(ctx, []journal.Record{record})
}

// State returns the state of a job.
func (a *Acceptor) State(ctx context.Context, id string) (string, error) {
	if state := a.lookup(id); state != "" {
		return state, nil
	}
	if err := a.catch(ctx); err != nil {
		return "", err
	}
	if state := a.lookup(id); state != "" {
		return state, nil
	}
	return "", absent()
}

func absent() error {
	return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.NotFound, Reason: "no such job"}
}

// catch waits for a view that is younger than the request.
func (a *Acceptor) catch(ctx context.Context) error {
	if a.Follower.Age() > staleLimit {
		return refuse("the view of the log is out of date")
	}
	ctx, cancel := context.WithTimeout(ctx, absentWait)
	defer cancel()
	if a.Follower.CatchUp(ctx) != nil {
		return refuse("the log is out of reach from here")
	}
	return nil
}

// lookup returns the state of a job, empty for an unknown one.
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

// Cancel cancels a job.
func (a *Acceptor) Cancel(ctx context.Context, id string, now time.Time) error {
	state := a.lookup(id)
	if state == "" {
		if err := a.catch(ctx); err != nil {
			return err
		}
		state = a.lookup(id)
	}
	switch state {
	case "":
		return absent()
	case Queued, Running:
	default:
		return nil
	}
	record := jobreducer.CancelRecord(id, &work.Cancel{RequestedAt: now})
	err := a.settle(record.Key, a.append(ctx, record), now)
	a.Logger.Info("cancel accepted", "job", id, "outcome", outcome(err), "took", time.Since(now).String())
	return err
}

// Pending counts the jobs of a queue that no run was started for.
func (a *Acceptor) Pending(queue string) (int, error) {
	if a.Follower.Age() > staleLimit {
		return 0, refuse("the view of the log is out of date")
	}
	count := 0
	a.Follower.View(func(state *jobreducer.State, _ time.Duration) {
		for _, j := range state.Jobs {
			if j.Record != nil && j.Outcome == nil && j.Cancel == nil && j.Record.Queue.Name == queue && !j.Started() {
				count++
			}
		}
	})
	return count, nil
}
