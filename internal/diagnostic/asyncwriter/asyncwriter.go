// Package asyncwriter writes log lines in a separate goroutine, so that callers never
// block on a slow reader of the log, and limits their rate.
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
	// queueLength is how many lines may wait to be written. At 250 bytes a line
	// this takes 500 KB.
	queueLength = 2048
	// rateWindow is the time over which lines are counted for the limit.
	rateWindow = time.Second
	// reserveShare is the part of the limit, 1/reserveShare, that may be written
	// beyond it: lines whose message was written less often than that. So the many
	// lines about single tasks do not push out the few about whole jobs.
	reserveShare = 4
)

// LogWriter is a log writer that never blocks. Info lines beyond the rate limit,
// and a reserve for rare messages, are folded: they are counted by message, and a
// line per rate window reports the counts. Warnings and errors are not limited.
// Lines that find the queue full are dropped and counted by Dropped.
type LogWriter struct {
	// Done is closed when the last line has been written.
	Done chan struct{}

	lines   chan []byte
	limit   int
	dropped atomic.Int64
	written atomic.Int64

	mu          sync.Mutex
	windowStart time.Time
	windowCount int
	// admitted counts the info lines of the window by message, folded those that
	// were not written.
	admitted, folded map[string]int
}

// New returns a log writer that writes to out until it is closed. Info lines are
// folded once limit lines were written within a second.
func New(out io.Writer, limit int) *LogWriter {
	w := &LogWriter{Done: make(chan struct{}), lines: make(chan []byte, queueLength), limit: limit, admitted: map[string]int{}, folded: map[string]int{}}
	go w.run(out)
	return w
}

// Write queues one line.
func (w *LogWriter) Write(line []byte) (int, error) {
	if w.admit(line, time.Now()) {
		w.enqueue(append([]byte(nil), line...))
	}
	return len(line), nil
}

func (w *LogWriter) enqueue(line []byte) {
	select {
	case w.lines <- line:
		w.written.Add(1)
	default:
		w.dropped.Add(1)
	}
}

// admit reports whether a line is within the rate limit. When a new window
// begins, it reports the lines folded in the last one.
func (w *LogWriter) admit(line []byte, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.windowStart) > rateWindow {
		w.reportFolded(now)
		w.windowStart, w.windowCount, w.admitted = now, 0, map[string]int{}
	}
	if !bytes.Contains(line, infoLevel) {
		w.windowCount++
		return true
	}
	message := messageOf(line)
	if w.windowCount >= w.limit {
		reserve := w.limit / reserveShare
		if w.admitted[message] >= reserve || w.windowCount >= w.limit+reserve {
			w.folded[message]++
			return false
		}
	}
	w.admitted[message]++
	w.windowCount++
	return true
}

var (
	infoLevel     = []byte(`"@level":"info"`)
	messagePrefix = []byte(`"@message":"`)
)

// messageOf returns the message of a line, without its fields.
func messageOf(line []byte) string {
	i := bytes.Index(line, messagePrefix)
	if i < 0 {
		return "other"
	}
	rest := line[i+len(messagePrefix):]
	if end := bytes.IndexByte(rest, '"'); end >= 0 {
		return string(rest[:end])
	}
	return "other"
}

// reportFolded writes a line with the number of folded lines per message.
func (w *LogWriter) reportFolded(now time.Time) {
	if len(w.folded) == 0 {
		return
	}
	var counts []string
	for message, n := range w.folded {
		counts = append(counts, fmt.Sprintf("%q:%d", message, n))
	}
	sort.Strings(counts)
	w.enqueue(fmt.Appendf(nil, `{"@level":"info","@message":"lines folded","@timestamp":%q,"counts":{%s}}`+"\n",
		now.Format("2006-01-02T15:04:05.000000Z07:00"), strings.Join(counts, ",")))
	w.folded = map[string]int{}
}

// Dropped returns how many lines were dropped because the queue was full or the
// output failed.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Written returns how many lines were queued for writing.
func (w *LogWriter) Written() int64 { return w.written.Load() }

// Close writes the queued lines. Write must not be called after it.
func (w *LogWriter) Close() {
	w.mu.Lock()
	w.reportFolded(time.Now())
	w.mu.Unlock()
	close(w.lines)
	<-w.Done
}

func (w *LogWriter) run(out io.Writer) {
	defer close(w.Done)
	for line := range w.lines {
		if _, err := out.Write(line); err != nil {
			// The error cannot be logged, since this is the log; count it.
			w.dropped.Add(1)
		}
	}
}
