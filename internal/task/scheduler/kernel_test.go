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

// harness is a scheduler with its log in memory: a record that it appends is
// applied at once.
type harness struct {
	t               testing.TB
	scheduler       *Scheduler
	batchNumber     uint64
	now             time.Time
	sent            []Send
	peersAskedAbout []string
}

func newHarness(t testing.TB, vms int) *harness {
	t.Helper()
	placement, err := placer.Lookup("spread")
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, now: time.Unix(10_000, 0)}
	h.scheduler = &Scheduler{
		Entry: "entry-1", State: taskreducer.New(), Placement: placement, Hold: time.Minute, SuspectAfter: 10 * time.Second,
		Quota: func(string) (message.Size, bool) { return message.Size{}, false },
	}
	h.scheduler.Init(h.now)
	for i := range vms {
		name := fmt.Sprintf("vm-%05d", i)
		h.appendAndApply("agent", message.Record{Join: &message.Join{
			VM: name, Boot: "boot", Lease: 1, Agent: name, Size: message.Size{Millicores: 16000, Memory: 60 << 30},
			Rack: fmt.Sprint(i / 3), Domain: fmt.Sprint(i % 3),
		}})
		h.step(AgentConnected{VM: name})
	}
	h.refreshView()
	return h
}

// refreshView makes the view of the log fresh and sends a heartbeat of each VM.
func (h *harness) refreshView() {
	for name := range h.scheduler.State.VMs {
		h.step(HeartbeatReceived{VM: name, Lease: h.scheduler.State.VMs[name].Lease})
	}
	h.step(CaughtUp{ReadSent: h.now})
}

// appendAndApply appends a record to the log, applies it to the state and tells
// the scheduler.
func (h *harness) appendAndApply(writer string, r message.Record) {
	h.batchNumber++
	value, err := codec.Encode(&message.Batch{Writer: writer, Number: h.batchNumber, Time: h.now, Records: []message.Record{r}})
	if err != nil {
		h.t.Fatal(err)
	}
	h.step(StateChanged{Changes: h.scheduler.State.Fold(h.scheduler.State.Next, value)})
}

// step passes an event to the scheduler and carries out the actions it returns.
func (h *harness) step(e Event) {
	for _, action := range h.scheduler.Step(h.now, e) {
		switch a := action.(type) {
		case Append:
			h.appendAndApply(h.scheduler.Entry, a.Record)
		case Send:
			h.sent = append(h.sent, a)
		case AskPeers:
			h.peersAskedAbout = append(h.peersAskedAbout, a.VM)
		}
	}
}

func (h *harness) submit(run string, tasks, millicores int) {
	h.appendAndApply("caller", message.Record{Submit: &message.Submit{
		Run: run, Job: run, Team: "team", Who: "test", Tasks: tasks, Size: message.Size{Millicores: millicores, Memory: 1 << 30},
	}})
}

func (h *harness) phases(run string) map[string]int {
	counts := map[string]int{}
	for _, task := range h.scheduler.State.Runs[run].Tasks {
		counts[task.Phase.String()]++
	}
	return counts
}

func TestSubmittedTasksArePlacedAndStarted(t *testing.T) {
	h := newHarness(t, 3)
	h.submit("run", 6, 4000)
	if diff := cmp.Diff(map[string]int{"open": 6}, h.phases("run")); diff != "" {
		t.Errorf("phases (-want +got):\n%s", diff)
	}
	starts := 0
	for _, s := range h.sent {
		if s.Frame.Start != nil {
			starts++
		}
	}
	if starts != 6 {
		t.Errorf("%d starts were sent for 6 tasks", starts)
	}
}

func TestNothingIsPlacedOnAStaleView(t *testing.T) {
	h := newHarness(t, 3)
	h.now = h.now.Add(MaxViewAge + time.Second)
	for name := range h.scheduler.State.VMs {
		h.step(HeartbeatReceived{VM: name, Lease: 1})
	}
	h.submit("run", 1, 1000)
	if diff := cmp.Diff(map[string]int{"pending": 1}, h.phases("run")); diff != "" {
		t.Errorf("phases (-want +got):\n%s", diff)
	}
	h.refreshView()
	h.step(Tick{})
	if diff := cmp.Diff(map[string]int{"open": 1}, h.phases("run")); diff != "" {
		t.Errorf("phases (-want +got):\n%s", diff)
	}
}

func TestLostVMIsFencedThenLapsed(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("run", 1, 1000)
	h.step(AgentDisconnected{VM: "vm-00000"})
	advance := func(d time.Duration) {
		h.now = h.now.Add(d)
		h.step(CaughtUp{ReadSent: h.now})
		h.step(Tick{})
	}
	advance(h.scheduler.SuspectAfter + time.Second)
	if diff := cmp.Diff([]string{"vm-00000"}, h.peersAskedAbout); diff != "" {
		t.Fatalf("peers asked about (-want +got):\n%s", diff)
	}
	h.step(PeersAnswered{VM: "vm-00000", Heard: false})
	if h.scheduler.State.VMs["vm-00000"].Fence == 0 {
		t.Fatal("the VM is not fenced")
	}
	advance(h.scheduler.Hold)
	if diff := cmp.Diff(map[string]int{"open": 1}, h.phases("run")); diff != "" {
		t.Errorf("before the lease has certainly expired (-want +got):\n%s", diff)
	}
	advance(h.scheduler.Hold / driftMargin)
	if diff := cmp.Diff(map[string]int{"pending": 1}, h.phases("run")); diff != "" {
		t.Errorf("after the lease has certainly expired (-want +got):\n%s", diff)
	}
}

