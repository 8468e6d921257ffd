package taskreducer

import (
	"fmt"
	"sort"

	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/message"
)

// The ways in which an attempt closes.
const (
	HowDone         = "done"
	HowFailed       = "failed"
	HowStopped      = "stopped"
	HowCheckpointed = "checkpointed"
	HowRefused      = "refused"
	HowLapsed       = "lapsed"
)

// Fold takes the value at an offset and returns what it changed. An offset
// already folded changes nothing, as does a batch that its writer repeated.
func (s *State) Fold(offset uint64, value []byte) []Event {
	if offset < s.Next {
		return nil
	}
	s.Next = offset + 1
	batch, err := codec.DecodeBatch(value)
	if err != nil {
		return nil
	}
	if batch.Number <= s.Writers[batch.Writer].Number {
		return nil
	}
	s.Writers[batch.Writer] = Writer{Number: batch.Number, Offset: offset}
	s.forgetWriters()
	f := fold{State: s, offset: offset, batch: batch}
	for i := range batch.Records {
		f.record(&batch.Records[i])
	}
	return f.events
}

// forgetWriters drops the older half of the writers when there are too many.
func (s *State) forgetWriters() {
	if len(s.Writers) <= maxWriters {
		return
	}
	offsets := make([]uint64, 0, len(s.Writers))
	for _, w := range s.Writers {
		offsets = append(offsets, w.Offset)
	}
	sort.Slice(offsets, func(i, j int) bool { return offsets[i] < offsets[j] })
	middle := offsets[len(offsets)/2]
	for name, w := range s.Writers {
		if w.Offset < middle {
			delete(s.Writers, name)
		}
	}
}

// fold is the folding of one batch.
type fold struct {
	*State
	offset uint64
	batch  *message.Batch
	events []Event
}

func (f *fold) emit(e Event) { f.events = append(f.events, e) }

func (f *fold) record(r *message.Record) {
	reason := f.apply(r)
	if reason != "" {
		f.emit(RecordRejected{Record: *r, Reason: reason})
	}
}

// apply returns why the record does not count, or nothing.
func (f *fold) apply(r *message.Record) string {
	switch {
	case r.Submit != nil:
		return f.audited(r.Submit.Who, "submit", r.Submit.Run, f.submit(r.Submit))
	case r.Cancel != nil:
		return f.audited(r.Cancel.Who, "cancel", r.Cancel.Run, f.cancel(r.Cancel))
	case r.Place != nil:
		return f.place(r.Place)
	case r.Close != nil:
		return f.close(r.Close)
	case r.Fence != nil:
		return f.audited(f.batch.Writer, "fence", r.Fence.VM, f.fence(r.Fence))
	case r.Join != nil:
		return f.join(r.Join)
	case r.Drain != nil:
		return f.audited(r.Drain.Who, drainAction(r.Drain.On), r.Drain.VM, f.drain(r.Drain))
	case r.Forget != nil:
		return f.forget(r.Forget)
	case r.Alive != nil:
		f.Entries[r.Alive.Entry] = Entry{Address: r.Alive.Address, Offset: f.offset}
		f.forgetEntries()
		f.emit(EntryAlive{Entry: r.Alive.Entry})
		return ""
	}
	return "unknown kind of record"
}

func drainAction(on bool) string {
	if on {
		return "drain"
	}
	return "undrain"
}

// audited adds a line to the audit trail and returns the reason unchanged.
func (f *fold) audited(who, action, target, reason string) string {
	outcome := reason
	if outcome == "" {
		outcome = "accepted"
	}
	f.Audit = append(f.Audit, message.Audit{
		Offset: f.offset, Time: f.batch.Time, Who: who, Action: action, Target: target, Outcome: outcome,
	})
	if len(f.Audit) > 2*maxAudit {
		f.Audit = append([]message.Audit(nil), f.Audit[maxAudit:]...)
	}
	return reason
}

// entrySpan is how many offsets an entry is remembered for.
const entrySpan = 1 << 16

