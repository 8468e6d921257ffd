// Package scheduler schedules tasks on VMs. It is a state machine without I/O:
// each step takes an event and returns the actions to carry out. It places
// pending tasks, sends starts and stops, records how attempts ended, fences VMs
// that no longer answer, and closes the attempts of a fenced VM as lapsed once
// its lease has expired.
//
// The owner of a task is the entry that is ranked first for it. Ownership is only
// a preference, to save duplicate work. Any entry may append any record; the
// order of the log decides which one is accepted.
package scheduler

import (
	"time"

	"knapweedspur/internal/placement/ranker"
	"knapweedspur/internal/placement/sizer"
	"knapweedspur/internal/policy/placer"
	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/wire/message"
)

// Timing and limits of the scheduler.
const (
	// MaxViewAge is the age of the view of the log from which on this entry
	// neither places tasks nor checks the liveness of VMs.
	MaxViewAge = 5 * time.Second
	// ResendInterval is the time between two transmissions of the same start
	// or stop.
	ResendInterval = 2 * time.Second
	// RankDelay is how much longer an entry waits before it acts for each
	// entry that is ranked before it.
	RankDelay = time.Second
	// ForgetAfter is how long a VM without open attempts may be silent before it
	// is fenced, and how long after the fence it stays in the state.
	ForgetAfter = time.Hour

	// driftMargin is the divisor of the hold time that gives the extra wait for
	// clock drift: one twentieth.
	driftMargin = 20
	// aliveWindow is how many of this entry's own latest alive records are
	// considered: another entry without an alive record since the oldest of
	// them is dead.
	aliveWindow = 3
	// maxPendingPlaces limits the place records that are appended and not yet
	// read back from the log.
	maxPendingPlaces = 4096
)

// Scheduler holds the scheduling state of one entry. It is not safe for
// concurrent use. Set the exported fields, then call Init.
type Scheduler struct {
	// Entry identifies this incarnation of the entry process.
	Entry string
	// State is built from the task stream. The caller applies each value of
	// the log to it first and then calls Step with StateChanged.
	State *taskreducer.State
	// Placement picks the VM for a task.
	Placement placer.Policy
	// Quota returns a team's quota, and false if it has none.
	Quota func(team string) (message.Size, bool)
	// Hold is how long a lease lasts after the log read that last renewed it.
	Hold time.Duration
	// SuspectAfter is how long a VM with open attempts may be silent before it
	// is fenced.
	SuspectAfter time.Duration

	startedAt time.Time
	// aliveOffsets holds the offsets of this entry's latest alive records,
	// oldest first.
	aliveOffsets []uint64
	// viewReadSent is when the latest read that reached the end of the log was
	// sent.
	viewReadSent time.Time
	vms          map[string]*vmState
	// backlogs holds the waiting tasks by run, and runOrder the runs in the
	// order in which they got a backlog.
	backlogs map[string]*backlog
	runOrder []string
	// pendingPlaces and pendingCloses are the records of this entry that are
	// appended and not yet read back.
	pendingPlaces map[taskreducer.TaskKey]pendingPlace
	pendingCloses map[message.Attempt]time.Time
	stops         map[taskreducer.TaskKey]*resend
	// deferredReports are reports about attempts that are not open in this
	// entry's state, in order of arrival; deferredReportTimes are their times of
	// arrival.
	deferredReports     []ClosesReported
	deferredReportTimes []time.Time
	teamUsage           map[string]message.Size
	// failedVMs holds, by job, the VMs on which it has failed since it last
	// succeeded.
	failedVMs map[string]map[string]bool
	// dirty is true if something has changed since the last scheduling pass.
	dirty bool
	// candidateVMs caches the VMs to place on while candidatesValid is true.
	candidateVMs    []*placer.VM
	candidatesValid bool
}

// vmState is what this entry keeps about a VM in addition to State.
type vmState struct {
	placer.VM
	connected   bool
	pendingSize message.Size
	// lastHeard is when this entry or a peer last got a sign of life.
	lastHeard       time.Time
	starts          map[taskreducer.TaskKey]*resend
	fenceAppendedAt time.Time
	fencedAt        time.Time
	fence           uint64
	forgetAppended  bool
	peersAskedAt    time.Time
	quarantines     int
}

// pendingPlace is a place record that was appended and not yet read back. Its
// size is subtracted from the free resources of the VM.
type pendingPlace struct {
	vm   string
	size message.Size
}

// resend is a start or stop that is sent repeatedly until it has taken effect.
type resend struct {
	due        time.Time
	stop       bool
	checkpoint bool
}

// backlog holds the waiting tasks of a run. reason tells why their size last
// fitted on no VM; it is empty if that has not happened.
type backlog struct {
	tasks  []waitingTask
	reason string
}

type waitingTask struct {
	task  int
	since time.Time
}

// Init rebuilds what is derived from State, for example after a snapshot was
// restored. The deferred reports and the time of the view stay.
func (s *Scheduler) Init(now time.Time) {
	s.startedAt = now
	s.aliveOffsets = nil
	s.candidatesValid = false
	s.vms = map[string]*vmState{}
	s.backlogs = map[string]*backlog{}
	s.runOrder = nil
	s.pendingPlaces = map[taskreducer.TaskKey]pendingPlace{}
	s.pendingCloses = map[message.Attempt]time.Time{}
	s.stops = map[taskreducer.TaskKey]*resend{}
	s.teamUsage = map[string]message.Size{}
	s.failedVMs = map[string]map[string]bool{}
	for name := range s.State.VMs {
		s.onJoined(now, name)
	}
	for name, run := range s.State.Runs {
		s.addRun(now, name, run)
	}
	for name, v := range s.State.VMs {
		if v.Fence != 0 {
			s.vms[name].fencedAt = now
			s.vms[name].fence = v.Fence
		}
	}
}

