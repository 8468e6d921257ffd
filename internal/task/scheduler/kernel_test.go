package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/placement/ranker"
	"knapweedspur/internal/policy/placer"
	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/message"
)

// bench is a kernel with its log in memory: what it offers is folded at once.
type bench struct {
	t      testing.TB
	kernel *Scheduler
	number uint64
	now    time.Time
	sent   []Send
	asked  []string
}

func newBench(t testing.TB, vms int) *bench {
	t.Helper()
	place, err := placer.Lookup("spread")
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, now: time.Unix(10_000, 0)}
	b.kernel = &Scheduler{
		Entry: "entry-1", State: taskreducer.New(), Placement: place, Hold: time.Minute, SuspectAfter: 10 * time.Second,
		Quota: func(string) (message.Size, bool) { return message.Size{}, false },
	}
	b.kernel.Init(b.now)
	for i := range vms {
		name := fmt.Sprintf("vm-%05d", i)
		b.fold("agent", message.Record{Join: &message.Join{
			VM: name, Boot: "boot", Lease: 1, Agent: name, Size: message.Size{Millis: 16000, Memory: 60 << 30},
			Rack: fmt.Sprint(i / 3), Domain: fmt.Sprint(i % 3),
		}})
		b.do(AgentConnected{VM: name})
	}
	b.alive()
	return b
}

// alive makes the view fresh and all VMs heard.
func (b *bench) alive() {
	for name := range b.kernel.State.VMs {
		b.do(HeartbeatReceived{VM: name, Lease: b.kernel.State.VMs[name].Lease})
	}
	b.do(CaughtUp{ReadSent: b.now})
}

// fold writes a record to the log and tells the kernel.
func (b *bench) fold(writer string, r message.Record) {
	b.number++
	value, err := codec.Encode(&message.Batch{Writer: writer, Number: b.number, Time: b.now, Records: []message.Record{r}})
	if err != nil {
		b.t.Fatal(err)
	}
	b.do(StateChanged{Changes: b.kernel.State.Fold(b.kernel.State.Next, value)})
}

// do steps the kernel and does what it asks for.
func (b *bench) do(e Event) {
	for _, action := range b.kernel.Step(b.now, e) {
		switch a := action.(type) {
		case Append:
			b.fold(b.kernel.Entry, a.Record)
		case Send:
			b.sent = append(b.sent, a)
		case AskPeers:
			b.asked = append(b.asked, a.VM)
		}
	}
}

func (b *bench) submit(run string, tasks, millis int) {
	b.fold("caller", message.Record{Submit: &message.Submit{
		Run: run, Job: run, Team: "team", Who: "test", Tasks: tasks, Size: message.Size{Millis: millis, Memory: 1 << 30},
	}})
}

func (b *bench) phases(run string) map[string]int {
	counts := map[string]int{}
	for _, task := range b.kernel.State.Runs[run].Tasks {
		counts[task.Phase.String()]++
	}
	return counts
}

func TestSubmittedTasksArePlacedAndStarted(t *testing.T) {
	b := newBench(t, 3)
	b.submit("run", 6, 4000)
	if diff := cmp.Diff(map[string]int{"open": 6}, b.phases("run")); diff != "" {
		t.Errorf("phases (-want +got):\n%s", diff)
	}
	starts := 0
	for _, s := range b.sent {
		if s.Frame.Start != nil {
			starts++
		}
	}
	if starts != 6 {
		t.Errorf("%d starts were sent for 6 tasks", starts)
	}
}

func TestNothingIsPlacedOnAStaleView(t *testing.T) {
	b := newBench(t, 3)
	b.now = b.now.Add(MaxViewAge + time.Second)
	for name := range b.kernel.State.VMs {
		b.do(HeartbeatReceived{VM: name, Lease: 1})
	}
	b.submit("run", 1, 1000)
	if diff := cmp.Diff(map[string]int{"pending": 1}, b.phases("run")); diff != "" {
		t.Errorf("phases (-want +got):\n%s", diff)
	}
	b.alive()
	b.do(Tick{})
	if diff := cmp.Diff(map[string]int{"open": 1}, b.phases("run")); diff != "" {
		t.Errorf("phases (-want +got):\n%s", diff)
	}
}

func TestLostVMIsFencedThenLapsed(t *testing.T) {
	b := newBench(t, 1)
	b.submit("run", 1, 1000)
	b.do(AgentDisconnected{VM: "vm-00000"})
	step := func(d time.Duration) {
		b.now = b.now.Add(d)
		b.do(CaughtUp{ReadSent: b.now})
		b.do(Tick{})
	}
	step(b.kernel.SuspectAfter + time.Second)
	if diff := cmp.Diff([]string{"vm-00000"}, b.asked); diff != "" {
		t.Fatalf("peers asked about (-want +got):\n%s", diff)
	}
	b.do(PeersAnswered{VM: "vm-00000", Heard: false})
	if b.kernel.State.VMs["vm-00000"].Fence == 0 {
		t.Fatal("the VM is not fenced")
	}
	step(b.kernel.Hold)
	if diff := cmp.Diff(map[string]int{"open": 1}, b.phases("run")); diff != "" {
		t.Errorf("before the lease has surely run out (-want +got):\n%s", diff)
	}
	step(b.kernel.Hold / margin)
	if diff := cmp.Diff(map[string]int{"pending": 1}, b.phases("run")); diff != "" {
		t.Errorf("after the lease has run out (-want +got):\n%s", diff)
	}
}