func (f *fold) forgetEntries() {
	for name, e := range f.Entries {
		if e.Offset+entrySpan < f.offset {
			delete(f.Entries, name)
		}
	}
}

func (f *fold) submit(r *message.Submit) string {
	if f.Runs[r.Run] != nil {
		return "a run of this name exists"
	}
	if r.Tasks < 1 || r.Tasks > MaxTasks {
		return fmt.Sprintf("a run has 1 to %d tasks", MaxTasks)
	}
	f.Runs[r.Run] = &Run{
		Job: r.Job, Team: r.Team, Who: r.Who, Size: r.Size, Expect: r.Expect, Urgent: r.Urgent, Evict: r.Evict,
		Remaining: r.Tasks, Tasks: make([]Task, r.Tasks), Submitted: f.batch.Time,
	}
	f.emit(RunSubmitted{Run: r.Run})
	return ""
}

func (f *fold) cancel(r *message.Cancel) string {
	run := f.Runs[r.Run]
	if run == nil {
		return "no such run"
	}
	if run.Canceled || run.Remaining == 0 {
		return "the run has ended or is canceled already"
	}
	run.Canceled = true
	event := RunCanceled{Run: r.Run}
	for i := range run.Tasks {
		task := &run.Tasks[i]
		switch task.Phase {
		case Pending:
			task.Phase = Canceled
			run.Remaining--
		case Open:
			event.Open = append(event.Open, message.Place{
				Run: r.Run, Task: i, Attempt: int(task.Attempt), VM: task.VM, Lease: int(task.Lease),
			})
		}
	}
	f.emit(event)
	f.finish(r.Run, run)
	return ""
}

func (f *fold) place(r *message.Place) string {
	key := TaskKey{Run: r.Run, Task: r.Task}
	run, task := f.Task(key)
	if task == nil {
		return "no such task"
	}
	if task.Phase != Pending {
		return "the task is " + task.Phase.String()
	}
	if r.Attempt != int(task.Attempt)+1 {
		return "the attempt is not the next"
	}
	vm := f.VMs[r.VM]
	if vm == nil || vm.Lease != r.Lease || vm.Fence != 0 {
		return "the VM does not hold this lease"
	}
	if vm.Drained {
		return "the VM is drained"
	}
	task.Phase = Open
	task.Attempt = int32(r.Attempt)
	task.VM = r.VM
	task.Lease = int32(r.Lease)
	vm.hold(key)
	f.emit(AttemptPlaced{Place: *r, Writer: f.batch.Writer, Team: run.Team, Size: run.Size})
	return ""
}

func (f *fold) close(r *message.Close) string {
	key := TaskKey{Run: r.Run, Task: r.Task}
	run, task := f.Task(key)
	if task == nil {
		return "no such task"
	}
	if task.Phase != Open || int(task.Attempt) != r.Attempt {
		return "the attempt is not open"
	}
	vm := f.VMs[task.VM]
	if r.How == HowLapsed && (vm == nil || vm.Fence == 0 || vm.Fence != r.Fence || vm.Lease != int(task.Lease)) {
		return "no such fence stands"
	}
	f.end(key, run, task, r)
	return ""
}

// end closes the open attempt of a task.
func (f *fold) end(key TaskKey, run *Run, task *Task, r *message.Close) {
	name := task.VM
	if vm := f.VMs[name]; vm != nil {
		delete(vm.open, key)
	}
	task.VM = ""
	task.Lease = 0
	task.Phase = f.next(run, task, r)
	if r.How == HowCheckpointed {
		task.Checkpoint = r.Checkpoint
	}
	if task.Phase != Pending {
		task.Checkpoint = ""
		run.Remaining--
	}
	f.emit(AttemptClosed{Close: *r, VM: name, Phase: task.Phase, Job: run.Job, Team: run.Team, Size: run.Size})
	f.finish(key.Run, run)
}

// next returns the phase of a task after the close of its attempt.
func (f *fold) next(run *Run, task *Task, r *message.Close) Phase {
	if r.How == HowDone {
		return Done
	}
	if run.Canceled {
		return Canceled
	}
	if r.How == HowFailed {
		task.Failures++
		if task.Failures >= MaxFailures {
			return Failed
		}
	}
	return Pending
}

