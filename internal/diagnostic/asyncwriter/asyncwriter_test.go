package asyncwriter

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// blockedWriter blocks until it is released, like a pipe that nobody reads.
type blockedWriter struct{ released chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.released
	return len(p), nil
}

func TestWriteNeverBlocksOnStuckOutput(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	w := New(out, 1<<30)
	logger := hclog.New(&hclog.LoggerOptions{Output: w, JSONFormat: true})
	began := time.Now()
	for range 10_000 {
		logger.Info("place", "task", "t")
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("10,000 lines took %s", took)
	}
	if w.Dropped() == 0 {
		t.Error("lines dropped from a full queue were not counted")
	}
	close(out.released)
	w.Close()
}

func TestLinesBeyondLimitAreFolded(t *testing.T) {
	var out bytes.Buffer
	w := New(&out, 10)
	logger := hclog.New(&hclog.LoggerOptions{Output: w, JSONFormat: true})
	for range 100 {
		logger.Info("place", "task", "t")
	}
	logger.Warn("revoke", "vm", "v")
	w.Close()
	text := out.String()
	if got := strings.Count(text, `"place","@timestamp"`); got > 10 {
		t.Errorf("%d lines passed a limit of 10", got)
	}
	if !strings.Contains(text, `"revoke"`) {
		t.Error("a warning was folded")
	}
	if !strings.Contains(text, `"place":90`) {
		t.Errorf("the folded lines are not reported: %s", text)
	}
}

// A leader that places hundreds of tasks a second must still tell how each job
// ended, or nobody can explain a late one.
func TestRareMessagesAreKeptBesideFrequentOnes(t *testing.T) {
	var out bytes.Buffer
	const limit = 100
	w := New(&out, limit)
	logger := hclog.New(&hclog.LoggerOptions{Output: w, JSONFormat: true})
	for i := range 500 {
		logger.Info("place", "task", "t")
		logger.Info("end", "task", "t")
		if i%25 == 0 {
			logger.Info("finish", "job", "j")
		}
	}
	w.Close()
	if got := strings.Count(out.String(), `"finish","@timestamp"`); got != 20 {
		t.Errorf("%d of 20 lines about jobs were written", got)
	}
	if got := strings.Count(out.String(), "\n"); got > limit+limit/reserveShare+1 {
		t.Errorf("%d lines passed a limit of %d and its reserve", got, limit)
	}
}

func BenchmarkLine(b *testing.B) {
	w := New(new(bytes.Buffer), 200)
	logger := hclog.New(&hclog.LoggerOptions{Output: w, JSONFormat: true})
	for b.Loop() {
		logger.Info("place", "task", "5c0e7a21d94b36f8.0.1.17", "run", 1, "vm", "i-1", "fence", 3)
	}
	w.Close()
}
