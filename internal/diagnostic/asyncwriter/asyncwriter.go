// Package asyncwriter writes log lines from a goroutine of its own, so that a
// decision never waits for whoever reads the log, and bounds their number.
package asyncwriter

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// depth is how many lines may wait. At 250 bytes a line it is 500 KB.
	depth = 2048
	// window is the time over which lines are counted.
	window = time.Second
)

// Scribe is a writer that never blocks. Lines beyond the limit, and lines that
// find no room, are counted by what they say; a line for each second tells the
// counts. Warnings and errors are not limited.
type LogWriter struct {
	// Done is closed when the last line was written.
	Done chan struct{}

	lines   chan []byte
	limit   int
	dropped atomic.Int64
	written atomic.Int64

	mu     sync.Mutex
	began  time.Time
	count  int
	folded map[string]int
}

// New returns a scribe that writes to out until it is closed, at most limit
// lines a second of those that are no warnings.
func New(out io.Writer, limit int) *LogWriter {
	s := &LogWriter{Done: make(chan struct{}), lines: make(chan []byte, depth), limit: limit, folded: map[string]int{}}
	go s.run(out)
	return s
}

// Write takes one line.
func (s *LogWriter) Write(line []byte) (int, error) {
	if s.admit(line, time.Now()) {
		s.put(append([]byte(nil), line...))
	}
	return len(line), nil
}

func (s *LogWriter) put(line []byte) {
	select {
	case s.lines <- line:
		s.written.Add(1)
	default:
		s.dropped.Add(1)
	}
}

// admit says whether a line is within the limit, and tells of those of the
// last window that were not.
func (s *LogWriter) admit(line []byte, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.began) > window {
		s.tell(now)
		s.began, s.count = now, 0
	}
	if s.count >= s.limit && bytes.Contains(line, infoLevel) {
		s.folded[kind(line)]++
		return false
	}
	s.count++
	return true
}

var (
	infoLevel   = []byte(`"@level":"info"`)
	messageMark = []byte(`"@message":"`)
)

// kind is the message of a line, without its fields.
func kind(line []byte) string {
	i := bytes.Index(line, messageMark)
	if i < 0 {
		return "other"
	}
	rest := line[i+len(messageMark):]
	if end := bytes.IndexByte(rest, '"'); end >= 0 {
		return string(rest[:end])
	}
	return "other"
}

// tell writes a line with the counts of lines that were left out.
func (s *LogWriter) tell(now time.Time) {
	if len(s.folded) == 0 {
		return
	}
	var counts []string
	for kind, n := range s.folded {
		counts = append(counts, fmt.Sprintf("%q:%d", kind, n))
	}
	sort.Strings(counts)
	s.put(fmt.Appendf(nil, `{"@level":"info","@message":"lines folded","@timestamp":%q,"counts":{%s}}`+"\n",
		now.Format("2006-01-02T15:04:05.000000Z07:00"), strings.Join(counts, ",")))
	s.folded = map[string]int{}
}

// Dropped returns how many lines found no room.
func (s *LogWriter) Dropped() int64 { return s.dropped.Load() }

// Written returns how many lines were taken.
func (s *LogWriter) Written() int64 { return s.written.Load() }

// Close writes what waits. No line may be written after it.
func (s *LogWriter) Close() {
	s.mu.Lock()
	s.tell(time.Now())
	s.mu.Unlock()
	close(s.lines)
	<-s.Done
}

func (s *LogWriter) run(out io.Writer) {
	defer close(s.Done)
	for line := range s.lines {
		if _, err := out.Write(line); err != nil {
			// There is nowhere left to tell it but the counter.
			s.dropped.Add(1)
		}
	}
}
