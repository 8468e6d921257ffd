// Package keyedlogemulator emulates the platform's log service with keyed streams
// in memory. It can inject outages, delays, dropped records and lost responses.
package keyedlogemulator

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"knapweedspur/internal/log/journal"
)

// ErrResponseLost means that the call took effect but its response was lost.
var ErrResponseLost = errors.New("the answer was lost")

// Faults are the faults to inject into a stream.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool
	// RefuseAppends makes appends fail without effect while reads work.
	RefuseAppends bool
	// LoseResponses makes appends take effect but return an error.
	LoseResponses bool
	// Delay delays every call.
	Delay time.Duration
}

// maxPageRecords is the maximum number of records in a page of Newest.
const maxPageRecords = 500

// Stream is one keyed stream.
type Stream struct {
	mu          sync.Mutex
	faults      Faults
	firstOffset int64
	records     []journal.Record
	newestByKey map[string]journal.Record
	writers     map[string]*writerState
	appended    chan struct{}
}

// writerState is what the stream keeps of one named writer to fence and
// deduplicate its appends.
type writerState struct {
	epoch, lastNumber int64
	recentAppends     []appendResult
}

type appendResult struct{ number, offset int64 }

// dedupWindow is how many of a writer's latest appends are recognized when
// repeated.
const dedupWindow = 5

var _ journal.Journal = (*Stream)(nil)

// New returns an empty stream.
func New() *Stream {
	return &Stream{newestByKey: map[string]journal.Record{}, writers: map[string]*writerState{}, appended: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (s *Stream) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Compact drops all records that Read returns. The newest record of each key
// remains available from Newest.
func (s *Stream) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstOffset += int64(len(s.records))
	s.records = nil
}

// applyFaults delays or fails a call as the faults require. It returns the faults
// for the caller to apply the rest.
func (s *Stream) applyFaults(ctx context.Context) (Faults, error) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return f, ctx.Err()
		}
	}
	if f.Down {
		return f, journal.ErrRefused
	}
	return f, nil
}

// Append adds records unless the writer is fenced or out of sequence. A repeated
// append returns the offset of the first one.
func (s *Stream) Append(ctx context.Context, records []journal.Record, writer *journal.Writer) (int64, error) {
	faults, err := s.applyFaults(ctx)
	if err != nil {
		return 0, err
	}
	if faults.RefuseAppends {
		return 0, journal.ErrRefused
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset, duplicate, err := s.checkWriter(writer)
	if err != nil {
		return 0, err
	}
	if !duplicate {
		offset = s.firstOffset + int64(len(s.records))
		s.appendRecords(records)
		if writer != nil {
			s.writers[writer.Name].recordAppend(writer.Number, offset)
		}
	}
	if faults.LoseResponses {
		return 0, ErrResponseLost
	}
	return offset, nil
}

// checkWriter checks the epoch and the number of a writer's append. It returns the
// offset and true if the append is a repeat.
func (s *Stream) checkWriter(writer *journal.Writer) (int64, bool, error) {
	if writer == nil {
		return 0, false, nil
	}
	state := s.writers[writer.Name]
	switch {
	case state == nil || writer.Epoch > state.epoch:
		s.writers[writer.Name] = &writerState{epoch: writer.Epoch, lastNumber: writer.Number - 1}
		return 0, false, nil
	case writer.Epoch < state.epoch:
		return 0, false, journal.ErrFenced
	}
	for _, a := range state.recentAppends {
		if a.number == writer.Number {
			return a.offset, true, nil
		}
	}
	if writer.Number != state.lastNumber+1 {
		return 0, false, &journal.SequenceError{ExpectedNumber: state.lastNumber + 1}
	}
	return 0, false, nil
}

func (w *writerState) recordAppend(number, offset int64) {
	w.lastNumber = number
	w.recentAppends = append(w.recentAppends, appendResult{number, offset})
	if len(w.recentAppends) > dedupWindow {
		w.recentAppends = w.recentAppends[1:]
	}
}

func (s *Stream) appendRecords(records []journal.Record) {
	for _, r := range records {
		r.Offset = s.firstOffset + int64(len(s.records))
		s.records = append(s.records, r)
		if len(r.Value) == 0 {
			delete(s.newestByKey, r.Key)
			continue
		}
		s.newestByKey[r.Key] = r
	}
	close(s.appended)
	s.appended = make(chan struct{})
}

// Read returns records from an offset on. It waits for the first one up to the
// given time.
func (s *Stream) Read(ctx context.Context, from int64, wait time.Duration) (journal.Page, error) {
	if _, err := s.applyFaults(ctx); err != nil {
		return journal.Page{}, err
	}
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		if s.faults.Down {
			s.mu.Unlock()
			return journal.Page{}, journal.ErrRefused
		}
		head := s.firstOffset + int64(len(s.records))
		if from < s.firstOffset {
			s.mu.Unlock()
			return journal.Page{}, &journal.TruncatedError{OldestOffset: s.firstOffset}
		}
		page := journal.Page{Head: head}
		if from < head {
			page.Records = slices.Clone(s.records[from-s.firstOffset:])
		}
		appended := s.appended
		s.mu.Unlock()
		if len(page.Records) > 0 || wait <= 0 {
			return page, nil
		}
		select {
		case <-appended:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return journal.Page{}, ctx.Err()
		}
	}
}

// Newest returns a page of the newest record of each key after the given one.
func (s *Stream) Newest(ctx context.Context, after string) (journal.NewestPage, error) {
	if _, err := s.applyFaults(ctx); err != nil {
		return journal.NewestPage{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := journal.NewestPage{Head: s.firstOffset + int64(len(s.records))}
	for key, r := range s.newestByKey {
		if key > after {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b journal.Record) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Records) > maxPageRecords {
		page.Records, page.More = page.Records[:maxPageRecords], true
	}
	return page, nil
}