// addRun queues the pending tasks of a run from the state and counts its open
// ones as in use.
func (s *Scheduler) addRun(now time.Time, name string, run *taskreducer.Run) {
	if run == nil {
		return
	}
	for i := range run.Tasks {
		task := &run.Tasks[i]
		key := taskreducer.TaskKey{Run: name, Task: i}
		switch task.Phase {
		case taskreducer.Pending:
			s.enqueue(now, key)
		case taskreducer.Open:
			s.teamUsage[run.Team] = sizer.Add(s.teamUsage[run.Team], run.Size)
			if run.Canceled {
				s.stops[key] = &resend{due: now, stop: true}
			}
		}
	}
}

// Step handles an event and returns the actions to carry out.
func (s *Scheduler) Step(now time.Time, event Event) []Action {
	st := step{Scheduler: s, now: now}
	switch e := event.(type) {
	case StateChanged:
		st.applyChanges(e.Changes)
	case CaughtUp:
		st.onCaughtUp(e.ReadSent)
	case AgentConnected:
		st.onAgentConnected(e.VM)
	case AgentDisconnected:
		s.ensureVM(e.VM).connected = false
		s.candidatesValid = false
	case HeartbeatReceived:
		st.onHeartbeat(e)
	case StartsAcked:
		for _, a := range e.Attempts {
			delete(s.ensureVM(e.VM).starts, taskreducer.TaskKey{Run: a.Run, Task: a.Task})
		}
	case ClosesReported:
		st.onClosesReported(e)
	case PeersAnswered:
		st.onPeersAnswered(e)
	case Tick:
		st.onTick()
	case AppendRefused:
		st.onAppendRefused(e.Record)
	}
	st.schedule()
	return st.actions
}

// step is one call of Step.
type step struct {
	*Scheduler
	now     time.Time
	actions []Action
}

func (s *step) appendRecord(r message.Record) { s.actions = append(s.actions, Append{Record: r}) }

func (s *step) send(vm string, f *message.Frame) {
	s.actions = append(s.actions, Send{VM: vm, Frame: f})
}

// ensureVM returns the vmState of a VM and creates it if needed.
func (s *Scheduler) ensureVM(name string) *vmState {
	v := s.vms[name]
	if v == nil {
		v = &vmState{starts: map[taskreducer.TaskKey]*resend{}}
		v.Name = name
		s.vms[name] = v
	}
	return v
}

// onJoined copies a VM's size, location and lease from the state and resets what
// was noted about its former lease.
func (s *Scheduler) onJoined(now time.Time, name string) {
	recorded := s.State.VMs[name]
	v := s.ensureVM(name)
	v.Lease = recorded.Lease
	v.Rack = recorded.Rack
	v.Domain = recorded.Domain
	v.Size = recorded.Size
	s.updateFree(v)
	v.lastHeard = now
	v.fencedAt = time.Time{}
	v.fenceAppendedAt = time.Time{}
	v.fence = 0
	v.forgetAppended = false
	s.dirty = true
}

// updateFree computes the free resources of a VM: its size less its open
// attempts and pending places.
func (s *Scheduler) updateFree(v *vmState) {
	v.Free = sizer.Sub(v.Size, v.pendingSize)
	s.State.ForEachOpen(v.Name, func(_ taskreducer.TaskKey, run *taskreducer.Run, _ *taskreducer.Task) {
		v.Free = sizer.Sub(v.Free, run.Size)
	})
}

// AliveEntries returns the entries that count as alive, always including this
// one. Another entry is dead if aliveWindow of this entry's own alive records
// follow its last one in the log. Counting own records instead of time means
// that an outage of the log, which stops the alive records of all entries,
// makes none of them dead.
func (s *Scheduler) AliveEntries() []string {
	alive := []string{s.Entry}
	oldest := uint64(0)
	if len(s.aliveOffsets) == aliveWindow {
		oldest = s.aliveOffsets[0]
	}
	for name, e := range s.State.Entries {
		if name != s.Entry && e.Offset >= oldest {
			alive = append(alive, name)
		}
	}
	return alive
}

// recordOwnAlive remembers the offset of this entry's latest alive record.
func (s *Scheduler) recordOwnAlive() {
	s.aliveOffsets = append(s.aliveOffsets, s.State.Entries[s.Entry].Offset)
	if len(s.aliveOffsets) > aliveWindow {
		s.aliveOffsets = s.aliveOffsets[1:]
	}
}

// PeersKnown reports whether this entry has been running long enough to have read
// the alive records of the other entries.
func (s *Scheduler) PeersKnown() bool { return len(s.aliveOffsets) > 1 }

// viewIsFresh reports whether the view of the log is recent enough to place
// tasks and check the liveness of VMs.
func (s *Scheduler) viewIsFresh(now time.Time) bool { return now.Sub(s.viewReadSent) < MaxViewAge }

// WaitingTasks returns how many tasks of a run wait, and why their size last
// fitted on no VM.
func (s *Scheduler) WaitingTasks(run string) (int, string) {
	b := s.backlogs[run]
	if b == nil {
		return 0, ""
	}
	return len(b.tasks), b.reason
}

// RanksFirst reports whether this entry is ranked first for a key.
func (s *Scheduler) RanksFirst(key string) bool {
	return ranker.Rank(key, s.Entry, s.AliveEntries()) == 0
}

// QuarantinedUntil returns the end of a VM's latest quarantine, or the zero time
// if it had none.
func (s *Scheduler) QuarantinedUntil(name string) time.Time {
	if v := s.vms[name]; v != nil {
		return v.QuarantinedUntil
	}
	return time.Time{}
}
