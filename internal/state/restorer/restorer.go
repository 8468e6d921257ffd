// Package restorer finds the newest state of a stream for a process that
// starts, or whose records the log has cut.
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

// State is the fold of a stream.
type State interface {
	// Offset returns the offset that the fold reads next.
	Offset() uint64
}

// Restorer finds states of one stream. Set the exported fields before use.
type Restorer[S State] struct {
	// Log is the log service.
	Log logclient.Log
	// Stream is the stream.
	Stream string
	// New returns the state before the first record.
	New func() S
	// Restore returns the state of a snapshot.
	Restore func(data []byte) (S, error)
	// Peers are entries to ask.
	Peers []netip.AddrPort
	// AskPeer returns another entry's snapshot of a stream.
	FetchFromPeer func(ctx context.Context, peer netip.AddrPort, stream string) (snapshotter.Snapshot, error)
	// Timeout bounds one call.
	Timeout time.Duration
}

// FromLog returns the newest snapshot of the log, or the state before the
// first record if there is none.
func (r *Restorer[S]) FromLog(ctx context.Context) (S, error) {
	var none S
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	s, err := snapshotter.Read(ctx, r.Log, r.Stream)
	if errors.Is(err, snapshotter.ErrNoSnapshot) {
		return r.New(), nil
	}
	if err != nil {
		return none, err
	}
	return r.Restore(s.Data)
}

// FromPeers returns the newest state that another entry has, and false if none
// answers.
func (r *Restorer[S]) FromPeers(ctx context.Context) (S, bool) {
	var best S
	found := false
	for _, peer := range r.Peers {
		call, cancel := context.WithTimeout(ctx, r.Timeout)
		s, err := r.FetchFromPeer(call, peer, r.Stream)
		cancel()
		if err != nil {
			continue
		}
		state, err := r.Restore(s.Data)
		if err == nil && (!found || state.Offset() > best.Offset()) {
			best, found = state, true
		}
	}
	return best, found
}

// Beyond returns a state that is beyond an offset, of the log or else of a
// peer. It fails if neither has one.
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
