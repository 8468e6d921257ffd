// Package scheduler is the kernel that owns tasks: a pure step from an event
// to actions. It places pending tasks, sends starts and stops, records how
// attempts ended, fences VMs that are lost and lapses what they held.
//
// Owners are soft. Any entry may offer any record; the order of the log
// decides which one counts.
package scheduler

import (
	"time"

	"knapweedspur/internal/placement/ranker"
	"knapweedspur/internal/placement/sizer"
	"knapweedspur/internal/policy/placer"
	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/wire/message"
)

// Pauses and spans of the kernel.
const (
	// FreshSpan is how old the view of the log may be for placing and fencing.
	MaxViewAge = 5 * time.Second
	// ResendAfter is the time between two sendings of a start or stop.
	ResendInterval = 2 * time.Second
	// RankStep is how much longer an entry waits for each one ranked before it.
	RankDelay = time.Second
	// ForgetAfter is how long a lost VM with nothing open is remembered.
	ForgetAfter = time.Hour

	// margin is the share of the hold time added for the drift of clocks.
	margin = 20
	// signsMissed is how many signs of its own an entry sees without one of
	// another before the other counts as dead.
	signsMissed = 3
	// maxOffers is how many place records may be on their way.
	maxOffers = 4096
)

// Kernel is the state of one entry's scheduling. It is not safe for
// concurrent use. Set the exported fields, then Init.
type Scheduler struct {
	// Entry is this entry's incarnation.
	Entry string
	// State is the fold of the task stream; the caller folds, then tells.
	State *taskreducer.State
	// Place picks VMs.
	Placement placer.Policy
	// Quota returns a team's quota, and false if it has none.
	Quota func(team string) (message.Size, bool)
	// Hold is the hold time of leases.
	Hold time.Duration
	// Suspect is how long a VM may be silent before it is fenced.
	SuspectAfter time.Duration

	began   time.Time
	signs   []uint64
	viewAt  time.Time
	vms     map[string]*vm
	runs    map[string]*backlog
	order   []string
	offered map[taskreducer.TaskKey]offered
	closing map[message.Attempt]time.Time
	stops   map[taskreducer.TaskKey]*resend
	held    []ClosesReported
	heldAt  []time.Time
	used    map[string]message.Size
	failing map[string]map[string]bool
	dirty   bool
	// list caches the VMs to place on while listed is true.
	list   []*placer.VM
	listed bool
}

// vm is what the kernel knows of a VM besides the fold.
type vm struct {
	placer.VM
	linked   bool
	offered  message.Size
	good     time.Time
	starts   map[taskreducer.TaskKey]*resend
	fencing  time.Time
	fenced   time.Time
	fence    uint64
	lapsing  bool
	asked    time.Time
	barCount int
}

// offered is a place record on its way.
type offered struct {
	vm   string
	size message.Size
}

// resend is a message that is sent until it has taken effect.
type resend struct {
	due   time.Time
	stop  bool
	check bool
}

// backlog is what waits of a run.
type backlog struct {
	tasks  []waiting
	reason string
}

type waiting struct {
	task  int
	since time.Time
}

// Init reads the state as it is, after a snapshot for example.
func (k *Scheduler) Init(now time.Time) {
	k.began = now
	k.signs = nil
	k.listed = false
	k.vms = map[string]*vm{}
	k.runs = map[string]*backlog{}
	k.order = nil
	k.offered = map[taskreducer.TaskKey]offered{}
	k.closing = map[message.Attempt]time.Time{}
	k.stops = map[taskreducer.TaskKey]*resend{}
	k.used = map[string]message.Size{}
	k.failing = map[string]map[string]bool{}
	for name := range k.State.VMs {
		k.joined(now, name)
	}
	for name, run := range k.State.Runs {
		k.adopt(now, name, run)
	}
	for name, v := range k.State.VMs {
		if v.Fence != 0 {
			k.vms[name].fenced = now
			k.vms[name].fence = v.Fence
		}
	}
}

// adopt takes over a run of the state.
func (k *Scheduler) adopt(now time.Time, name string, run *taskreducer.Run) {
	if run == nil {
		return
	}
	for i := range run.Tasks {
		task := &run.Tasks[i]
		key := taskreducer.TaskKey{Run: name, Task: i}
		switch task.Phase {
		case taskreducer.Pending:
			k.wait(now, key)
		case taskreducer.Open:
			k.used[run.Team] = sizer.Add(k.used[run.Team], run.Size)
			if run.Canceled {
				k.stops[key] = &resend{due: now, stop: true}
			}
		}
	}
}

