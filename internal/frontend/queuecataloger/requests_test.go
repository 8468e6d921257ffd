package queuecataloger_test

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/frontend/queuecataloger"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/standin/keyedlogemulator"
	"knapweedspur/platform"
)

// forgetfulLog returns old pages of newest records while it is set to.
type forgetfulLog struct {
	*keyedlogemulator.Stream
	old atomic.Pointer[journal.NewestPage]
}

func (l *forgetfulLog) Newest(ctx context.Context, after string) (journal.NewestPage, error) {
	if old := l.old.Load(); old != nil {
		return *old, nil
	}
	return l.Stream.Newest(ctx, after)
}

func TestWatcherKnowsOperatorsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &forgetfulLog{Stream: keyedlogemulator.New()}
		var lines bytes.Buffer
		w := &queuecataloger.Watcher{
			Journal: log, Cataloger: &queuecataloger.Cataloger{}, Decode: platform.DecodeOperatorRecord, Logger: hclog.New(&hclog.LoggerOptions{Output: &lines}),
			Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
		}
		w.Init()
		write := func(keysAndValues ...string) {
			for i := 0; i < len(keysAndValues); i += 2 {
				if _, err := log.Append(t.Context(), []journal.Record{{Key: keysAndValues[i], Value: []byte(keysAndValues[i+1])}}, nil); err != nil {
					t.Fatal(err)
				}
			}
		}
		want := func(when string, unserved int, domains ...string) {
			t.Helper()
			time.Sleep(time.Second)
			if diff := cmp.Diff(domains, append([]string(nil), w.Evacuation().Domains...)); diff != "" || w.Unserved() != unserved {
				t.Errorf("%d unserved requests, evacuated domains %s (-want +got):\n%s", w.Unserved(), when, diff)
			}
		}
		write("evacuate/x", "{}", "evacuate/y", "", "wave/1", `{"wave":1}`)
		ctx, stop := context.WithCancel(t.Context())
		go w.Run(ctx)
		want("at the start", 1, "x")
		write("evacuate/y", "{}", "evacuate/y", `{"by":"night shift"}`, "evacuate/x", "7", "evacuate/", "{}", "evacuate/z", "null", "config", "{", "surprise", "\x00")
		want("after a key was written twice, and malformed records", 2, "x", "y")
		before, err := log.Stream.Newest(ctx, "")
		if err != nil {
			t.Fatal(err)
		}
		for range 2 { // Records are unreachable at first, then only the newest of each key are left.
			log.SetFaults(keyedlogemulator.Faults{Down: true})
			time.Sleep(3 * time.Second)
			if age := w.Evacuation().Age; age < 2500*time.Millisecond || age > 4*time.Second {
				t.Errorf("%s old after an outage of 3 s", age)
			}
			log.SetFaults(keyedlogemulator.Faults{})
			write("evacuate/y", "", "wave/1", "")
			log.Compact()
			want("after one was taken back in records that the log forgot", 1, "x")
		}
		write("evacuate/x", "")
		log.Compact()
		log.old.Store(&before)
		want("while the log returns old records", 1, "x")
		log.old.Store(nil)
		want("after both were taken back", 1)
		for line, count := range map[string]int{"domain evacuated": 2, "domain in use again": 2, "not served": 2, "[ERROR]": 4} {
			if got := strings.Count(lines.String(), line); got != count {
				t.Errorf("%d lines %q, want %d:\n%s", got, line, count, lines.String())
			}
		}
		stop()
		<-w.Done
	})
}
