package taskreducer

import (
	"fmt"
	"sort"

	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/message"
)

// Values of message.Close.Outcome: how an attempt ended.
const (
	OutcomeDone         = "done"
	OutcomeFailed       = "failed"
	OutcomeStopped      = "stopped"
	OutcomeCheckpointed = "checkpointed"
	// OutcomeRefused means that the VM refused to start the attempt.
	OutcomeRefused = "refused"
	// OutcomeLapsed means that the attempt was closed without a report of its VM,
	// whose lease had expired or which had rebooted.
	OutcomeLapsed = "lapsed"
)

// Fold applies the value at an offset and returns what it changed. A value whose
// offset was already applied changes nothing, nor does one that cannot be
// decoded or a batch that its writer has appended twice.
func (s *State) Fold(offset uint64, value []byte) []Change {
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
	s.pruneWriters()
	a := applier{State: s, offset: offset, batch: batch}
	for i := range batch.Records {
		a.applyRecord(&batch.Records[i])
	}
	return a.changes
}

// pruneWriters removes the older half of the writers if there are more than
// maxWriters.
func (s *State) pruneWriters() {
	if len(s.Writers) <= maxWriters {
		return
	}
	offsets := make([]uint64, 0, len(s.Writers))
	for _, w := range s.Writers {
		offsets = append(offsets, w.Offset)
	}
	sort.Slice(offsets, func(i, j int) bool { return offsets[i] < offsets[j] })
	median := offsets[len(offsets)/2]
	for name, w := range s.Writers {
		if w.Offset < median {
			delete(s.Writers, name)
		}
	}
}

// applier applies the records of one batch to the state.
type applier struct {
	*State
	offset  uint64
	batch   *message.Batch
	changes []Change
}

func (a *applier) emit(c Change) { a.changes = append(a.changes, c) }

// applyRecord applies a record and reports its rejection, if any.
func (a *applier) applyRecord(r *message.Record) {
	reason := a.apply(r)
	if reason != "" {
		a.emit(RecordRejected{Record: *r, Reason: reason})
	}
}

