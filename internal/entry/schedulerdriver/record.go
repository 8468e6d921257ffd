package schedulerdriver

import (
	"context"
	"time"

	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/log/appender"
	"knapweedspur/internal/wire/message"
)

// outagePause is when callers are asked back while the log is down.
const outagePause = 5 * time.Second

// Record offers a caller's record and waits until it is folded. The error says
// whether the record may count in the end: while the log is down it is
// withdrawn and has not run; once sent, its fate may be unknown.
func (d *Driver) AppendAndWait(ctx context.Context, r message.Record, same func(*message.Record) bool) *verdict.Error {
	if d.Appender.Stalled() {
		return outage("the log service does not answer; nothing was recorded")
	}
	ticket := d.Appender.Enqueue(r)
	if ticket == nil {
		return outage("too many records wait for the log service; nothing was recorded")
	}
	select {
	case <-ticket.Done:
	case <-ctx.Done():
		if d.Appender.Withdraw(ticket) == appender.Withdrawn {
			return outage("the log service did not answer in time; nothing was recorded")
		}
		return &verdict.Error{
			Verdict: verdict.Unknown, Cause: verdict.LogUnavailable, RetryAfter: outagePause,
			Reason: "the log service did not answer in time; the record may count, so ask for it by name later",
		}
	}
	return d.settled(ctx, d.Appender.Offset(ticket), same)
}

func outage(reason string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.LogUnavailable, Reason: reason, RetryAfter: outagePause}
}

// settled waits until an offset is folded and tells whether its record counted.
func (d *Driver) settled(ctx context.Context, offset uint64, same func(*message.Record) bool) *verdict.Error {
	for {
		reason, folded, next := d.rejection(offset, same)
		if folded && reason == "" {
			return nil
		}
		if folded {
			return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Conflict, Reason: reason}
		}
		select {
		case <-next:
		case <-ctx.Done():
			return &verdict.Error{
				Verdict: verdict.Unknown, Cause: verdict.LogUnavailable, RetryAfter: outagePause,
				Reason: "the record is written and not yet read back; ask for it by name later",
			}
		}
	}
}