// Step takes an event and returns what to do.
func (k *Scheduler) Step(now time.Time, event Event) []Action {
	s := step{Scheduler: k, now: now}
	switch e := event.(type) {
	case StateChanged:
		s.foldedAll(e.Changes)
	case CaughtUp:
		s.viewed(e.ReadSent)
	case AgentConnected:
		s.link(e.VM)
	case AgentDisconnected:
		k.known(e.VM).linked = false
		k.listed = false
	case HeartbeatReceived:
		s.heard(e)
	case StartsAcked:
		for _, a := range e.Attempts {
			delete(k.known(e.VM).starts, taskreducer.TaskKey{Run: a.Run, Task: a.Task})
		}
	case ClosesReported:
		s.reported(e)
	case PeersAnswered:
		s.peersAnswered(e)
	case Tick:
		s.tick()
	case AppendRefused:
		s.refused(e.Record)
	}
	s.schedule()
	return s.actions
}

// step is one step of the kernel.
type step struct {
	*Scheduler
	now     time.Time
	actions []Action
}

func (s *step) offer(r message.Record) { s.actions = append(s.actions, Append{Record: r}) }

func (s *step) send(vm string, f *message.Frame) {
	s.actions = append(s.actions, Send{VM: vm, Frame: f})
}

// known returns what is known of a VM, and makes room for a new one.
func (k *Scheduler) known(name string) *vm {
	v := k.vms[name]
	if v == nil {
		v = &vm{starts: map[taskreducer.TaskKey]*resend{}}
		v.Name = name
		k.vms[name] = v
	}
	return v
}

// joined takes a VM's size and lease from the fold.
func (k *Scheduler) joined(now time.Time, name string) {
	folded := k.State.VMs[name]
	v := k.known(name)
	v.Lease = folded.Lease
	v.Rack = folded.Rack
	v.Domain = folded.Domain
	v.Size = folded.Size
	k.recount(v)
	v.good = now
	v.fenced = time.Time{}
	v.fencing = time.Time{}
	v.fence = 0
	v.lapsing = false
	k.dirty = true
}

// recount works out what is free on a VM after what is open and offered there.
func (k *Scheduler) recount(v *vm) {
	v.Free = sizer.Sub(v.Size, v.offered)
	k.State.ForEachOpen(v.Name, func(_ taskreducer.TaskKey, run *taskreducer.Run, _ *taskreducer.Task) {
		v.Free = sizer.Sub(v.Free, run.Size)
	})
}

// Alive returns the entries that count as alive, this one always. Another one
// is dead when several of this entry's own signs of life are in the log since
// its last: an outage of the log, which silences all, makes nobody dead.
func (k *Scheduler) AliveEntries() []string {
	list := []string{k.Entry}
	oldest := uint64(0)
	if len(k.signs) == signsMissed {
		oldest = k.signs[0]
	}
	for name, e := range k.State.Entries {
		if name != k.Entry && e.Offset >= oldest {
			list = append(list, name)
		}
	}
	return list
}

// sign notes one of this entry's own signs of life.
func (k *Scheduler) sign() {
	k.signs = append(k.signs, k.State.Entries[k.Entry].Offset)
	if len(k.signs) > signsMissed {
		k.signs = k.signs[1:]
	}
}

// Settled reports whether this entry has been there long enough to know the
// others.
func (k *Scheduler) Settled() bool { return len(k.signs) > 1 }

// fresh reports whether the view of the log is new enough to place and fence.
func (k *Scheduler) fresh(now time.Time) bool { return now.Sub(k.viewAt) < MaxViewAge }

// Waiting returns how many tasks of a run wait, and why the first does.
func (k *Scheduler) WaitingTasks(run string) (int, string) {
	b := k.runs[run]
	if b == nil {
		return 0, ""
	}
	return len(b.tasks), b.reason
}

// First reports whether this entry is ranked first for a key.
func (k *Scheduler) RanksFirst(key string) bool {
	return ranker.Rank(key, k.Entry, k.AliveEntries()) == 0
}

// Barred returns until when a VM is set aside, zero for not at all.
func (k *Scheduler) QuarantinedUntil(name string) time.Time {
	if v := k.vms[name]; v != nil {
		return v.QuarantinedUntil
	}
	return time.Time{}
}
