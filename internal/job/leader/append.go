package leader

import (
	"context"
	"errors"
	"time"

	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/log/journal"
)

const (
	// firstRetry and lastRetry bound the pause between two tries of an append.
	firstRetry = 15 * time.Millisecond
	lastRetry  = 200 * time.Millisecond
)

// append offers records under the current number until the log answers. A
// repeat of the same number changes nothing if the first try took effect. It
// returns the offset of the first record, and false if another leader took over, or after the deadline, which is
// zero for none.
func (l *Leader) append(ctx context.Context, records []journal.Record, deadline time.Time) (int64, bool) {
	retry, lost, began := firstRetry, false, time.Now()
	for ctx.Err() == nil {
		offset, err := l.Journal.Append(ctx, records, l.writer)
		var sequence *journal.SequenceError
		switch {
		case err == nil:
			if lost {
				l.Logger.Info("log regained", "writes", true)
			}
			if l.Appends != nil {
				l.Appends.Observe(time.Since(began))
			}
			return offset, true
		case errors.Is(err, journal.ErrFenced):
			l.Logger.Info("fenced", "epoch", l.writer.Epoch)
			return 0, false
		case errors.As(err, &sequence):
			// Beyond this number, the log has it; below, a claim with the same
			// epoch won.
			l.Logger.Warn("append out of sequence", "number", l.writer.Number, "expected", sequence.Expected)
			return 0, sequence.Expected == l.writer.Number+1
		}
		if !lost {
			lost = true
			l.Logger.Warn("log lost", "writes", true, "error", err.Error())
		}
		if !deadline.IsZero() && time.Now().After(deadline) {
			return 0, false
		}
		waiter.Pause(ctx, retry)
		retry = min(2*retry, lastRetry)
	}
	return 0, false
}
