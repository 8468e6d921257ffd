package leader

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/link/framer"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/work"
)

// Guards against commands that exceed a frame: the connection is closed, and the agent is
// sent the same starts again on the next one.
func TestCommandsWithLargeStartsFitInFrames(t *testing.T) {
	c := &work.Commands{Epoch: 3, Fence: 2, VM: "vm", Number: 7, EndsAcked: 5, Stops: []work.RunRef{{Task: "stopped", Run: 1}}}
	for i := range 400 {
		c.Starts = append(c.Starts, work.Start{Task: fmt.Sprint(i), Run: 1, Spec: strings.Repeat("s", 4000), Image: strings.Repeat("i", 200_000)})
	}
	var starts []work.Start
	parts := splitCommands(c)
	for i, part := range parts {
		data, err := codec.Encode(&work.Packet{Commands: part})
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > framer.MaxFrameBytes/8 {
			t.Errorf("part %d has %d bytes", i, len(data))
		}
		last := i == len(parts)-1
		if (part.Number == c.Number) != last || (part.EndsAcked == c.EndsAcked) != last || part.Fence != c.Fence || part.Epoch != c.Epoch || part.VM != c.VM {
			t.Errorf("part %d of %d: number %d, ends %d, fence %d, epoch %d, VM %q", i, len(parts), part.Number, part.EndsAcked, part.Fence, part.Epoch, part.VM)
		}
		starts = append(starts, part.Starts...)
	}
	if diff := cmp.Diff(c.Starts, starts); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}
	small := &work.Commands{Number: 1, Starts: c.Starts[:2]}
	if diff := cmp.Diff([]*work.Commands{small}, splitCommands(small)); diff != "" {
		t.Errorf("small commands (-want +got):\n%s", diff)
	}
}

// Guards against a pass that holds up the view of the log, and with it the answers to
// clients and agents: the leader then reads none of its own records and loses the lead.
func TestViewIsUpdatedDuringPass(t *testing.T) {
	l := &Leader{}
	l.Init(time.Now())
	l.mu.Lock() // as a pass does
	defer l.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, key := range []string{"j/0000000000000001", "c/0000000000000001", "t"} {
			l.Applied(journal.Record{Key: key, Value: []byte{0}})
		}
		l.Leading()
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a record of the log waits for the pass")
	}
}
