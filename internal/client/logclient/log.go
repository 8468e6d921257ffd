// Package logclient reaches the platform's append-only log service.
package logclient

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// CutError means that the records asked for are no longer kept.
type TruncatedError struct {
	// Oldest is the lowest offset that is kept.
	OldestOffset uint64
}

// Error says which offset is the lowest kept.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("the log keeps no records below offset %d", e.OldestOffset)
}

// ErrRejected means that the log answered and did not take the append.
var ErrRejected = errors.New("the log did not take the append")

// Page is the answer to a read.
type Page struct {
	// First is the offset of the first item.
	First uint64
	// Head is the offset that the next append will get.
	Head uint64
	// Items are the appended values, in order.
	Items [][]byte
}

// Log is the narrow interface to the log service. Another protocol means
// another implementation of it.
type Log interface {
	// Append adds one value to a stream and returns its offset. After any
	// error but ErrRejected the value may be in the stream, now or later.
	Append(ctx context.Context, stream string, value []byte) (uint64, error)
	// Read returns values from an offset on. With none there yet it waits up
	// to the given time. It returns a *CutError below the oldest kept offset.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error)
}
