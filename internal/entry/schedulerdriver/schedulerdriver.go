// Package schedulerdriver runs the scheduler of an entry: it folds the task stream
// into the scheduler's state, passes events to the scheduler, and performs the
// actions that the scheduler returns.
package schedulerdriver

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/client/logclient"
	"knapweedspur/internal/entry/agenttracker"
	"knapweedspur/internal/log/appender"
	"knapweedspur/internal/log/tailer"
	"knapweedspur/internal/state/restorer"
	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/task/scheduler"
	"knapweedspur/internal/wire/message"
)

const (
	tickInterval  = 250 * time.Millisecond
	aliveInterval = 5 * time.Second
	retryDelay    = time.Second
)

// Driver runs one scheduler. Set the exported fields before calling Run.
type Driver struct {
	// Scheduler makes the scheduling decisions. Run sets its State.
	Scheduler *scheduler.Scheduler
	// Log is the client of the log service.
	Log logclient.Log
	// Stream is the name of the task stream.
	Stream string
	// ReadWait is how long a read of the log waits for new records.
	ReadWait time.Duration
	// ReadInterval is the minimum time between two reads of the log.
	ReadInterval time.Duration
	// Appender appends records to the stream.
	Appender *appender.Appender
	// Tracker holds the connected agents.
	Tracker *agenttracker.Tracker
	// Address is the control address of this entry, for agents and other entries.
	Address netip.AddrPort
	// AskPeers asks other entries whether any of them receives a VM's heartbeats.
	AskPeers func(ctx context.Context, vm string, entries []netip.AddrPort) bool
	// Restorer finds the state to start from.
	Restorer *restorer.Restorer[*taskreducer.State]
	// SnapshotEvery and SnapshotRecords bound the time and the number of appends
	// between two snapshots.
	SnapshotEvery   time.Duration
	SnapshotRecords uint64
	// Logger receives log messages.
	Logger hclog.Logger

	mu                 sync.Mutex
	ready              bool
	tailer             *tailer.Tailer
	ctx                context.Context
	foldSignal         chan struct{}
	lastSnapshotTime   time.Time
	lastSnapshotOffset uint64
	rejections         map[uint64][]taskreducer.RecordRejected
}

// rejectionSpan is for how many offsets rejected records are kept, so that
// AppendAndWait can return the reason.
const rejectionSpan = 4096

// Run runs the scheduler until the context ends.
func (d *Driver) Run(ctx context.Context) {
	d.ctx = ctx
	d.foldSignal = make(chan struct{})
	d.rejections = map[uint64][]taskreducer.RecordRejected{}
	from, ok := d.restore(ctx)
	if !ok {
		return
	}
	d.tailer = &tailer.Tailer{
		Log: d.Log, Stream: d.Stream, MaxWait: d.ReadWait, MinInterval: d.ReadInterval, Apply: d.apply, Recover: d.recoverFromTruncation, Logger: d.Logger,
		CaughtUp: func(now time.Time, v tailer.View) { d.onCaughtUp(now, v) },
	}
	d.mu.Lock()
	d.ready = true
	d.mu.Unlock()
	go d.tailer.Run(ctx, from)
	d.tick(ctx)
}

// restore loads the newest snapshot and returns the offset to read from. It
// retries after every error until the context ends.
func (d *Driver) restore(ctx context.Context) (uint64, bool) {
	for {
		state, err := d.Restorer.FromLog(ctx)
		if err == nil {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.reset(time.Now(), state)
			return state.Next, true
		}
		d.Logger.Warn("waiting for the log service", "stream", d.Stream, "error", err)
		select {
		case <-ctx.Done():
			return 0, false
		case <-time.After(retryDelay):
		}
	}
}

// reset makes the scheduler start again from a state.
func (d *Driver) reset(now time.Time, state *taskreducer.State) {
	d.Scheduler.State = state
	d.Scheduler.Init(now)
	d.lastSnapshotTime = now
	d.lastSnapshotOffset = state.Next
	for _, agent := range d.Tracker.List() {
		d.perform(now, d.Scheduler.Step(now, scheduler.AgentConnected{VM: agent.Hello.VM}))
	}
	for name, vm := range state.VMs {
		if vm.Drained {
			d.Tracker.SetDrained(name, true)
		}
	}
}

