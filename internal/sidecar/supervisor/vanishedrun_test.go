package supervisor

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/wire/work"
)

func TestRunThatVanishesWithoutAnEndIsLogged(t *testing.T) {
	for _, ends := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := &fakeWorker{startedAt: time.Now().Add(-time.Hour), stopped: map[work.RunRef]bool{}}
			s := newSupervisor(w)
			var output bytes.Buffer
			s.Logger = hclog.New(&hclog.LoggerOptions{Output: &output, Level: hclog.Warn})
			runUntilTestEnds(t, s)
			s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 1, Pool: "pool"}, 1, time.Now())
			s.AcceptGrant(&work.Grant{VM: "vm", WorkerIncarnation: 1, Fence: 3})
			time.Sleep(500 * time.Millisecond)
			confirmSession(s)
			sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{{Task: "t", Run: 1}}})
			time.Sleep(600 * time.Millisecond)
			w.mu.Lock()
			w.active = nil
			if ends {
				w.ends = []work.RunEnd{{Number: 1, Task: "t", Run: 1, Outcome: "done"}}
			}
			w.mu.Unlock()
			time.Sleep(600 * time.Millisecond)
			s.mu.Lock()
			defer s.mu.Unlock()
			if logged := strings.Count(output.String(), "run vanished without an end"); logged != map[bool]int{false: 1, true: 0}[ends] {
				t.Errorf("ended %t: %d lines about a vanished run:\n%s", ends, logged, output.String())
			}
		})
	}
}
