package asyncwriter

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// stuck is a writer whose reader never reads.
type stuck struct{ released chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.released
	return len(p), nil
}

func TestWriteNeverBlocksOnStuckOutput(t *testing.T) {
	out := stuck{make(chan struct{})}
	s := New(out, 1<<30)
	logger := hclog.New(&hclog.LoggerOptions{Output: s, JSONFormat: true})
	began := time.Now()
	for range 10_000 {
		logger.Info("place", "task", "t")
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("10,000 lines took %s", took)
	}
	if s.Dropped() == 0 {
		t.Error("lines that found no room were not counted")
	}
	close(out.released)
	s.Close()
}

func TestLinesBeyondLimitAreFolded(t *testing.T) {
	var out bytes.Buffer
	s := New(&out, 10)
	logger := hclog.New(&hclog.LoggerOptions{Output: s, JSONFormat: true})
	for range 100 {
		logger.Info("place", "task", "t")
	}
	logger.Warn("revoke", "vm", "v")
	s.Close()
	text := out.String()
	if got := strings.Count(text, `"place","@timestamp"`); got > 10 {
		t.Errorf("%d lines passed a limit of 10", got)
	}
	if !strings.Contains(text, `"revoke"`) {
		t.Error("a warning was folded")
	}
	if !strings.Contains(text, `"place":90`) {
		t.Errorf("the folded lines are not told: %s", text)
	}
}

func BenchmarkLine(b *testing.B) {
	s := New(new(bytes.Buffer), 200)
	logger := hclog.New(&hclog.LoggerOptions{Output: s, JSONFormat: true})
	for b.Loop() {
		logger.Info("place", "task", "5c0e7a21d94b36f8.0.1.17", "run", 1, "vm", "i-1", "fence", 3)
	}
	s.Close()
}