func TestVMThatAPeerHearsIsNotFenced(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("run", 1, 1000)
	h.step(AgentDisconnected{VM: "vm-00000"})
	h.now = h.now.Add(h.scheduler.SuspectAfter + time.Second)
	h.step(CaughtUp{ReadSent: h.now})
	h.step(PeersAnswered{VM: "vm-00000", Heard: true})
	if h.scheduler.State.VMs["vm-00000"].Fence != 0 {
		t.Error("a VM whose heartbeats a peer receives was fenced")
	}
}

func TestReportWaitsForAFreshView(t *testing.T) {
	h := newHarness(t, 1)
	countReportAcks := func() int {
		n := 0
		for _, s := range h.sent {
			if s.Frame.ReportAck != nil {
				n++
			}
		}
		return n
	}
	h.step(ClosesReported{VM: "vm-00000", Closes: []message.Close{{Run: "unknown", Attempt: 1, Outcome: "done"}}})
	// A read that was sent before the report arrived may not show the attempt.
	h.step(CaughtUp{ReadSent: h.now.Add(-time.Millisecond)})
	if countReportAcks() != 0 {
		t.Error("a close was acknowledged before a fresh read could show the attempt")
	}
	h.now = h.now.Add(time.Second)
	h.step(CaughtUp{ReadSent: h.now})
	if countReportAcks() != 1 {
		t.Error("the close was not acknowledged after a fresh read")
	}
}

func TestUnusedCapacityIsLentAndSmallestQuotaShareGoesFirst(t *testing.T) {
	h := newHarness(t, 1)
	h.scheduler.Quota = func(team string) (message.Size, bool) {
		return message.Size{Millicores: 4000, Memory: 60 << 30}, true
	}
	h.submit("run", 3, 4000)
	if diff := cmp.Diff(map[string]int{"open": 3}, h.phases("run")); diff != "" {
		t.Errorf("unused capacity is not lent (-want +got):\n%s", diff)
	}
	h.submit("more", 2, 4000)
	h.appendAndApply("caller", message.Record{Submit: &message.Submit{Run: "other", Job: "other", Team: "others", Tasks: 1, Size: message.Size{Millicores: 4000, Memory: 1 << 30}}})
	if h.phases("more")["open"] != 1 || h.phases("other")["open"] != 0 {
		t.Fatalf("more %v, other %v", h.phases("more"), h.phases("other"))
	}
	h.appendAndApply("agent", message.Record{Close: &message.Close{Run: "run", Task: 0, Attempt: 1, Outcome: "done"}})
	h.step(Tick{})
	if h.phases("other")["open"] != 1 {
		t.Error("resources went to a team over its quota before one within it")
	}
}

func BenchmarkSchedule(b *testing.B) {
	for _, n := range []int{500, 1833, 11000} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			h := newHarness(b, n)
			b.ResetTimer()
			for i := range b.N {
				run := fmt.Sprint("run-", i)
				h.submit(run, 1, 1)
				h.appendAndApply("agent", message.Record{Close: &message.Close{Run: run, Task: 0, Attempt: 1, Outcome: "done"}})
				h.sent = h.sent[:0]
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{500, 1833, 11000} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			h := newHarness(b, n)
			b.ResetTimer()
			for range b.N {
				h.step(Tick{})
			}
		})
	}
}

func TestFailingVMIsQuarantinedUnlessTheJobFailsEverywhere(t *testing.T) {
	h := newHarness(t, 4)
	s := step{Scheduler: h.scheduler, now: h.now}
	for i := range quarantineAfter {
		s.updateQuarantine(h.scheduler.ensureVM("vm-00000"), fmt.Sprint("job-", i), "failed")
	}
	if h.scheduler.QuarantinedUntil("vm-00000").IsZero() {
		t.Error("a VM on which three jobs failed in a row is not quarantined")
	}
	for i := range 4 {
		for range quarantineAfter {
			s.updateQuarantine(h.scheduler.ensureVM(fmt.Sprintf("vm-%05d", i)), "bad", "failed")
		}
	}
	if !h.scheduler.QuarantinedUntil("vm-00003").IsZero() {
		t.Error("a job that fails on every VM has put a healthy VM into quarantine")
	}
}

func TestRoomMadeForUrgentTasksIsReserved(t *testing.T) {
	h := newHarness(t, 1)
	entries := []string{h.scheduler.Entry, "entry-2"}
	h.appendAndApply("entry-2", message.Record{Alive: &message.Alive{Entry: "entry-2"}})
	// runRanked returns the name of a run for whose first tasks this entry has
	// the given rank.
	runRanked := func(rank int) string {
		for i := 0; ; i++ {
			name := fmt.Sprint("run-", i)
			if ranker.Rank(name+"/0", h.scheduler.Entry, entries) == rank {
				return name
			}
		}
	}
	batch, urgent := runRanked(0), runRanked(1)
	submit := func(name string, tasks int, urgent bool) {
		h.appendAndApply("caller", message.Record{Submit: &message.Submit{
			Run: name, Job: name, Team: "team", Tasks: tasks, Size: message.Size{Millicores: 8000, Memory: 1 << 30}, Urgent: urgent, Evictable: !urgent,
		}})
	}
	submit(batch, 2, false)
	submit(urgent, 1, true)
	h.appendAndApply("agent", message.Record{Close: &message.Close{Run: batch, Task: 0, Attempt: 1, Outcome: "checkpointed", Checkpoint: "c"}})
	h.step(Tick{})
	if diff := cmp.Diff(map[string]int{"open": 1, "pending": 1}, h.phases(batch)); diff != "" {
		t.Errorf("the evicted task took the freed resources back (-want +got):\n%s", diff)
	}
}
