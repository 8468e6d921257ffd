package jobacceptor

import (
	"context"
	"errors"
	"time"

	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/leader"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/wire/work"
)

// errUnconfirmed means that the append was answered, but the view does not show in time
// whether the record counts.
var errUnconfirmed = &verdict.Error{Verdict: verdict.Unknown, Cause: verdict.DeadlineExceeded, Reason: "the log was not read in time after the append"}

// appendRecord appends one record, by itself if no leader does. The second function makes
// the record for each append without a leader and may check it afterwards. Repeats are
// safe, since one record says the same as two.
func (a *Acceptor) appendRecord(ctx context.Context, record journal.Record, direct func() journal.Record, confirm func(offset int64) error) error {
	if a.Follower.Unanswered() > maxUnanswered {
		return a.unavailable("the log is out of reach from here")
	}
	start, mayBeWritten, refusals := time.Now(), false, 0
	defer func() {
		if a.AcceptLatency != nil {
			a.AcceptLatency.Observe(time.Since(start))
		}
	}()
	var contradicted *leader.ContradictedError
	switch err := a.writeViaLeader(ctx, record); {
	case err == nil, errors.As(err, &contradicted):
		return err
	case !leader.NotWritten(err):
		mayBeWritten = true
	}
	for {
		offset, err := a.Journal.Append(ctx, []journal.Record{direct()}, nil)
		if err == nil {
			return confirm(offset)
		}
		if errors.Is(err, journal.ErrRefused) {
			refusals++
			if refusals >= maxRefusals && !mayBeWritten {
				return a.unavailable("the log refuses appends")
			}
		} else {
			mayBeWritten = true
		}
		if ctx.Err() != nil || time.Since(start) > unansweredTimeout {
			return &verdict.Error{Verdict: verdict.Unknown, Cause: verdict.DeadlineExceeded, Reason: "the log gave no answer"}
		}
		waiter.Sleep(ctx, retryPause)
	}
}

// appendCancel appends the record of a cancellation.
func (a *Acceptor) appendCancel(ctx context.Context, record journal.Record) error {
	return a.appendRecord(ctx, record, func() journal.Record { return record }, func(int64) error { return nil })
}

// appendJob appends a job and returns nil once it counts. If its absence was reported
// meanwhile it does not count, and is refused unless it arrived after that report.
func (a *Acceptor) appendJob(ctx context.Context, job *work.Job, arrived time.Duration) error {
	for {
		err := a.appendRecord(ctx, jobreducer.JobRecord(job),
			func() journal.Record { return jobreducer.CandidateRecord(job, newSuffix()) },
			func(offset int64) error { return a.confirmCandidate(ctx, job.ID, offset) })
		var contradicted *leader.ContradictedError
		if !errors.As(err, &contradicted) {
			return err
		}
		// An earlier append without an answer may have come before the report.
		age := a.Follower.Clock() - arrived
		if a.catchUp(ctx) != nil {
			return errUnconfirmed
		}
		if a.isKnown(job.ID) {
			return nil
		}
		if contradicted.Elapsed <= age || ctx.Err() != nil {
			return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Unavailable, Reason: "the job was reported absent while it was submitted", RetryAfter: minRetryAfter}
		}
		job.Since = contradicted.Offset + 1
	}
}

// confirmCandidate returns nil if a candidate that was appended without the leader counts.
func (a *Acceptor) confirmCandidate(ctx context.Context, id string, offset int64) error {
	ctx, cancel := context.WithTimeout(ctx, unansweredTimeout)
	defer cancel()
	if a.Follower.WaitForOffset(ctx, offset) != nil {
		return errUnconfirmed
	}
	if !a.isKnown(id) {
		return &leader.ContradictedError{}
	}
	return nil
}

// writeViaLeader asks the leader to append a record together with its own.
func (a *Acceptor) writeViaLeader(ctx context.Context, record journal.Record) error {
	ctx, cancel := context.WithTimeout(ctx, leaderWriteTimeout)
	defer cancel()
	return a.Leader.Write(ctx, []journal.Record{record})
}
