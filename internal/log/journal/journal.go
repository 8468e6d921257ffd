// Package journal is the interface to a stream of keyed records in the
// platform's log. The newest record of each key is kept indefinitely, older
// ones for a limited time.
package journal

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is one keyed record. An empty value is a tombstone, which deletes the
// key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Page is the result of a read.
type Page struct {
	// Head is the offset that the next appended record will get.
	Head int64
	// Records are in log order.
	Records []Record
}

// NewestPage is one page of the newest record of each key.
type NewestPage struct {
	Records []Record
	// Head is the end of the stream when the page was read.
	Head int64
	// More is set if further keys follow.
	More bool
}

// Writer identifies an append of one writer of a stream. The log uses it to
// refuse a writer with an older epoch and to detect a repeated append.
type Writer struct {
	Name   string
	Epoch  int64
	Number int64
}

// Errors of a journal. After any other error of Append the records may be in
// the stream, now or later.
var (
	// ErrRefused means that the log answered that it did not apply the call.
	ErrRefused = errors.New("the log refused the call and applied nothing")
	// ErrFenced means that a writer with a higher epoch has taken over.
	ErrFenced = errors.New("a writer with a higher epoch has taken over")
)

// SequenceError means that the sequence number of the append does not follow
// the last one.
type SequenceError struct{ ExpectedNumber int64 }

// Error reports the sequence number that the log expects.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("the log expects append number %d", e.ExpectedNumber)
}

// TruncatedError means that the log no longer keeps the requested records.
type TruncatedError struct{ OldestOffset int64 }

// Error reports the oldest offset that the log keeps.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("the log keeps no records before offset %d", e.OldestOffset)
}

// Journal is one stream of keyed records.
type Journal interface {
	// Append appends records atomically and returns the offset of the first. A
	// nil writer appends without fencing or duplicate detection.
	Append(ctx context.Context, records []Record, writer *Writer) (int64, error)
	// Read returns records starting at an offset. If there are none yet, it
	// waits up to the given time for the first. It returns a *TruncatedError if
	// the offset is older than the oldest one kept.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key after the given one.
	Newest(ctx context.Context, after string) (NewestPage, error)
}
