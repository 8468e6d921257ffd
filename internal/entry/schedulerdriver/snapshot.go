package schedulerdriver

import (
	"context"
	"time"

	"knapweedspur/internal/state/snapshotter"
)

// Snapshot returns a snapshot of the state, for other entries.
func (d *Driver) Snapshot() (snapshotter.Snapshot, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready {
		return snapshotter.Snapshot{}, snapshotter.ErrNoSnapshot
	}
	data, err := d.Scheduler.State.Snapshot()
	return snapshotter.Snapshot{Next: d.Scheduler.State.Next, Data: data}, err
}

// snapshotIfDue writes a snapshot if one is due and this entry ranks first for the
// stream.
func (d *Driver) snapshotIfDue(ctx context.Context, now time.Time) {
	d.mu.Lock()
	state := d.Scheduler.State
	due := d.Scheduler.RanksFirst(d.Stream) && snapshotter.Due(now, d.lastSnapshotTime, state.Next, d.lastSnapshotOffset, d.SnapshotEvery, d.SnapshotRecords)
	var s snapshotter.Snapshot
	var err error
	if due {
		s.Next = state.Next
		s.Data, err = state.Snapshot()
		d.lastSnapshotTime = now
		d.lastSnapshotOffset = state.Next
	}
	d.mu.Unlock()
	if !due {
		return
	}
	if err == nil {
		err = d.writeSnapshot(ctx, s)
	}
	if err != nil {
		d.Logger.Warn("cannot write a snapshot; trying again later", "stream", d.Stream, "error", err)
		return
	}
	d.Logger.Debug("wrote a snapshot", "stream", d.Stream, "next", s.Next, "bytes", len(s.Data))
}

func (d *Driver) writeSnapshot(ctx context.Context, s snapshotter.Snapshot) error {
	ctx, cancel := context.WithTimeout(ctx, d.Appender.Timeout)
	defer cancel()
	return snapshotter.Write(ctx, d.Log, d.Stream, s)
}
