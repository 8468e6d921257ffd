// Package restorer obtains the newest state of a stream, from a snapshot in the
// log or from another entry. A process needs it when it starts, and when the log
// has deleted records that the process has not read yet.
package restorer

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"knapweedspur/internal/client/logclient"
	"knapweedspur/internal/state/snapshotter"
)

// State is the result of applying the records of a stream.
type State interface {
	// Offset returns the offset of the next batch to apply.
	Offset() uint64
}

// Restorer obtains states of one stream. Set the exported fields before use.
type Restorer[S State] struct {
	// Log is the client of the log service.
	Log logclient.Log
	// Stream is the name of the stream.
	Stream string
	// New returns the state before the first record.
	New func() S
	// Restore returns the state that a snapshot holds.
	Restore func(data []byte) (S, error)
	// Peers holds the addresses of the other entries.
	Peers []netip.AddrPort
	// FetchFromPeer returns another entry's snapshot of a stream.
	FetchFromPeer func(ctx context.Context, peer netip.AddrPort, stream string) (snapshotter.Snapshot, error)
	// Timeout limits one read of the log or one call to a peer.
	Timeout time.Duration
}

// FromLog returns the state of the newest snapshot in the log, or the state
// before the first record if there is no snapshot.
func (r *Restorer[S]) FromLog(ctx context.Context) (S, error) {
	var zero S
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	s, err := snapshotter.Read(ctx, r.Log, r.Stream)
	if errors.Is(err, snapshotter.ErrNoSnapshot) {
		return r.New(), nil
	}
	if err != nil {
		return zero, err
	}
	return r.Restore(s.Data)
}

// FromPeers returns the newest state that another entry has, and false if no
// entry answers with a valid one.
func (r *Restorer[S]) FromPeers(ctx context.Context) (S, bool) {
	var newest S
	found := false
	for _, peer := range r.Peers {
		callCtx, cancel := context.WithTimeout(ctx, r.Timeout)
		s, err := r.FetchFromPeer(callCtx, peer, r.Stream)
		cancel()
		if err != nil {
			continue
		}
		state, err := r.Restore(s.Data)
		if err == nil && (!found || state.Offset() > newest.Offset()) {
			newest, found = state, true
		}
	}
	return newest, found
}

// NewerThan returns a state that includes the record at an offset, from the log
// or else from a peer. It fails if neither has one.
func (r *Restorer[S]) NewerThan(ctx context.Context, offset uint64) (S, error) {
	state, err := r.FromLog(ctx)
	if err != nil {
		return state, err
	}
	if state.Offset() > offset {
		return state, nil
	}
	if state, ok := r.FromPeers(ctx); ok && state.Offset() > offset {
		return state, nil
	}
	return state, trace.NotFound("the log has cut records from offset %d on that no snapshot and no peer holds; see docs/OPERATIONS.md, 'Records were cut'", offset)
}
