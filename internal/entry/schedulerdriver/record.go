package schedulerdriver

import (
	"context"
	"time"

	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/log/appender"
	"knapweedspur/internal/wire/message"
)

// outageRetryAfter is the Retry-After time while the log service is down.
const outageRetryAfter = 5 * time.Second

// AppendAndWait appends a caller's record and waits until it is folded. matches
// recognizes the record at its offset. The error says whether the record may take
// effect later: one that is withdrawn before it was sent, as when the log service
// is down, never does (Unrun); once sent, its outcome may be unknown (Unknown).
func (d *Driver) AppendAndWait(ctx context.Context, r message.Record, matches func(*message.Record) bool) *verdict.Error {
	if d.Appender.Stalled() {
		return outageError("the log service does not answer; nothing was recorded")
	}
	pending := d.Appender.Enqueue(r)
	if pending == nil {
		return outageError("too many records wait for the log service; nothing was recorded")
	}
	select {
	case <-pending.Done:
	case <-ctx.Done():
		if d.Appender.Withdraw(pending) == appender.Withdrawn {
			return outageError("the log service did not answer in time; nothing was recorded")
		}
		return &verdict.Error{
			Verdict: verdict.Unknown, Cause: verdict.LogUnavailable, RetryAfter: outageRetryAfter,
			Reason: "the log service did not answer in time; the record may count, so ask for it by name later",
		}
	}
	return d.waitFolded(ctx, d.Appender.Offset(pending), matches)
}

func outageError(reason string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.LogUnavailable, Reason: reason, RetryAfter: outageRetryAfter}
}

// waitFolded waits until an offset is folded and returns why its record was
// rejected, or nil if it took effect.
func (d *Driver) waitFolded(ctx context.Context, offset uint64, matches func(*message.Record) bool) *verdict.Error {
	for {
		reason, folded, next := d.rejection(offset, matches)
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
				Verdict: verdict.Unknown, Cause: verdict.LogUnavailable, RetryAfter: outageRetryAfter,
				Reason: "the record is written and not yet read back; ask for it by name later",
			}
		}
	}
}
