package leader

import (
	"context"
	"errors"
	"time"

	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/log/journal"
)

const (
	// minRetryPause and maxRetryPause limit the pause between two attempts of
	// an append.
	minRetryPause = 15 * time.Millisecond
	maxRetryPause = 200 * time.Millisecond
	// unknownOffset is returned instead of an offset that the log did not tell.
	unknownOffset = -1
)

// append retries an append under the current number until the log answers. A
// repeat of the same number has no effect if an earlier attempt succeeded. It
// returns the offset of the first record, unknownOffset if the log did not tell it, and
// false if another leader took over or the deadline passed. A zero deadline means none.
func (l *Leader) append(ctx context.Context, records []journal.Record, deadline time.Time) (int64, bool) {
	pause, lost, began := minRetryPause, false, time.Now()
	for ctx.Err() == nil {
		offset, err := l.Journal.Append(ctx, records, l.writer)
		var sequence *journal.SequenceError
		switch {
		case err == nil:
			if lost {
				l.Logger.Info("log regained", "writes", true)
			}
			if l.AppendLatency != nil {
				l.AppendLatency.Observe(time.Since(began))
			}
			return offset, true
		case errors.Is(err, journal.ErrFenced):
			l.Logger.Info("fenced", "epoch", l.writer.Epoch)
			return 0, false
		case errors.As(err, &sequence):
			// If the log expects the next number, it has these records already.
			// Otherwise another claim with the same epoch won.
			l.Logger.Warn("append out of sequence", "number", l.writer.Number, "expected", sequence.ExpectedNumber)
			return unknownOffset, sequence.ExpectedNumber == l.writer.Number+1
		}
		if !lost {
			lost = true
			l.Logger.Warn("log lost", "writes", true, "error", err.Error())
		}
		if !deadline.IsZero() && time.Now().After(deadline) {
			return 0, false
		}
		waiter.Sleep(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
	return 0, false
}
