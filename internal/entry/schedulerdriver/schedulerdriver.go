// Package schedulerdriver drives the scheduling kernel of an entry: it folds the task
// stream, tells the kernel what happens, and does what the kernel asks for.
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
	tickEvery  = 250 * time.Millisecond
	aliveEvery = 5 * time.Second
	retryPause = time.Second
)

// Driver drives one kernel. Set the exported fields, then Run.
type Driver struct {
	// Kernel decides; its State is set by Run.
	Kernel *scheduler.Scheduler
	// Log is the log service.
	Log logclient.Log
	// Stream is the task stream.
	Stream string
	// Wait is how long a read of the log waits.
	ReadWait time.Duration
	// Gap is the least time between two reads of the log.
	ReadInterval time.Duration
	// Appender offers records to the stream.
	Appender *appender.Appender
	// Tracker holds the connected agents.
	Tracker *agenttracker.Tracker
	// Address is where agents reach this entry.
	Address netip.AddrPort
	// AskPeers finds out whether another entry hears a VM.
	AskPeers func(ctx context.Context, vm string, entries []netip.AddrPort) bool
	// Restorer finds the state to begin from.
	Restorer *restorer.Restorer[*taskreducer.State]
	// SnapshotEvery and SnapshotRecords bound the time and the records between
	// two snapshots.
	SnapshotEvery   time.Duration
	SnapshotRecords uint64
	// Logger takes what happens.
	Logger hclog.Logger

	mu      sync.Mutex
	ready   bool
	tail    *tailer.Tailer
	context context.Context
	folded  chan struct{}
	last    time.Time
	lastAt  uint64
	rejects map[uint64][]taskreducer.RecordRejected
}

// rejectSpan is for how many offsets the rejected records are remembered.
const rejectSpan = 4096

// Run drives the kernel until the context ends.
func (d *Driver) Run(ctx context.Context) {
	d.context = ctx
	d.folded = make(chan struct{})
	d.rejects = map[uint64][]taskreducer.RecordRejected{}
	from, ok := d.begin(ctx)
	if !ok {
		return
	}
	d.tail = &tailer.Tailer{
		Log: d.Log, Stream: d.Stream, MaxWait: d.ReadWait, MinInterval: d.ReadInterval, Apply: d.apply, Recover: d.recover, Logger: d.Logger,
		CaughtUp: func(now time.Time, v tailer.View) { d.viewed(now, v) },
	}
	d.mu.Lock()
	d.ready = true
	d.mu.Unlock()
	go d.tail.Run(ctx, from)
	d.tick(ctx)
}

// begin loads the newest snapshot, waiting for the log as long as it takes.
func (d *Driver) begin(ctx context.Context) (uint64, bool) {
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
		case <-time.After(retryPause):
		}
	}
}

// reset begins anew from a state.
func (d *Driver) reset(now time.Time, state *taskreducer.State) {
	d.Kernel.State = state
	d.Kernel.Init(now)
	d.last = now
	d.lastAt = state.Next
	for _, m := range d.Tracker.List() {
		d.run(now, d.Kernel.Step(now, scheduler.AgentConnected{VM: m.Hello.VM}))
	}
	for name, vm := range state.VMs {
		if vm.Drained {
			d.Tracker.SetDrained(name, true)
		}
	}
}

// recover goes on from a snapshot when the log has cut the records ahead.
func (d *Driver) recover(ctx context.Context, from uint64) (uint64, error) {
	state, err := d.Restorer.NewerThan(ctx, from)
	if err != nil {
		return from, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Logger.Warn("records were cut; going on from a snapshot", "stream", d.Stream, "from", from, "next", state.Next)
	d.reset(time.Now(), state)
	return state.Next, nil
}

// apply folds one value and tells the kernel.
func (d *Driver) apply(now time.Time, offset uint64, value []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := d.Kernel.State.Fold(offset, value)
	for _, c := range changes {
		d.note(offset, c)
	}
	delete(d.rejects, offset-rejectSpan)
	d.run(now, d.Kernel.Step(now, scheduler.StateChanged{Changes: changes}))
	close(d.folded)
	d.folded = make(chan struct{})
}

func (d *Driver) note(offset uint64, c taskreducer.Event) {
	switch c := c.(type) {
	case taskreducer.RecordRejected:
		d.rejects[offset] = append(d.rejects[offset], c)
	case taskreducer.VMDrainChanged:
		d.Tracker.SetDrained(c.VM, c.On)
	case taskreducer.VMFenced:
		d.Logger.Warn("fenced a VM that is not heard", "vm", c.VM, "lease", c.Lease)
	case taskreducer.VMJoined:
		d.Logger.Info("a VM has joined", "vm", c.VM, "lease", c.Lease)
	}
}

func (d *Driver) viewed(now time.Time, v tailer.View) {
	d.Notify(now, scheduler.CaughtUp{ReadSent: v.ReadSent})
}

// Tell tells the kernel of an event and does what it asks for.
func (d *Driver) Notify(now time.Time, event scheduler.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready {
		return
	}
	d.run(now, d.Kernel.Step(now, event))
}

// run does actions. The lock is held, so nothing here waits.
func (d *Driver) run(now time.Time, actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Append:
			if d.Appender.Enqueue(a.Record) == nil {
				d.run(now, d.Kernel.Step(now, scheduler.AppendRefused(a)))
			}
		case scheduler.Send:
			if m := d.Tracker.Get(a.VM); m != nil {
				_ = m.Sender.Queue(a.Frame)
			}
		case scheduler.AskPeers:
			entries := d.peers()
			go d.ask(a.VM, entries)
		}
	}
}

