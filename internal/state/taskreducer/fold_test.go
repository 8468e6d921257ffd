package taskreducer

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/message"
)

// A fixed seed makes every test run draw the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
}

func encodeBatch(t rapid.TB, writer string, number uint64, records ...message.Record) []byte {
	data, err := codec.Encode(&message.Batch{Writer: writer, Number: number, Time: time.Unix(1, 0).UTC(), Records: records})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

var (
	runNames      = []string{"a", "b"}
	vmNames       = []string{"v", "w", "x"}
	closeOutcomes = []string{OutcomeDone, OutcomeFailed, OutcomeStopped, OutcomeCheckpointed, OutcomeRefused, OutcomeLapsed}
)

// drawRecord draws a record that may or may not be valid.
func drawRecord(t *rapid.T) message.Record {
	run := rapid.SampledFrom(runNames).Draw(t, "run")
	vm := rapid.SampledFrom(vmNames).Draw(t, "vm")
	task := rapid.IntRange(-1, 3).Draw(t, "task")
	attempt := rapid.IntRange(0, 4).Draw(t, "attempt")
	lease := rapid.IntRange(0, 4).Draw(t, "lease")
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return message.Record{Submit: &message.Submit{Run: run, Tasks: rapid.IntRange(0, 3).Draw(t, "tasks")}}
	case 1:
		return message.Record{Cancel: &message.Cancel{Run: run}}
	case 2, 3, 4:
		return message.Record{Place: &message.Place{Run: run, Task: task, Attempt: attempt, VM: vm, Lease: lease}}
	case 5, 6:
		outcome := rapid.SampledFrom(closeOutcomes).Draw(t, "how")
		return message.Record{Close: &message.Close{Run: run, Task: task, Attempt: attempt, Outcome: outcome, Fence: rapid.Uint64Range(0, 40).Draw(t, "fence"), Checkpoint: "c"}}
	case 7:
		held := []message.Attempt{{Run: run, Task: task, Attempt: attempt}}
		return message.Record{Join: &message.Join{VM: vm, Boot: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "boot"), Lease: lease, Agent: vm, HeldAttempts: held}}
	case 8:
		return message.Record{Fence: &message.Fence{VM: vm, Lease: lease}}
	}
	if rapid.Bool().Draw(t, "forget") {
		return message.Record{Forget: &message.Forget{VM: vm, Lease: lease}}
	}
	return message.Record{Drain: &message.Drain{VM: vm, On: rapid.Bool().Draw(t, "on")}}
}

// checkInvariants checks what holds in every state: an open attempt is under the
// current lease of its VM, Remaining is the number of unfinished tasks, and the
// index of open attempts agrees with the tasks.
func checkInvariants(t *rapid.T, s *State) {
	open := map[TaskKey]string{}
	for name, run := range s.Runs {
		unfinished := 0
		for i, task := range run.Tasks {
			if task.Phase == Pending || task.Phase == Open {
				unfinished++
			}
			if task.Phase == Open {
				open[TaskKey{Run: name, Task: i}] = task.VM
				if vm := s.VMs[task.VM]; vm == nil || vm.Lease != int(task.Lease) {
					t.Fatalf("%s/%d is open on %s under lease %d, which the VM does not hold: %+v", name, i, task.VM, task.Lease, vm)
				}
			}
		}
		if unfinished != run.Remaining {
			t.Fatalf("%s has %d unfinished tasks, but Remaining is %d", name, unfinished, run.Remaining)
		}
	}
	indexed := map[TaskKey]string{}
	for name, vm := range s.VMs {
		for key := range vm.open {
			indexed[key] = name
		}
	}
	if diff := cmp.Diff(open, indexed); diff != "" {
		t.Fatalf("open attempts of tasks and of VMs differ (-tasks +VMs):\n%s", diff)
	}
}

func snapshot(t *rapid.T, s *State) []byte {
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestFoldKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "values")
		values := make([][]byte, n)
		for i := range values {
			values[i] = encodeBatch(t, "writer", uint64(i+1), drawRecord(t), drawRecord(t))
		}
		cut := rapid.IntRange(0, n).Draw(t, "cut")
		full, prefix, duplicated := New(), New(), New()
		offset := uint64(0)
		for i, v := range values {
			full.Fold(uint64(i), v)
			checkInvariants(t, full)
			duplicated.Fold(offset, v)
			duplicated.Fold(offset+1, v)
			offset += 2
			if i < cut {
				prefix.Fold(uint64(i), v)
			}
		}
		restored, err := Restore(snapshot(t, prefix))
		if err != nil {
			t.Fatal(err)
		}
		for i := cut; i < n; i++ {
			restored.Fold(uint64(i), values[i])
		}
		if diff := cmp.Diff(snapshot(t, full), snapshot(t, restored)); diff != "" {
			t.Fatalf("applying the rest to a restored snapshot gives a different state:\n%s", diff)
		}
		for name, run := range full.Runs {
			if diff := cmp.Diff(run.Tasks, duplicated.Runs[name].Tasks); diff != "" && !hasLapse(values) {
				t.Fatalf("repeated values change the tasks of %s:\n%s", name, diff)
			}
		}
	})
}

// hasLapse reports whether any value closes an attempt as lapsed. Such a record
// refers to the offset of a fence, which changes when every value is repeated.
func hasLapse(values [][]byte) bool {
	for _, v := range values {
		var b message.Batch
		if codec.Decode(v, &b) != nil {
			return true
		}
		for _, r := range b.Records {
			if r.Close != nil && r.Close.Outcome == OutcomeLapsed {
				return true
			}
		}
	}
	return false
}

