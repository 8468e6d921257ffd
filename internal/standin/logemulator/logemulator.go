// Package logemulator emulates the platform's log service in tests and the demo.
// It can inject outages, delays and lost responses.
package logemulator

import (
	"context"
	"errors"
	"sync"
	"time"

	"knapweedspur/internal/client/logclient"
)

var (
	// ErrDown means that the log is down and the call had no effect.
	ErrDown = errors.New("the log is down")
	// ErrResponseLost means that the append took effect but its response was
	// lost.
	ErrResponseLost = errors.New("the answer was lost")
)

// Faults are the faults to inject.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// Delay delays every append.
	Delay time.Duration `json:"delay"`
	// LoseEvery makes one in this many appends lose its response, 0 for none.
	LoseEvery int `json:"lose"`
}

// Log is an in-memory log. Set the exported fields before use.
type Log struct {
	// AppendRate is the maximum number of appends per second, 0 for no limit.
	AppendRate int
	// RetainedValues is how many values of a stream are retained, 0 for all.
	RetainedValues int

	mu            sync.Mutex
	streams       map[string]*stream
	faults        Faults
	appendCalls   int
	windowStart   time.Time
	windowAppends int
	totalAppends  int
	totalBytes    int
}

type stream struct {
	firstOffset uint64
	values      [][]byte
	appended    chan struct{}
}

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Totals returns how many values and bytes were appended.
func (l *Log) Totals() (appends, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totalAppends, l.totalBytes
}

func (l *Log) stream(name string) *stream {
	if l.streams == nil {
		l.streams = map[string]*stream{}
	}
	s := l.streams[name]
	if s == nil {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Append adds one value to a stream and returns its offset.
func (l *Log) Append(ctx context.Context, streamName string, value []byte) (uint64, error) {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-ctx.Done():
			// An append that the caller has given up may still take effect.
			_, _ = l.appendValue(time.Now(), streamName, value)
			return 0, ctx.Err()
		case <-time.After(faults.Delay):
		}
	}
	return l.appendValue(time.Now(), streamName, value)
}

func (l *Log) appendValue(now time.Time, streamName string, value []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return 0, ErrDown
	}
	if !l.allowAppend(now) {
		return 0, logclient.ErrRefused
	}
	s := l.stream(streamName)
	offset := s.firstOffset + uint64(len(s.values))
	s.values = append(s.values, append([]byte(nil), value...))
	if l.RetainedValues > 0 && len(s.values) > l.RetainedValues {
		s.firstOffset += uint64(len(s.values) - l.RetainedValues)
		s.values = append([][]byte(nil), s.values[len(s.values)-l.RetainedValues:]...)
	}
	close(s.appended)
	s.appended = make(chan struct{})
	l.totalAppends++
	l.totalBytes += len(value)
	l.appendCalls++
	if l.faults.LoseEvery > 0 && l.appendCalls%l.faults.LoseEvery == 0 {
		return 0, ErrResponseLost
	}
	return offset, nil
}

// rateWindow is the interval over which appends are counted against AppendRate.
const rateWindow = 100 * time.Millisecond

// allowAppend counts an append and reports whether it is within AppendRate.
func (l *Log) allowAppend(now time.Time) bool {
	if l.AppendRate == 0 {
		return true
	}
	if now.Sub(l.windowStart) >= rateWindow {
		l.windowStart = now
		l.windowAppends = 0
	}
	if l.windowAppends >= max(1, l.AppendRate*int(rateWindow)/int(time.Second)) {
		return false
	}
	l.windowAppends++
	return true
}

// maxPageBytes is the size in bytes at which a page is full.
const maxPageBytes = 8 << 20

// Read returns values from an offset on. It waits for the first one up to the
// given time.
func (l *Log) Read(ctx context.Context, streamName string, from uint64, wait time.Duration) (logclient.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, appended, err := l.readPage(streamName, from)
		if err != nil || len(page.Items) > 0 {
			return page, err
		}
		select {
		case <-appended:
		case <-timer.C:
			page, _, err = l.readPage(streamName, from)
			return page, err
		case <-ctx.Done():
			return logclient.Page{}, ctx.Err()
		}
	}
}

func (l *Log) readPage(streamName string, from uint64) (logclient.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return logclient.Page{}, nil, ErrDown
	}
	s := l.stream(streamName)
	if from < s.firstOffset {
		return logclient.Page{}, nil, &logclient.TruncatedError{OldestOffset: s.firstOffset}
	}
	page := logclient.Page{First: from, Head: s.firstOffset + uint64(len(s.values))}
	size := 0
	for i := from - s.firstOffset; i < uint64(len(s.values)) && size < maxPageBytes; i++ {
		page.Items = append(page.Items, s.values[i])
		size += len(s.values[i])
	}
	return page, s.appended, nil
}