// apply applies a record. It returns why the record is rejected, or an empty
// string if it is accepted.
func (a *applier) apply(r *message.Record) string {
	switch {
	case r.Submit != nil:
		return a.audit(r.Submit.Who, "submit", r.Submit.Run, a.submit(r.Submit))
	case r.Cancel != nil:
		return a.audit(r.Cancel.Who, "cancel", r.Cancel.Run, a.cancel(r.Cancel))
	case r.Place != nil:
		return a.place(r.Place)
	case r.Close != nil:
		return a.close(r.Close)
	case r.Fence != nil:
		return a.audit(a.batch.Writer, "fence", r.Fence.VM, a.fence(r.Fence))
	case r.Join != nil:
		return a.join(r.Join)
	case r.Drain != nil:
		return a.audit(r.Drain.Who, drainAction(r.Drain.On), r.Drain.VM, a.drain(r.Drain))
	case r.Forget != nil:
		return a.forget(r.Forget)
	case r.Alive != nil:
		a.Entries[r.Alive.Entry] = Entry{Address: r.Alive.Address, Offset: a.offset}
		a.pruneEntries()
		a.emit(EntryAlive{Entry: r.Alive.Entry})
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

// audit adds a line to the audit trail and returns the reason unchanged.
func (a *applier) audit(who, action, target, reason string) string {
	outcome := reason
	if outcome == "" {
		outcome = "accepted"
	}
	a.Audit = append(a.Audit, message.Audit{
		Offset: a.offset, Time: a.batch.Time, Who: who, Action: action, Target: target, Outcome: outcome,
	})
	if len(a.Audit) > 2*maxAudit {
		a.Audit = append([]message.Audit(nil), a.Audit[maxAudit:]...)
	}
	return reason
}

// entryRetention is for how many offsets after its last alive record an entry
// stays in the state.
const entryRetention = 1 << 16

func (a *applier) pruneEntries() {
	for name, e := range a.Entries {
		if e.Offset+entryRetention < a.offset {
			delete(a.Entries, name)
		}
	}
}

func (a *applier) submit(r *message.Submit) string {
	if a.Runs[r.Run] != nil {
		return "a run of this name exists"
	}
	if r.Tasks < 1 || r.Tasks > MaxTasks {
		return fmt.Sprintf("a run has 1 to %d tasks", MaxTasks)
	}
	a.Runs[r.Run] = &Run{
		Job: r.Job, Team: r.Team, Who: r.Who, Size: r.Size, ExpectedDuration: r.ExpectedDuration, Urgent: r.Urgent, Evictable: r.Evictable,
		Remaining: r.Tasks, Tasks: make([]Task, r.Tasks), Submitted: a.batch.Time,
	}
	a.emit(RunSubmitted{Run: r.Run})
	return ""
}

func (a *applier) cancel(r *message.Cancel) string {
	run := a.Runs[r.Run]
	if run == nil {
		return "no such run"
	}
	if run.Canceled || run.Remaining == 0 {
		return "the run has ended or is canceled already"
	}
	run.Canceled = true
	change := RunCanceled{Run: r.Run}
	for i := range run.Tasks {
		task := &run.Tasks[i]
		switch task.Phase {
		case Pending:
			task.Phase = Canceled
			run.Remaining--
		case Open:
			change.Open = append(change.Open, message.Place{
				Run: r.Run, Task: i, Attempt: int(task.Attempt), VM: task.VM, Lease: int(task.Lease),
			})
		}
	}
	a.emit(change)
	a.finishRun(r.Run, run)
	return ""
}

func (a *applier) place(r *message.Place) string {
	key := TaskKey{Run: r.Run, Task: r.Task}
	run, task := a.Task(key)
	if task == nil {
		return "no such task"
	}
	if task.Phase != Pending {
		return "the task is " + task.Phase.String()
	}
	if r.Attempt != int(task.Attempt)+1 {
		return "the attempt is not the next"
	}
	vm := a.VMs[r.VM]
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
	vm.addOpen(key)
	a.emit(AttemptPlaced{Place: *r, Writer: a.batch.Writer, Team: run.Team, Size: run.Size})
	return ""
}

func (a *applier) close(r *message.Close) string {
	key := TaskKey{Run: r.Run, Task: r.Task}
	run, task := a.Task(key)
	if task == nil {
		return "no such task"
	}
	if task.Phase != Open || int(task.Attempt) != r.Attempt {
		return "the attempt is not open"
	}
	vm := a.VMs[task.VM]
	if r.Outcome == OutcomeLapsed && (vm == nil || vm.Fence == 0 || vm.Fence != r.Fence || vm.Lease != int(task.Lease)) {
		return "no such fence stands"
	}
	a.closeAttempt(key, run, task, r)
	return ""
}

// closeAttempt closes the open attempt of a task.
func (a *applier) closeAttempt(key TaskKey, run *Run, task *Task, r *message.Close) {
	name := task.VM
	if vm := a.VMs[name]; vm != nil {
		delete(vm.open, key)
	}
	task.VM = ""
	task.Lease = 0
	task.Phase = a.nextPhase(run, task, r)
	if r.Outcome == OutcomeCheckpointed {
		task.Checkpoint = r.Checkpoint
	}
	if task.Phase != Pending {
		task.Checkpoint = ""
		run.Remaining--
	}
	a.emit(AttemptClosed{Close: *r, VM: name, Phase: task.Phase, Job: run.Job, Team: run.Team, Size: run.Size})
	a.finishRun(key.Run, run)
}

// nextPhase returns the phase of a task after the close of its attempt.
func (a *applier) nextPhase(run *Run, task *Task, r *message.Close) Phase {
	if r.Outcome == OutcomeDone {
		return Done
	}
	if run.Canceled {
		return Canceled
	}
	if r.Outcome == OutcomeFailed {
		task.Failures++
		if task.Failures >= MaxFailures {
			return Failed
		}
	}
	return Pending
}

// finishRun records a run as finished if all its tasks have ended, and removes
// the oldest finished runs if there are too many.
func (a *applier) finishRun(name string, run *Run) {
	if run.Remaining > 0 {
		return
	}
	a.emit(RunFinished{Run: name})
	a.FinishedRuns = append(a.FinishedRuns, name)
	if len(a.FinishedRuns) <= 2*maxFinished {
		return
	}
	for _, old := range a.FinishedRuns[:maxFinished] {
		delete(a.Runs, old)
	}
	a.FinishedRuns = append([]string(nil), a.FinishedRuns[maxFinished:]...)
}

func (a *applier) fence(r *message.Fence) string {
	vm := a.VMs[r.VM]
	if vm == nil || vm.Lease != r.Lease {
		return "the VM does not hold this lease"
	}
	if vm.Fence != 0 {
		return "the lease is fenced already"
	}
	vm.Fence = a.offset + 1
	a.emit(VMFenced{VM: r.VM, Lease: r.Lease, Fence: vm.Fence})
	return ""
}

// forget removes a VM from the state. Later VMs get lease numbers above
// LeaseFloor, so that a VM that joins under the same name does not accept
// messages meant for the removed one.
func (a *applier) forget(r *message.Forget) string {
	vm := a.VMs[r.VM]
	if vm == nil || vm.Lease != r.Lease || vm.Fence == 0 || len(vm.open) > 0 {
		return "the VM is not fenced or has open attempts"
	}
	a.LeaseFloor = max(a.LeaseFloor, vm.Lease)
	delete(a.VMs, r.VM)
	a.emit(VMForgotten{VM: r.VM})
	return ""
}

func (a *applier) join(r *message.Join) string {
	old := a.VMs[r.VM]
	last := a.LeaseFloor
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
	a.VMs[r.VM] = vm
	a.emit(VMJoined{VM: r.VM, Lease: r.Lease})
	if old != nil {
		a.carryOver(r, old, vm)
	}
	return ""
}

// carryOver moves the attempts that the VM still runs from its old lease to the
// new one and closes the others. After a reboot none of the old attempts can
// still run, so all of them are closed as lapsed.
func (a *applier) carryOver(r *message.Join, old, vm *VM) {
	running := map[message.Attempt]bool{}
	if old.Boot == r.Boot {
		for _, heldAttempt := range r.HeldAttempts {
			running[heldAttempt] = true
		}
	}
	for _, key := range sortedKeys(old.open) {
		run, task := a.Task(key)
		attempt := message.Attempt{Run: key.Run, Task: key.Task, Attempt: int(task.Attempt)}
		if running[attempt] {
			task.Lease = int32(r.Lease)
			vm.addOpen(key)
			a.emit(AttemptCarriedOver{Key: key, VM: r.VM})
			continue
		}
		outcome := OutcomeStopped
		if old.Boot != r.Boot {
			outcome = OutcomeLapsed
		}
		a.closeAttempt(key, run, task, &message.Close{Run: key.Run, Task: key.Task, Attempt: attempt.Attempt, Outcome: outcome})
	}
}

func (a *applier) drain(r *message.Drain) string {
	vm := a.VMs[r.VM]
	if vm == nil {
		return "no such VM"
	}
	vm.Drained = r.On
	a.emit(VMDrainChanged{VM: r.VM, On: r.On})
	return ""
}

func (v *VM) addOpen(k TaskKey) {
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
