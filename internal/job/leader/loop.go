package leader

import (
	"context"
	"sync"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/wire/work"
)

// lead plans, writes records and sends commands until the leadership ends.
func (l *Leader) lead(ctx context.Context) {
	l.Agents.Announce()
	defer l.Agents.Announce()
	if l.PolicyService != nil {
		ctx, cancel := context.WithCancel(ctx)
		var queries sync.WaitGroup
		queries.Go(func() { l.requestTickets(ctx) })
		// A late answer must not reach the planner of the next lead.
		defer queries.Wait()
		defer cancel()
	}
	lastWrite := time.Now()
	for {
		select {
		case <-l.wakeup:
		case <-time.After(checkInterval):
		case <-ctx.Done():
			return
		}
		now := time.Now()
		batch, proposals := l.planOnce(now)
		if batch == nil {
			completeProposals(proposals, ErrNotLeading)
			return
		}
		if l.isResigned() {
			l.handOver(ctx, batch, proposals)
			return
		}
		if len(batch.Records) == 0 && now.Sub(lastWrite) > keepaliveInterval {
			batch.Records = []journal.Record{jobreducer.TermRecord(&work.Term{Leader: l.Name, Incarnation: l.Incarnation, Epoch: l.epoch, Address: l.Address})}
		}
		if len(batch.Records) > 0 {
			l.addForecast(batch, now)
			offset, ok := l.write(ctx, batch.Records)
			if !ok {
				completeProposals(proposals, ErrLeadershipLost)
				return
			}
			l.mu.Lock()
			l.absences.written(offset, time.Now())
			l.mu.Unlock()
			lastWrite = now
		}
		completeProposals(proposals, nil)
		l.sendBatch(batch)
	}
}

// wake triggers a pass.
func (l *Leader) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// addForecast adds the forecast of room to records that are written anyway.
func (l *Leader) addForecast(batch *planner.Batch, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner == nil {
		return
	}
	l.guard(func() {
		if forecast := l.planner.Outlook(l.epoch, now); forecast != nil {
			batch.Records = append(batch.Records, jobreducer.ForecastRecord(forecast))
		}
	})
}

// isolationLimit is how long most agents may be silent before the leader
// considers itself isolated and steps down. It is shorter than the silence
// after which the leader would revoke their sessions.
const isolationLimit = 1000 * time.Millisecond

// planOnce runs one pass of the planner. It returns the batch to write with the proposals
// in it, and a nil batch if this entry no longer leads.
func (l *Leader) planOnce(now time.Time) (*planner.Batch, []*proposal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner == nil {
		return nil, nil
	}
	if unresponsive, total := l.planner.CountUnresponsiveVMs(now, isolationLimit); total > 2 && 2*unresponsive > total {
		l.stepDown("most agents are not heard here", isolatedPause)
		return nil, nil
	}
	proposals := l.proposals
	l.proposals = nil
	var batch *planner.Batch
	l.guard(func() {
		records := append(l.expireAbsences(now), l.applyClientRecords(now)...)
		var proposed []journal.Record
		proposals, proposed = l.planProposals(proposals, now)
		records = append(records, proposed...)
		l.planner.SetEvacuation(l.Evacuation(), now)
		l.planner.Tick(now)
		planned := l.planner.Flush()
		planned.Records = append(records, planned.Records...)
		batch = planned
	})
	return batch, proposals
}

func (l *Leader) isResigned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resigned
}

// handOver writes the last batch together with a term without a leader, so that
// another entry can claim the leadership at once, and steps down.
func (l *Leader) handOver(ctx context.Context, batch *planner.Batch, proposals []*proposal) {
	term := jobreducer.TermRecord(&work.Term{Epoch: l.epoch})
	if _, ok := l.write(ctx, append(batch.Records, term)); ok {
		completeProposals(proposals, nil)
		l.sendBatch(batch)
	} else {
		completeProposals(proposals, ErrLeadershipLost)
	}
	l.mu.Lock()
	l.stepDown("resigned", 0)
	l.mu.Unlock()
}