// newStateWithOpenAttempt returns a state in which a VM runs the first of two
// tasks, and a function that applies further records to it.
func newStateWithOpenAttempt(t *testing.T) (*State, func(...message.Record) []Change) {
	s := New()
	number := uint64(0)
	fold := func(records ...message.Record) []Change {
		number++
		return s.Fold(s.Next, encodeBatch(t, "writer", number, records...))
	}
	fold(message.Record{Join: &message.Join{VM: "v", Boot: "1", Lease: 1, Agent: "agent"}})
	fold(message.Record{Submit: &message.Submit{Run: "run", Tasks: 2}})
	fold(message.Record{Place: &message.Place{Run: "run", Task: 0, Attempt: 1, VM: "v", Lease: 1}})
	return s, fold
}

func TestSecondPlaceOfAnOpenTaskIsRejected(t *testing.T) {
	s, fold := newStateWithOpenAttempt(t)
	changes := fold(message.Record{Place: &message.Place{Run: "run", Task: 0, Attempt: 1, VM: "v", Lease: 1}})
	if _, rejected := changes[0].(RecordRejected); !rejected {
		t.Errorf("a second place was accepted: %#v", changes)
	}
	if got := s.Runs["run"].Tasks[0].Attempt; got != 1 {
		t.Errorf("attempt %d is open", got)
	}
}

func TestOnlyTheNextAttemptIsAccepted(t *testing.T) {
	s, fold := newStateWithOpenAttempt(t)
	for _, attempt := range []int{0, 2, 3} {
		fold(message.Record{Place: &message.Place{Run: "run", Task: 1, Attempt: attempt, VM: "v", Lease: 1}})
	}
	if got := s.Runs["run"].Tasks[1].Phase; got != Pending {
		t.Errorf("an attempt out of order was accepted: the task is %s", got)
	}
}

func TestLapseNeedsTheCurrentFence(t *testing.T) {
	s, fold := newStateWithOpenAttempt(t)
	lapse := func(fence uint64) message.Record {
		return message.Record{Close: &message.Close{Run: "run", Task: 0, Attempt: 1, Outcome: OutcomeLapsed, Fence: fence}}
	}
	fold(lapse(0))
	fold(message.Record{Fence: &message.Fence{VM: "v", Lease: 1}})
	fence := s.VMs["v"].Fence
	fold(lapse(fence + 1))
	if s.Runs["run"].Tasks[0].Phase != Open {
		t.Fatal("a lapse was accepted without its fence")
	}
	fold(message.Record{Join: &message.Join{VM: "v", Boot: "1", Lease: 2, Agent: "agent", HeldAttempts: []message.Attempt{{Run: "run", Task: 0, Attempt: 1}}}})
	fold(lapse(fence))
	if s.Runs["run"].Tasks[0].Phase != Open {
		t.Fatal("a lapse was accepted after the VM had joined again with the attempt")
	}
}

func TestNewBootClosesAttemptsOfTheOldBoot(t *testing.T) {
	s, fold := newStateWithOpenAttempt(t)
	fold(message.Record{Join: &message.Join{VM: "v", Boot: "2", Lease: 2, Agent: "agent", HeldAttempts: []message.Attempt{{Run: "run", Task: 0, Attempt: 1}}}})
	if got := s.Runs["run"].Tasks[0].Phase; got != Pending {
		t.Errorf("after a new boot the task is %s", got)
	}
}

func TestRepeatedBatchIsDropped(t *testing.T) {
	s, _ := newStateWithOpenAttempt(t)
	drain := encodeBatch(t, "slow", 1, message.Record{Drain: &message.Drain{VM: "v", On: true}})
	s.Fold(s.Next, drain)
	s.Fold(s.Next, encodeBatch(t, "other", 1, message.Record{Drain: &message.Drain{VM: "v", On: false}}))
	s.Fold(s.Next, drain)
	if s.VMs["v"].Drained {
		t.Error("a repeated batch drained the VM again")
	}
}

func TestLeaseNumbersAreNotReusedAfterAForget(t *testing.T) {
	s, fold := newStateWithOpenAttempt(t)
	fold(message.Record{Fence: &message.Fence{VM: "v", Lease: 1}})
	fold(message.Record{Close: &message.Close{Run: "run", Task: 0, Attempt: 1, Outcome: OutcomeLapsed, Fence: s.VMs["v"].Fence}})
	fold(message.Record{Forget: &message.Forget{VM: "v", Lease: 1}})
	fold(message.Record{Join: &message.Join{VM: "v", Boot: "2", Lease: 1, Agent: "agent"}})
	if s.VMs["v"] != nil {
		t.Error("lease number 1 was accepted again after a forget")
	}
	fold(message.Record{Join: &message.Join{VM: "v", Boot: "2", Lease: 2, Agent: "agent"}})
	if s.VMs["v"] == nil {
		t.Error("the VM cannot join again")
	}
}

func TestOldFinishedRunsAreDropped(t *testing.T) {
	s, fold := newStateWithOpenAttempt(t)
	for i := range 3 * maxFinished {
		run := fmt.Sprint("run-", i)
		fold(message.Record{Submit: &message.Submit{Run: run, Tasks: 1}}, message.Record{Cancel: &message.Cancel{Run: run}})
	}
	if n := len(s.Runs); n > 2*maxFinished+1 {
		t.Errorf("%d runs are kept", n)
	}
}
