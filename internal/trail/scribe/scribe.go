// Package scribe writes log lines from a goroutine of its own, so that a
// decision never waits for whoever reads the log.
package scribe

import (
	"io"
	"sync/atomic"
)

// depth is how many lines may wait. At 200 bytes a line it is 400 KB.
const depth = 2048

// Scribe is a writer that never blocks. Lines that find no room are dropped
// and counted.
type Scribe struct {
	// Done is closed when the last line was written.
	Done chan struct{}

	lines   chan []byte
	dropped atomic.Int64
	written atomic.Int64
}

// New returns a scribe that writes to out until it is closed.
func New(out io.Writer) *Scribe {
	s := &Scribe{Done: make(chan struct{}), lines: make(chan []byte, depth)}
	go s.run(out)
	return s
}

// Write takes one line.
func (s *Scribe) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
		s.written.Add(1)
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found no room.
func (s *Scribe) Dropped() int64 { return s.dropped.Load() }

// Written returns how many lines were taken.
func (s *Scribe) Written() int64 { return s.written.Load() }

// Close writes what waits. No line may be written after it.
func (s *Scribe) Close() {
	close(s.lines)
	<-s.Done
}

func (s *Scribe) run(out io.Writer) {
	defer close(s.Done)
	for line := range s.lines {
		if _, err := out.Write(line); err != nil {
			// There is nowhere left to tell it but the counter.
			s.dropped.Add(1)
		}
	}
}
