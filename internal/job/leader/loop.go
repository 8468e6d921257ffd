package leader

import (
	"context"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/wire/work"
)

// lead plans and writes until the lead is lost.
func (l *Leader) lead(ctx context.Context) {
	l.Links.Announce()
	defer l.Links.Announce()
	if l.Advisor != nil {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go l.advise(ctx)
	}
	lastWrite := time.Now()
	for {
		select {
		case <-l.kick:
		case <-time.After(watchEvery):
		case <-ctx.Done():
			return
		}
		now := time.Now()
		batch, offers := l.pass(now)
		if batch == nil {
			settle(offers, ErrLeadershipLost)
			return
		}
		if l.isResigned() {
			l.handOver(ctx, batch, offers)
			return
		}
		if len(batch.Records) == 0 && now.Sub(lastWrite) > signEvery {
			batch.Records = []journal.Record{jobreducer.TermRecord(&work.Term{Leader: l.Name, Life: l.Life, Epoch: l.epoch, Address: l.Address})}
		}
		if len(batch.Records) > 0 {
			if !l.write(ctx, batch.Records) {
				settle(offers, ErrLeadershipLost)
				return
			}
			lastWrite = now
		}
		settle(offers, nil)
		l.release(batch)
	}
}

// isolation is how long most agents may be unheard until the leader takes
// itself for cut off: less than the silence after which it would revoke them.
const isolation = 1000 * time.Millisecond

// pass plans once. It returns nil when the lead is over.
func (l *Leader) pass(now time.Time) (*planner.Batch, []*offer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.book == nil {
		offers := l.offers
		l.offers = nil
		return nil, offers
	}
	if unheard, total := l.book.Unheard(now, isolation); total > 2 && 2*unheard > total {
		l.stepDown("most agents are not heard here", abstain)
		offers := l.offers
		l.offers = nil
		return nil, offers
	}
	records, offers := l.takeOffers(now)
	l.book.Tick(now)
	batch := l.book.Flush()
	batch.Records = append(records, batch.Records...)
	return batch, offers
}

func (l *Leader) isResigned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resigned
}

// handOver writes what was decided last and opens the lead to the others.
func (l *Leader) handOver(ctx context.Context, batch *planner.Batch, offers []*offer) {
	term := jobreducer.TermRecord(&work.Term{Epoch: l.epoch})
	if l.write(ctx, append(batch.Records, term)) {
		settle(offers, nil)
		l.release(batch)
	} else {
		settle(offers, ErrLeadershipLost)
	}
	l.mu.Lock()
	l.stepDown("resigned", 0)
	l.mu.Unlock()
}

// release confirms a batch and sends its orders.
func (l *Leader) release(batch *planner.Batch) {
	l.mu.Lock()
	if l.book != nil {
		batch.Confirm(time.Now())
	}
	l.mu.Unlock()
	for vm, g := range batch.Grants {
		l.Links.SendGrant(vm, g)
	}
	for vm, o := range batch.Orders {
		o.Epoch = l.epoch
		l.Links.SendOrders(vm, o)
	}
}

// write appends records until the log has them. It returns false when the
// lead is lost.
func (l *Leader) write(ctx context.Context, records []journal.Record) bool {
	for len(records) > 0 {
		count, size := 0, 0
		for count < len(records) && (count == 0 || size+recordSize(records[count]) <= l.MaxCall/2) {
			size += recordSize(records[count])
			count++
		}
		l.writer.Number++
		if _, ok := l.append(ctx, records[:count], time.Time{}); !ok {
			l.mu.Lock()
			l.stepDown("the log took no record", 0)
			l.mu.Unlock()
			return false
		}
		records = records[count:]
	}
	return true
}

// recordOverhead is what a record needs beside key and value, in bytes.
const recordOverhead = 5

func recordSize(r journal.Record) int { return len(r.Key) + len(r.Value) + recordOverhead }

// decided writes the line of a decision. Lost work is told as a warning, so
// that its lines are not folded under load.
func (l *Leader) decided(decision string, fields ...any) {
	fields = append(fields, "epoch", l.epoch)
	switch decision {
	case "revoke", "void", "gone":
		l.Logger.Warn(decision, fields...)
	default:
		l.Logger.Info(decision, fields...)
	}
}

// stepDown ends the lead. The caller holds the lock.
func (l *Leader) stepDown(reason string, rest time.Duration) {
	if l.book == nil {
		return
	}
	l.Logger.Warn("lead ends", "epoch", l.epoch, "reason", reason)
	l.book = nil
	l.claimed = 0
	l.waitUntil = time.Now().Add(rest)
	l.wake()
}