// recoverFromTruncation continues from a snapshot if the log no longer has the next
// records.
func (d *Driver) recoverFromTruncation(ctx context.Context, from uint64) (uint64, error) {
	state, err := d.Restorer.NewerThan(ctx, from)
	if err != nil {
		return from, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Logger.Warn("log has cut records; continuing from a snapshot", "stream", d.Stream, "from", from, "next", state.Next)
	d.reset(time.Now(), state)
	return state.Next, nil
}

// apply folds one value of the log into the state and passes the changes to the
// scheduler.
func (d *Driver) apply(now time.Time, offset uint64, value []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := d.Scheduler.State.Fold(offset, value)
	for _, c := range changes {
		d.handleChange(offset, c)
	}
	delete(d.rejections, offset-rejectionSpan)
	d.perform(now, d.Scheduler.Step(now, scheduler.StateChanged{Changes: changes}))
	close(d.foldSignal)
	d.foldSignal = make(chan struct{})
}

func (d *Driver) handleChange(offset uint64, c taskreducer.Change) {
	switch c := c.(type) {
	case taskreducer.RecordRejected:
		d.rejections[offset] = append(d.rejections[offset], c)
	case taskreducer.VMDrainChanged:
		d.Tracker.SetDrained(c.VM, c.On)
	case taskreducer.VMFenced:
		d.Logger.Warn("VM fenced: no heartbeats", "vm", c.VM, "lease", c.Lease)
	case taskreducer.VMJoined:
		d.Logger.Info("VM joined", "vm", c.VM, "lease", c.Lease)
	}
}

func (d *Driver) onCaughtUp(now time.Time, v tailer.View) {
	d.Notify(now, scheduler.CaughtUp{ReadSent: v.ReadSent})
}

// Notify passes an event to the scheduler and performs the actions it returns. It
// does nothing before the state is restored.
func (d *Driver) Notify(now time.Time, event scheduler.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready {
		return
	}
	d.perform(now, d.Scheduler.Step(now, event))
}

// perform performs actions. The caller holds the lock, so perform must not block.
func (d *Driver) perform(now time.Time, actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Append:
			if d.Appender.Enqueue(a.Record) == nil {
				d.perform(now, d.Scheduler.Step(now, scheduler.AppendRefused(a)))
			}
		case scheduler.Send:
			if agent := d.Tracker.Get(a.VM); agent != nil {
				_ = agent.Sender.Queue(a.Frame)
			}
		case scheduler.AskPeers:
			entries := d.peers()
			go d.askPeers(a.VM, entries)
		}
	}
}

// peers returns the addresses of the other entries that are alive.
func (d *Driver) peers() []netip.AddrPort {
	var list []netip.AddrPort
	for _, name := range d.Scheduler.AliveEntries() {
		if e, ok := d.Scheduler.State.Entries[name]; ok && name != d.Scheduler.Entry {
			list = append(list, e.Address)
		}
	}
	return list
}

// Entries returns the addresses of all entries that are alive, or nil while this
// entry does not know them yet.
func (d *Driver) Entries() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready || !d.Scheduler.PeersKnown() {
		return nil
	}
	return append(d.peers(), d.Address)
}

// WriterCount returns how many entries append to the stream, 1 before the state is
// restored.
func (d *Driver) WriterCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready {
		return 1
	}
	return len(d.Scheduler.AliveEntries())
}

func (d *Driver) askPeers(vm string, entries []netip.AddrPort) {
	heard := d.AskPeers(d.ctx, vm, entries)
	d.Notify(time.Now(), scheduler.PeersAnswered{VM: vm, Heard: heard})
}

// tick periodically passes a Tick to the scheduler, announces that this entry is
// alive, and writes snapshots.
func (d *Driver) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var lastAlive time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.Notify(now, scheduler.Tick{})
			if now.Sub(lastAlive) >= aliveInterval && !d.Appender.Stalled() {
				lastAlive = now
				d.Appender.Enqueue(message.Record{Alive: &message.Alive{Entry: d.Scheduler.Entry, Address: d.Address}})
			}
			d.snapshotIfDue(ctx, now)
		}
	}
}

// LeaseView returns this entry's view of the lease of an agent's VM. It returns
// nil while this entry has no view of the log. The age of the view counts from
// when its read of the log was started.
func (d *Driver) LeaseView(now time.Time, vm string, probe *message.Probe) *message.LeaseView {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready {
		return nil
	}
	logView := d.tailer.View()
	if logView.ReadSent.IsZero() {
		return nil
	}
	v := &message.LeaseView{Number: probe.Number, Age: now.Sub(logView.ReadSent), Hold: d.Scheduler.Hold, HasAttempts: probe.WithAttempts}
	recorded := d.Scheduler.State.VMs[vm]
	if recorded == nil {
		v.Lease = d.Scheduler.State.LeaseFloor
		return v
	}
	v.Agent = recorded.Agent
	v.Lease = recorded.Lease
	v.Fenced = recorded.Fence != 0
	if probe.WithAttempts {
		d.Scheduler.State.ForEachOpen(vm, func(k taskreducer.TaskKey, _ *taskreducer.Run, t *taskreducer.Task) {
			v.OpenAttempts = append(v.OpenAttempts, message.Attempt{Run: k.Run, Task: k.Task, Attempt: int(t.Attempt)})
		})
	}
	return v
}

// Read calls f with the scheduler, which f must not retain. It returns false before
// the state is restored.
func (d *Driver) Read(f func(k *scheduler.Scheduler)) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready {
		return false
	}
	f(d.Scheduler)
	return true
}

// ViewAge returns the age of this entry's view of the log. It returns false if
// there is no view yet.
func (d *Driver) ViewAge(now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	ready := d.ready
	d.mu.Unlock()
	if !ready {
		return 0, false
	}
	v := d.tailer.View()
	return now.Sub(v.ReadSent), !v.ReadSent.IsZero()
}

// rejection returns why the record at an offset was rejected, empty if it was not,
// and whether the offset has been folded. If it has not, the channel is closed
// after the next fold.
func (d *Driver) rejection(offset uint64, matches func(*message.Record) bool) (string, bool, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready || d.Scheduler.State.Next <= offset {
		return "", false, d.foldSignal
	}
	for _, r := range d.rejections[offset] {
		if matches(&r.Record) {
			return r.Reason, true, nil
		}
	}
	return "", true, nil
}

// RanksFirst reports whether this entry is ranked first for a key among the
// entries alive.
func (d *Driver) RanksFirst(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready && d.Scheduler.RanksFirst(key)
}
