// Package logemulator stands in for the platform's log service in tests and the
// demo. It can be down, slow, or lose its answers.
package logemulator

import (
	"context"
	"errors"
	"sync"
	"time"

	"knapweedspur/internal/client/logclient"
)

var (
	// ErrDown means that the log is down and took nothing.
	ErrDown = errors.New("the log is down")
	// ErrLost means that the log took the append and its answer was lost.
	ErrResponseLost = errors.New("the answer was lost")
)

// Faults are what is wrong with the log.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// Delay slows every append.
	Delay time.Duration `json:"delay"`
	// Lose makes one in so many appends lose its answer, 0 for none.
	LoseEvery int `json:"lose"`
}

// Keeper is a log in memory. Set the exported fields before use.
type Log struct {
	// Rate is the most appends a second, 0 for no limit.
	AppendRate int
	// Keep is how many values of a stream are kept, 0 for all.
	RetainedValues int

	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	calls   int
	window  time.Time
	used    int
	total   int
	bytes   int
}

type stream struct {
	first uint64
	items [][]byte
	grown chan struct{}
}

// SetFaults changes what is wrong.
func (k *Log) SetFaults(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// Totals returns how many values and bytes were appended.
func (k *Log) Totals() (appends, bytes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.total, k.bytes
}

func (k *Log) stream(name string) *stream {
	if k.streams == nil {
		k.streams = map[string]*stream{}
	}
	s := k.streams[name]
	if s == nil {
		s = &stream{grown: make(chan struct{})}
		k.streams[name] = s
	}
	return s
}

// Append adds one value.
func (k *Log) Append(ctx context.Context, name string, value []byte) (uint64, error) {
	k.mu.Lock()
	faults := k.faults
	k.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-ctx.Done():
			// The caller has gone; the append may still take effect.
			_, _ = k.add(time.Now(), name, value)
			return 0, ctx.Err()
		case <-time.After(faults.Delay):
		}
	}
	return k.add(time.Now(), name, value)
}

func (k *Log) add(now time.Time, name string, value []byte) (uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults.Down {
		return 0, ErrDown
	}
	if !k.admit(now) {
		return 0, logclient.ErrRejected
	}
	s := k.stream(name)
	offset := s.first + uint64(len(s.items))
	s.items = append(s.items, append([]byte(nil), value...))
	if k.RetainedValues > 0 && len(s.items) > k.RetainedValues {
		s.first += uint64(len(s.items) - k.RetainedValues)
		s.items = append([][]byte(nil), s.items[len(s.items)-k.RetainedValues:]...)
	}
	close(s.grown)
	s.grown = make(chan struct{})
	k.total++
	k.bytes += len(value)
	k.calls++
	if k.faults.LoseEvery > 0 && k.calls%k.faults.LoseEvery == 0 {
		return 0, ErrResponseLost
	}
	return offset, nil
}

// rateWindow is the span over which the rate is counted.
const rateWindow = 100 * time.Millisecond

// admit counts an append against the rate.
func (k *Log) admit(now time.Time) bool {
	if k.AppendRate == 0 {
		return true
	}
	if now.Sub(k.window) >= rateWindow {
		k.window = now
		k.used = 0
	}
	if k.used >= max(1, k.AppendRate*int(rateWindow)/int(time.Second)) {
		return false
	}
	k.used++
	return true
}

// maxPage is the most bytes of one page.
const maxPage = 8 << 20

// Read returns values from an offset on.
func (k *Log) Read(ctx context.Context, name string, from uint64, wait time.Duration) (logclient.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, grown, err := k.page(name, from)
		if err != nil || len(page.Items) > 0 {
			return page, err
		}
		select {
		case <-grown:
		case <-timer.C:
			page, _, err = k.page(name, from)
			return page, err
		case <-ctx.Done():
			return logclient.Page{}, ctx.Err()
		}
	}
}

func (k *Log) page(name string, from uint64) (logclient.Page, chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults.Down {
		return logclient.Page{}, nil, ErrDown
	}
	s := k.stream(name)
	if from < s.first {
		return logclient.Page{}, nil, &logclient.TruncatedError{OldestOffset: s.first}
	}
	page := logclient.Page{First: from, Head: s.first + uint64(len(s.items))}
	size := 0
	for i := from - s.first; i < uint64(len(s.items)) && size < maxPage; i++ {
		page.Items = append(page.Items, s.items[i])
		size += len(s.items[i])
	}
	return page, s.grown, nil
}
