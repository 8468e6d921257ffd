// Package journal is the narrow interface to a stream of keyed records in the
// platform's log: the newest record of each key is kept for good, older ones
// for a limited time.
package journal

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is one keyed record. An empty value removes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Page is the answer to a read.
type Page struct {
	// Head is the offset that the next record will get.
	Head int64
	// Records are in the order of the log.
	Records []Record
}

// Snapshot is a page of the newest records of each key.
type NewestPage struct {
	Records []Record
	// Head is the end of the stream when the page was made.
	Head int64
	// More says that keys follow.
	More bool
}

// Writer identifies one writer of a stream, so that the log refuses an older
// one and recognizes a repeat.
type Writer struct {
	Name   string
	Epoch  int64
	Number int64
}

// Errors of a journal. Any other error means that an append may be in the
// stream, now or later.
var (
	// ErrRefused means that the log answered and did nothing.
	ErrRefused = errors.New("the log refused the call and did nothing")
	// ErrFenced means that a writer with a higher epoch has taken over.
	ErrFenced = errors.New("a writer with a higher epoch has taken over")
)

// SequenceError means that the number of the append doesn't follow the last.
type SequenceError struct{ ExpectedNumber int64 }

// Error names the number that the log expects.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("the log expects append number %d", e.ExpectedNumber)
}

// CutError means that the records asked for are no longer kept.
type TruncatedError struct{ OldestOffset int64 }

// Error names the first offset that is kept.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("the log keeps no records before offset %d", e.OldestOffset)
}

// Journal is one stream of keyed records.
type Journal interface {
	// Append adds records, all or none, and returns the offset of the first.
	// A nil writer appends without a fence.
	Append(ctx context.Context, records []Record, writer *Writer) (int64, error)
	// Read returns records from an offset on, and waits for the first up to
	// the given time. It returns a *CutError below the oldest kept offset.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest records of the keys after the given one.
	Newest(ctx context.Context, after string) (NewestPage, error)
}
