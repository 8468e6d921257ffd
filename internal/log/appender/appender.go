// Package appender batches records and appends them to a log stream. While one
// append is in flight, new records are queued for the next. An append whose
// answer was lost is retried with the same sequence number, so that the reducer
// drops the duplicate.
package appender

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/client/logclient"
	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/message"
)

// Limits and retry delays of an appender.
const (
	// MaxRecords is the maximum number of records in one append.
	MaxRecords = 512
	// MaxQueue is the maximum number of queued records.
	MaxQueue = 65536

	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// RecordState is what is known about a record passed to Enqueue.
type RecordState int

// The states of a record.
const (
	// Queued means that the record has not been sent to the log yet.
	Queued RecordState = iota
	// Sent means that the record was sent and may be in the log.
	Sent
	// Written means that the log has acknowledged the record.
	Written
	// Withdrawn means that the record is not in the log and never will be.
	Withdrawn
)

// PendingRecord is a handle to a record passed to Enqueue.
type PendingRecord struct {
	// Done is closed when the record has been written.
	Done   chan struct{}
	record message.Record
	state  RecordState
	offset uint64
	// abandoned is set if the caller gave up after the record was sent.
	abandoned bool
}

// Appender appends records to one stream. Set the exported fields, then call
// Run.
type Appender struct {
	Log logclient.Log
	// Stream is the name of the stream.
	Stream string
	// Writer identifies this incarnation of the process.
	Writer string
	// MinInterval is the minimum time between the starts of two appends.
	MinInterval time.Duration
	// SharedRate limits the appends per second of all writers of the stream
	// together, 0 for no limit. WriterCount returns how many writers share it.
	SharedRate  int
	WriterCount func() int
	// Timeout bounds one attempt to append.
	Timeout time.Duration
	Logger  hclog.Logger

	mu         sync.Mutex
	queue      []*PendingRecord
	wake       chan struct{}
	initOnce   sync.Once
	lastNumber uint64
	stalled    atomic.Bool
	appends    atomic.Int64
	records    atomic.Int64
	bytes      atomic.Int64
}

// Counts are the totals of an appender.
type Counts struct {
	Appends, Records, Bytes int64
}

// Counts returns the totals so far.
func (a *Appender) Counts() Counts {
	return Counts{Appends: a.appends.Load(), Records: a.records.Load(), Bytes: a.bytes.Load()}
}

// Stalled reports whether the last attempt to append failed.
func (a *Appender) Stalled() bool { return a.stalled.Load() }

func (a *Appender) init() {
	a.initOnce.Do(func() { a.wake = make(chan struct{}, 1) })
}

// Enqueue queues a record for the next append. It returns nil if the queue is
// full.
func (a *Appender) Enqueue(r message.Record) *PendingRecord {
	a.init()
	pending := &PendingRecord{Done: make(chan struct{}), record: r}
	a.mu.Lock()
	if len(a.queue) >= MaxQueue {
		a.mu.Unlock()
		return nil
	}
	a.queue = append(a.queue, pending)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return pending
}

// Withdraw removes a record from the queue if it has not been sent yet, and
// returns its state. One that was sent may be in the log, but is not sent again.
func (a *Appender) Withdraw(pending *PendingRecord) RecordState {
	a.mu.Lock()
	defer a.mu.Unlock()
	if pending.state != Queued {
		pending.abandoned = true
		return pending.state
	}
	pending.state = Withdrawn
	for i, other := range a.queue {
		if other == pending {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			break
		}
	}
	return Withdrawn
}

// Offset returns the log offset of a written record.
func (a *Appender) Offset(pending *PendingRecord) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return pending.offset
}

// takeBatch removes up to MaxRecords records from the queue and marks them as
// sent.
func (a *Appender) takeBatch() []*PendingRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(a.queue), MaxRecords)
	batch := a.queue[:n:n]
	a.queue = a.queue[n:]
	for _, pending := range batch {
		pending.state = Sent
	}
	return batch
}

// Run appends queued records until the context ends.
func (a *Appender) Run(ctx context.Context) {
	a.init()
	for {
		batch := a.takeBatch()
		if len(batch) > 0 {
			start := time.Now()
			if !a.writeBatch(ctx, start, batch) {
				return
			}
			if !sleep(ctx, a.interval()-time.Since(start)) {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
	}
}

// interval returns the time between two appends that keeps within this writer's
// share of the rate limit.
func (a *Appender) interval() time.Duration {
	if a.SharedRate == 0 || a.WriterCount == nil {
		return a.MinInterval
	}
	return max(a.MinInterval, time.Duration(a.WriterCount())*time.Second/time.Duration(a.SharedRate))
}

// writeBatch retries one append until the log has acknowledged it. It returns
// false if the context ended first.
func (a *Appender) writeBatch(ctx context.Context, now time.Time, pending []*PendingRecord) bool {
	a.lastNumber++
	backoff := initialBackoff
	for {
		batch := a.batchWithoutAbandoned(now, pending)
		value, err := codec.Encode(&batch)
		if err != nil {
			a.Logger.Error("cannot encode a batch; dropping its records", "error", err)
			return true
		}
		offset, err := a.appendOnce(ctx, value)
		if err == nil {
			a.markWritten(pending, offset, len(value))
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		if !errors.Is(err, logclient.ErrRefused) {
			a.stalled.Store(true)
			a.Logger.Warn("log append failed; retrying", "stream", a.Stream, "number", batch.Number, "error", err)
		}
		if !sleep(ctx, backoff) {
			return false
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// batchWithoutAbandoned returns the batch under the last number, without abandoned records. If an
// earlier attempt with them is in the log, the reducer drops this one as its duplicate;
// if not, it drops that one should it come later.
func (a *Appender) batchWithoutAbandoned(now time.Time, pending []*PendingRecord) message.Batch {
	a.mu.Lock()
	defer a.mu.Unlock()
	batch := message.Batch{Writer: a.Writer, Number: a.lastNumber, Time: now, Records: []message.Record{}}
	for _, p := range pending {
		if !p.abandoned {
			batch.Records = append(batch.Records, p.record)
		}
	}
	return batch
}

func (a *Appender) appendOnce(ctx context.Context, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	return a.Log.Append(ctx, a.Stream, value)
}

func (a *Appender) markWritten(pending []*PendingRecord, offset uint64, size int) {
	a.stalled.Store(false)
	a.appends.Add(1)
	a.records.Add(int64(len(pending)))
	a.bytes.Add(int64(size))
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range pending {
		p.state = Written
		p.offset = offset
		close(p.Done)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