// sendBatch confirms a batch whose records are in the log, and sends its grants
// and commands to the agents.
func (l *Leader) sendBatch(batch *planner.Batch) {
	l.mu.Lock()
	if l.planner != nil {
		batch.Confirm(time.Now())
	}
	l.mu.Unlock()
	for vm, g := range batch.Grants {
		l.Agents.SendGrant(vm, g)
	}
	for vm, commands := range batch.Commands {
		commands.Epoch = l.epoch
		for _, part := range splitCommands(commands) {
			l.Agents.SendCommands(vm, part)
		}
	}
}

const (
	// maxStartBytes bounds the starts of one packet, unless a single one is larger: far
	// below the limit of a frame.
	maxStartBytes = 1 << 20
	// startOverhead is more than the encoded size of a start beyond its strings, in bytes.
	startOverhead = 300
)

// splitCommands divides commands whose starts are large. The parts before the last one
// have no number, so that the agent counts the commands as handled only after all.
func splitCommands(c *work.Commands) []*work.Commands {
	var parts []*work.Commands
	size, first := 0, 0
	for i := range c.Starts {
		s := &c.Starts[i]
		bytes := startOverhead + len(s.Task) + len(s.Spec) + len(s.Image) + len(s.Ticket) + len(s.Checkpoint)
		if i > first && size+bytes > maxStartBytes {
			parts = append(parts, &work.Commands{Epoch: c.Epoch, Fence: c.Fence, VM: c.VM, Starts: c.Starts[first:i]})
			size, first = 0, i
		}
		size += bytes
	}
	last := *c
	last.Starts = c.Starts[first:]
	return append(parts, &last)
}

// write appends records, split into appends of up to half of MaxAppendBytes, and
// retries until the log has them. It returns the offset of the last record, pendingOffset
// if it is not known, and false when the leadership is lost.
func (l *Leader) write(ctx context.Context, records []journal.Record) (int64, bool) {
	last := int64(pendingOffset)
	for len(records) > 0 {
		count, size := 0, 0
		for count < len(records) && (count == 0 || size+recordSize(records[count]) <= l.MaxAppendBytes/2) {
			size += recordSize(records[count])
			count++
		}
		l.writer.Number++
		offset, ok := l.append(ctx, records[:count], time.Time{})
		if !ok {
			l.mu.Lock()
			l.stepDown("the log took no record", 0)
			l.mu.Unlock()
			return 0, false
		}
		if last = pendingOffset; offset != unknownOffset {
			last = offset + int64(count) - 1
		}
		records = records[count:]
	}
	return last, true
}

// recordOverhead is the encoded size of a record beyond its key and value, in
// bytes.
const recordOverhead = 5

func recordSize(r journal.Record) int { return len(r.Key) + len(r.Value) + recordOverhead }

// logDecision logs a decision of the planner. Lost work is logged as a warning,
// so that its lines are not folded into counts under load.
func (l *Leader) logDecision(decision string, fields ...any) {
	fields = append(fields, "epoch", l.epoch)
	switch decision {
	case "revoke", "void", "gone", "unknown run":
		l.Logger.Warn(decision, fields...)
	default:
		l.Logger.Info(decision, fields...)
	}
}

// stepDown ends the leadership, and keeps this entry from claiming it again for
// claimPause. The caller holds the lock.
func (l *Leader) stepDown(reason string, claimPause time.Duration) {
	if l.planner == nil {
		return
	}
	l.Logger.Warn("lead ends", "epoch", l.epoch, "reason", reason)
	l.planner = nil
	l.leading.Store(0)
	// Their callers look for another way to write them.
	completeProposals(l.proposals, ErrNotLeading)
	l.proposals = nil
	l.claimedEpoch = 0
	l.noClaimBefore = time.Now().Add(claimPause)
	l.wake()
}
