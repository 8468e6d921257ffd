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

func BenchmarkLine(b *testing.B) {
	w := New(new(bytes.Buffer), 200)
	logger := hclog.New(&hclog.LoggerOptions{Output: w, JSONFormat: true})
	for b.Loop() {
		logger.Info("place", "task", "5c0e7a21d94b36f8.0.1.17", "run", 1, "vm", "i-1", "fence", 3)
	}
	w.Close()
}
