// Package keyedlogemulator stands in for the platform's log service with keyed
// streams, in memory. It can be away, slow, forgetful, or lose its answers.
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

// ErrLost means that an answer was lost after the call took effect.
var ErrResponseLost = errors.New("the answer was lost")

// Faults are what is wrong with a stream.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool
	// Refuse makes appends fail without effect while reads work.
	RefuseAppends bool
	// Lose makes appends take effect without an answer.
	LoseResponses bool
	// Delay slows every call down.
	Delay time.Duration
}

// maxPage is how many records a page of newest records holds.
const maxPage = 500

// Stream is one keyed stream.
type Stream struct {
	mu      sync.Mutex
	faults  Faults
	first   int64
	records []journal.Record
	newest  map[string]journal.Record
	writers map[string]*writer
	grown   chan struct{}
}

// writer is what the stream remembers of one named writer.
type writer struct {
	epoch, number int64
	last          []answer
}

type answer struct{ number, offset int64 }

// remembered is how many appends of a writer are recognized when repeated.
const remembered = 5

var _ journal.Journal = (*Stream)(nil)

// New returns an empty stream.
func New() *Stream {
	return &Stream{newest: map[string]journal.Record{}, writers: map[string]*writer{}, grown: make(chan struct{})}
}

// SetFaults changes what is wrong.
func (s *Stream) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Forget drops all records but the newest of each key from the tail.
func (s *Stream) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first += int64(len(s.records))
	s.records = nil
}

// begin applies the faults to a call.
func (s *Stream) begin(ctx context.Context) (Faults, error) {
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

// Append adds records under the rules for writers.
func (s *Stream) Append(ctx context.Context, records []journal.Record, w *journal.Writer) (int64, error) {
	faults, err := s.begin(ctx)
	if err != nil {
		return 0, err
	}
	if faults.RefuseAppends {
		return 0, journal.ErrRefused
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset, known, err := s.admit(w)
	if err != nil {
		return 0, err
	}
	if !known {
		offset = s.first + int64(len(s.records))
		s.add(records)
		if w != nil {
			s.writers[w.Name].note(w.Number, offset)
		}
	}
	if faults.LoseResponses {
		return 0, ErrResponseLost
	}
	return offset, nil
}

// admit checks a writer. It returns the offset of a repeated append.
func (s *Stream) admit(w *journal.Writer) (int64, bool, error) {
	if w == nil {
		return 0, false, nil
	}
	known := s.writers[w.Name]
	switch {
	case known == nil || w.Epoch > known.epoch:
		s.writers[w.Name] = &writer{epoch: w.Epoch, number: w.Number - 1}
		return 0, false, nil
	case w.Epoch < known.epoch:
		return 0, false, journal.ErrFenced
	}
	for _, a := range known.last {
		if a.number == w.Number {
			return a.offset, true, nil
		}
	}
	if w.Number != known.number+1 {
		return 0, false, &journal.SequenceError{ExpectedNumber: known.number + 1}
	}
	return 0, false, nil
}

func (w *writer) note(number, offset int64) {
	w.number = number
	w.last = append(w.last, answer{number, offset})
	if len(w.last) > remembered {
		w.last = w.last[1:]
	}
}

func (s *Stream) add(records []journal.Record) {
	for _, r := range records {
		r.Offset = s.first + int64(len(s.records))
		s.records = append(s.records, r)
		if len(r.Value) == 0 {
			delete(s.newest, r.Key)
			continue
		}
		s.newest[r.Key] = r
	}
	close(s.grown)
	s.grown = make(chan struct{})
}

// Read returns records from an offset on.
func (s *Stream) Read(ctx context.Context, from int64, wait time.Duration) (journal.Page, error) {
	if _, err := s.begin(ctx); err != nil {
		return journal.Page{}, err
	}
	limit := time.After(wait)
	for {
		s.mu.Lock()
		if s.faults.Down {
			s.mu.Unlock()
			return journal.Page{}, journal.ErrRefused
		}
		head := s.first + int64(len(s.records))
		if from < s.first {
			s.mu.Unlock()
			return journal.Page{}, &journal.TruncatedError{OldestOffset: s.first}
		}
		page := journal.Page{Head: head}
		if from < head {
			page.Records = slices.Clone(s.records[from-s.first:])
		}
		grown := s.grown
		s.mu.Unlock()
		if len(page.Records) > 0 || wait <= 0 {
			return page, nil
		}
		select {
		case <-grown:
		case <-limit:
			return page, nil
		case <-ctx.Done():
			return journal.Page{}, ctx.Err()
		}
	}
}

// Newest returns a page of the newest records of each key.
func (s *Stream) Newest(ctx context.Context, after string) (journal.NewestPage, error) {
	if _, err := s.begin(ctx); err != nil {
		return journal.NewestPage{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := journal.NewestPage{Head: s.first + int64(len(s.records))}
	for key, r := range s.newest {
		if key > after {
			snapshot.Records = append(snapshot.Records, r)
		}
	}
	slices.SortFunc(snapshot.Records, func(a, b journal.Record) int { return strings.Compare(a.Key, b.Key) })
	if len(snapshot.Records) > maxPage {
		snapshot.Records, snapshot.More = snapshot.Records[:maxPage], true
	}
	return snapshot, nil
}
