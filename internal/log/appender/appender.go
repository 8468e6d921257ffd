// Package appender offers records to a log stream in groups. One append holds
// all the records that came while the one before it was on its way. An append
// whose answer was lost is offered again under its old number, so that the
// fold drops the double.
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

// Limits and pauses of an appender.
const (
	// MaxRecords is the most records of one append.
	MaxRecords = 512
	// MaxQueue is the most records that wait.
	MaxQueue = 65536

	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
)

// Fate is what is known of an offered record.
type RecordState int

// The fates of a record.
const (
	// Waiting means that the record was not yet sent to the log.
	Queued RecordState = iota
	// Sent means that the record may be in the log.
	Sent
	// Written means that the record is in the log.
	Written
	// Withdrawn means that the record is not in the log and never will be.
	Withdrawn
)

// Ticket follows one offered record.
type PendingRecord struct {
	// Done is closed when the record is written.
	Done   chan struct{}
	record message.Record
	fate   RecordState
	offset uint64
}

// Appender offers records to one stream. Set the exported fields, then Run.
type Appender struct {
	// Log is the log service.
	Log logclient.Log
	// Stream is the stream that the records go to.
	Stream string
	// Writer is this process's incarnation.
	Writer string
	// Gap is the least time between the starts of two appends.
	MinInterval time.Duration
	// Rate is the most appends a second that all writers of the stream share,
	// 0 for no limit, and Writers how many share it.
	SharedRate    int
	WriterCount func() int
	// Timeout bounds one try.
	Timeout time.Duration
	// Logger takes what goes wrong.
	Logger hclog.Logger

	mu      sync.Mutex
	queue   []*PendingRecord
	wake    chan struct{}
	started sync.Once
	number  uint64
	stalled atomic.Bool
	appends atomic.Int64
	records atomic.Int64
	bytes   atomic.Int64
}

// Counts are the totals of an appender.
type Counts struct {
	Appends, Records, Bytes int64
}

// Counts returns the totals so far.
func (a *Appender) Counts() Counts {
	return Counts{Appends: a.appends.Load(), Records: a.records.Load(), Bytes: a.bytes.Load()}
}

// Stalled reports whether the last try failed.
func (a *Appender) Stalled() bool { return a.stalled.Load() }

func (a *Appender) init() {
	a.started.Do(func() { a.wake = make(chan struct{}, 1) })
}

// Offer queues a record. It returns nil when too many wait.
func (a *Appender) Enqueue(r message.Record) *PendingRecord {
	a.init()
	t := &PendingRecord{Done: make(chan struct{}), record: r}
	a.mu.Lock()
	if len(a.queue) >= MaxQueue {
		a.mu.Unlock()
		return nil
	}
	a.queue = append(a.queue, t)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return t
}

// Withdraw takes a record back if it was not sent yet, and returns its fate.
func (a *Appender) Withdraw(t *PendingRecord) RecordState {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.fate != Queued {
		return t.fate
	}
	t.fate = Withdrawn
	for i, other := range a.queue {
		if other == t {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			break
		}
	}
	return Withdrawn
}

// Offset returns where a written record is.
func (a *Appender) Offset(t *PendingRecord) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return t.offset
}

// take moves the waiting records into a batch.
func (a *Appender) take() []*PendingRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(a.queue), MaxRecords)
	tickets := a.queue[:n:n]
	a.queue = a.queue[n:]
	for _, t := range tickets {
		t.fate = Sent
	}
	return tickets
}

// Run offers records until the context ends.
func (a *Appender) Run(ctx context.Context) {
	a.init()
	for {
		tickets := a.take()
		if len(tickets) > 0 {
			start := time.Now()
			if !a.write(ctx, start, tickets) {
				return
			}
			if !sleep(ctx, a.gap()-time.Since(start)) {
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

// gap returns the time between two appends that keeps to this writer's share.
func (a *Appender) gap() time.Duration {
	if a.SharedRate == 0 || a.WriterCount == nil {
		return a.MinInterval
	}
	return max(a.MinInterval, time.Duration(a.WriterCount())*time.Second/time.Duration(a.SharedRate))
}

// write offers one batch until the log has it. It returns false when the
// context ended first.
func (a *Appender) write(ctx context.Context, now time.Time, tickets []*PendingRecord) bool {
	a.number++
	batch := message.Batch{Writer: a.Writer, Number: a.number, Time: now, Records: make([]message.Record, len(tickets))}
	for i, t := range tickets {
		batch.Records[i] = t.record
	}
	value, err := codec.Encode(&batch)
	if err != nil {
		a.Logger.Error("cannot encode a batch", "error", err)
		return true
	}
	pause := firstPause
	for {
		offset, err := a.try(ctx, value)
		if err == nil {
			a.written(tickets, offset, len(value))
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		if !errors.Is(err, logclient.ErrRejected) {
			a.stalled.Store(true)
			a.Logger.Warn("the log did not answer an append; trying again", "stream", a.Stream, "number", batch.Number, "error", err)
		}
		if !sleep(ctx, pause) {
			return false
		}
		pause = min(2*pause, maxPause)
	}
}

func (a *Appender) try(ctx context.Context, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	return a.Log.Append(ctx, a.Stream, value)
}

func (a *Appender) written(tickets []*PendingRecord, offset uint64, size int) {
	a.stalled.Store(false)
	a.appends.Add(1)
	a.records.Add(int64(len(tickets)))
	a.bytes.Add(int64(size))
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range tickets {
		t.fate = Written
		t.offset = offset
		close(t.Done)
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