// peers returns the addresses of the other entries alive.
func (d *Driver) peers() []netip.AddrPort {
	var list []netip.AddrPort
	for _, name := range d.Kernel.AliveEntries() {
		if e, ok := d.Kernel.State.Entries[name]; ok && name != d.Kernel.Entry {
			list = append(list, e.Address)
		}
	}
	return list
}

// Entries returns the addresses of all entries alive, or nil while this entry
// does not know them yet.
func (d *Driver) Entries() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready || !d.Kernel.Settled() {
		return nil
	}
	return append(d.peers(), d.Address)
}

// Writers returns how many entries append to the stream.
func (d *Driver) Writers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready {
		return 1
	}
	return len(d.Kernel.AliveEntries())
}

func (d *Driver) ask(vm string, entries []netip.AddrPort) {
	heard := d.AskPeers(d.context, vm, entries)
	d.Notify(time.Now(), scheduler.PeersAnswered{VM: vm, Heard: heard})
}

// tick tells the time, says that this entry is alive, and writes snapshots.
func (d *Driver) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var said time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.Notify(now, scheduler.Tick{})
			if now.Sub(said) >= aliveEvery && !d.Appender.Stalled() {
				said = now
				d.Appender.Enqueue(message.Record{Alive: &message.Alive{Entry: d.Kernel.Entry, Address: d.Address}})
			}
			d.snapshot(ctx, now)
		}
	}
}

// View returns an agent's view of its lease, or nil while this entry has none.
func (d *Driver) LeaseView(now time.Time, vm string, probe *message.Probe) *message.LeaseView {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready {
		return nil
	}
	seen := d.tail.View()
	if seen.ReadSent.IsZero() {
		return nil
	}
	v := &message.LeaseView{Number: probe.Number, Age: now.Sub(seen.ReadSent), Hold: d.Kernel.Hold, HasAttempts: probe.WithAttempts}
	folded := d.Kernel.State.VMs[vm]
	if folded == nil {
		v.Lease = d.Kernel.State.LeaseFloor
		return v
	}
	v.Agent = folded.Agent
	v.Lease = folded.Lease
	v.Fenced = folded.Fence != 0
	if probe.WithAttempts {
		d.Kernel.State.ForEachOpen(vm, func(k taskreducer.TaskKey, _ *taskreducer.Run, t *taskreducer.Task) {
			v.OpenAttempts = append(v.OpenAttempts, message.Attempt{Run: k.Run, Task: k.Task, Attempt: int(t.Attempt)})
		})
	}
	return v
}

// Read calls f with the state, which f must not keep.
func (d *Driver) Read(f func(k *scheduler.Scheduler)) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready {
		return false
	}
	f(d.Kernel)
	return true
}

// Age returns how old this entry's view of the log is, and false if it never
// had one.
func (d *Driver) ViewAge(now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	ready := d.ready
	d.mu.Unlock()
	if !ready {
		return 0, false
	}
	v := d.tail.View()
	return now.Sub(v.ReadSent), !v.ReadSent.IsZero()
}

// rejection returns why a record at an offset did not count, and whether the
// offset was folded.
func (d *Driver) rejection(offset uint64, same func(*message.Record) bool) (string, bool, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready || d.Kernel.State.Next <= offset {
		return "", false, d.folded
	}
	for _, r := range d.rejects[offset] {
		if same(&r.Record) {
			return r.Reason, true, nil
		}
	}
	return "", true, nil
}

// First reports whether this entry is ranked first for a key.
func (d *Driver) RanksFirst(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready && d.Kernel.RanksFirst(key)
}
