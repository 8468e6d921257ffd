// Package logclient is the client of the platform's append-only log service.
package logclient

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// TruncatedError means that the log no longer keeps the requested values.
type TruncatedError struct {
	// OldestOffset is the lowest offset that the log keeps.
	OldestOffset uint64
}

// Error reports the lowest offset that the log keeps.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("the log keeps no records below offset %d", e.OldestOffset)
}

// ErrRefused means that the log answered that it did not store the append.
var ErrRefused = errors.New("the log refused the append")

// Page is the result of a read.
type Page struct {
	// First is the offset of the first item.
	First uint64
	// Head is the offset that the next append will get.
	Head uint64
	// Items are the appended values, in log order.
	Items [][]byte
}

// Log is the interface to the log service. A different protocol needs only
// another implementation of it.
type Log interface {
	// Append appends one value to a stream and returns its offset. After any
	// error other than ErrRefused the value may be in the stream, now or later.
	Append(ctx context.Context, stream string, value []byte) (uint64, error)
	// Read returns values starting at an offset. If there are none yet, it waits
	// up to the given time. It returns a *TruncatedError if the offset is lower
	// than the lowest one kept.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error)
}