// finish notes a run that has ended, and forgets the oldest of too many.
func (f *fold) finish(name string, run *Run) {
	if run.Remaining > 0 {
		return
	}
	f.emit(RunEnded{Run: name})
	f.FinishedRuns = append(f.FinishedRuns, name)
	if len(f.FinishedRuns) <= 2*maxFinished {
		return
	}
	for _, old := range f.FinishedRuns[:maxFinished] {
		delete(f.Runs, old)
	}
	f.FinishedRuns = append([]string(nil), f.FinishedRuns[maxFinished:]...)
}

func (f *fold) fence(r *message.Fence) string {
	vm := f.VMs[r.VM]
	if vm == nil || vm.Lease != r.Lease {
		return "the VM does not hold this lease"
	}
	if vm.Fence != 0 {
		return "the lease is fenced already"
	}
	vm.Fence = f.offset + 1
	f.emit(VMFenced{VM: r.VM, Lease: r.Lease, Offset: vm.Fence})
	return ""
}

// forget drops a VM. Lease numbers never start again below the floor, so that
// nothing meant for the dropped VM is taken by a later one of its name.
func (f *fold) forget(r *message.Forget) string {
	vm := f.VMs[r.VM]
	if vm == nil || vm.Lease != r.Lease || vm.Fence == 0 || len(vm.open) > 0 {
		return "the VM is not fenced or has open attempts"
	}
	f.LeaseFloor = max(f.LeaseFloor, vm.Lease)
	delete(f.VMs, r.VM)
	f.emit(VMForgotten{VM: r.VM})
	return ""
}

func (f *fold) join(r *message.Join) string {
	old := f.VMs[r.VM]
	last := f.LeaseFloor
	if old != nil {
		last = old.Lease
	}
	if r.Lease != last+1 {
		return "the lease number is not the next"
	}
	vm := &VM{Boot: r.Boot, Agent: r.Agent, Lease: r.Lease, Size: r.Size, Rack: r.Rack, Domain: r.Domain}
	if old != nil {
		vm.Drained = old.Drained
	}
	f.VMs[r.VM] = vm
	f.emit(VMJoined{VM: r.VM, Lease: r.Lease})
	if old != nil {
		f.carry(r, old, vm)
	}
	return ""
}

// carry takes over what the VM still runs of the old lease and closes the
// rest. A new boot proves that nothing of the old one runs.
func (f *fold) carry(r *message.Join, old, vm *VM) {
	held := map[message.Attempt]bool{}
	if old.Boot == r.Boot {
		for _, a := range r.Held {
			held[a] = true
		}
	}
	for _, key := range sortedKeys(old.open) {
		run, task := f.Task(key)
		attempt := message.Attempt{Run: key.Run, Task: key.Task, Attempt: int(task.Attempt)}
		if held[attempt] {
			task.Lease = int32(r.Lease)
			vm.hold(key)
			f.emit(AttemptCarriedOver{Key: key, VM: r.VM})
			continue
		}
		how := HowStopped
		if old.Boot != r.Boot {
			how = HowLapsed
		}
		f.end(key, run, task, &message.Close{Run: key.Run, Task: key.Task, Attempt: attempt.Attempt, How: how})
	}
}

func (f *fold) drain(r *message.Drain) string {
	vm := f.VMs[r.VM]
	if vm == nil {
		return "no such VM"
	}
	vm.Drained = r.On
	f.emit(VMDrainChanged{VM: r.VM, On: r.On})
	return ""
}

func (v *VM) hold(k TaskKey) {
	if v.open == nil {
		v.open = map[TaskKey]struct{}{}
	}
	v.open[k] = struct{}{}
}

func sortedKeys(m map[TaskKey]struct{}) []TaskKey {
	keys := make([]TaskKey, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Run != keys[j].Run {
			return keys[i].Run < keys[j].Run
		}
		return keys[i].Task < keys[j].Task
	})
	return keys
}