func TestVMThatAPeerHearsIsNotFenced(t *testing.T) {
	b := newBench(t, 1)
	b.submit("run", 1, 1000)
	b.do(AgentDisconnected{VM: "vm-00000"})
	b.now = b.now.Add(b.kernel.SuspectAfter + time.Second)
	b.do(CaughtUp{ReadSent: b.now})
	b.do(PeersAnswered{VM: "vm-00000", Heard: true})
	if b.kernel.State.VMs["vm-00000"].Fence != 0 {
		t.Error("a VM that a peer hears was fenced")
	}
}

func TestReportWaitsForAFreshView(t *testing.T) {
	b := newBench(t, 1)
	taken := func() int {
		n := 0
		for _, s := range b.sent {
			if s.Frame.Taken != nil {
				n++
			}
		}
		return n
	}
	b.do(ClosesReported{VM: "vm-00000", Closes: []message.Close{{Run: "unknown", Attempt: 1, How: "done"}}})
	// A read that was sent before the report came may not show the attempt.
	b.do(CaughtUp{ReadSent: b.now.Add(-time.Millisecond)})
	if taken() != 0 {
		t.Error("an attempt that this entry has not read of was called taken")
	}
	b.now = b.now.Add(time.Second)
	b.do(CaughtUp{ReadSent: b.now})
	if taken() != 1 {
		t.Error("the agent was never told")
	}
}

func TestUnusedCapacityIsLentAndSmallestQuotaShareGoesFirst(t *testing.T) {
	b := newBench(t, 1)
	b.kernel.Quota = func(team string) (message.Size, bool) {
		return message.Size{Millis: 4000, Memory: 60 << 30}, true
	}
	b.submit("run", 3, 4000)
	if diff := cmp.Diff(map[string]int{"open": 3}, b.phases("run")); diff != "" {
		t.Errorf("what is left over is not lent (-want +got):\n%s", diff)
	}
	b.submit("more", 2, 4000)
	b.fold("caller", message.Record{Submit: &message.Submit{Run: "other", Job: "other", Team: "others", Tasks: 1, Size: message.Size{Millis: 4000, Memory: 1 << 30}}})
	if b.phases("more")["open"] != 1 || b.phases("other")["open"] != 0 {
		t.Fatalf("more %v, other %v", b.phases("more"), b.phases("other"))
	}
	b.fold("agent", message.Record{Close: &message.Close{Run: "run", Task: 0, Attempt: 1, How: "done"}})
	b.do(Tick{})
	if b.phases("other")["open"] != 1 {
		t.Error("room went to a team over its quota before one within")
	}
}

func BenchmarkSchedule(b *testing.B) {
	for _, n := range []int{500, 1833, 11000} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			k := newBench(b, n)
			b.ResetTimer()
			for i := range b.N {
				run := fmt.Sprint("run-", i)
				k.submit(run, 1, 1)
				k.fold("agent", message.Record{Close: &message.Close{Run: run, Task: 0, Attempt: 1, How: "done"}})
				k.sent = k.sent[:0]
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{500, 1833, 11000} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			k := newBench(b, n)
			b.ResetTimer()
			for range b.N {
				k.do(Tick{})
			}
		})
	}
}

func TestFailingVMIsQuarantinedUnlessTheJobFailsEverywhere(t *testing.T) {
	b := newBench(t, 4)
	s := step{Scheduler: b.kernel, now: b.now}
	for i := range barAfter {
		s.judge(b.kernel.known("vm-00000"), fmt.Sprint("job-", i), "failed")
	}
	if b.kernel.QuarantinedUntil("vm-00000").IsZero() {
		t.Error("a VM on which three jobs failed in a row is not set aside")
	}
	for i := range 4 {
		for range barAfter {
			s.judge(b.kernel.known(fmt.Sprintf("vm-%05d", i)), "bad", "failed")
		}
	}
	if !b.kernel.QuarantinedUntil("vm-00003").IsZero() {
		t.Error("a job that fails everywhere has set a sound VM aside")
	}
}

func TestRoomMadeForUrgentTasksIsReserved(t *testing.T) {
	b := newBench(t, 1)
	entries := []string{b.kernel.Entry, "entry-2"}
	b.fold("entry-2", message.Record{Alive: &message.Alive{Entry: "entry-2"}})
	// owned returns a name whose tasks this entry, or the other, owns.
	owned := func(rank int) string {
		for i := 0; ; i++ {
			name := fmt.Sprint("run-", i)
			if ranker.Rank(name+"/0", b.kernel.Entry, entries) == rank {
				return name
			}
		}
	}
	batch, urgent := owned(0), owned(1)
	submit := func(name string, tasks int, urgent bool) {
		b.fold("caller", message.Record{Submit: &message.Submit{
			Run: name, Job: name, Team: "team", Tasks: tasks, Size: message.Size{Millis: 8000, Memory: 1 << 30}, Urgent: urgent, Evict: !urgent,
		}})
	}
	submit(batch, 2, false)
	submit(urgent, 1, true)
	b.fold("agent", message.Record{Close: &message.Close{Run: batch, Task: 0, Attempt: 1, How: "checkpointed", Checkpoint: "c"}})
	b.do(Tick{})
	if diff := cmp.Diff(map[string]int{"open": 1, "pending": 1}, b.phases(batch)); diff != "" {
		t.Errorf("the evicted task took the room back (-want +got):\n%s", diff)
	}
}
