// Package workercontroller is the narrow interface to the worker of a VM, which runs
// tasks under a lease.
package workercontroller

import (
	"context"
	"errors"
	"time"

	"knapweedspur/internal/wire/work"
)

// ErrReborn means that another life of the worker answered.
var ErrWorkerRestarted = errors.New("the worker has started anew")

// Rejection is the reason why a worker did not start a run.
type Rejection string

// The rejections. Accepted means that the run is there.
const (
	Accepted  Rejection = ""
	Fenced    Rejection = "fence"
	Outdated  Rejection = "old"
	Expired   Rejection = "late"
	Full      Rejection = "room"
	TicketRejected  Rejection = "ticket"
	Malformed Rejection = "malformed"
	Unhealthy Rejection = "unhealthy"
)

// Call is what all orders to a worker carry.
type Call struct {
	// VM and Born name the intended life of the worker.
	VM   string
	Born int64
	// Fence is the token of the session.
	Fence int64
}

// StartCall starts a run.
type StartCall struct {
	Call
	Start work.Start
	// Until is the end of the lease on the worker's clock.
	Until time.Duration
}

// HoldCall extends the lease and asks for the state.
type HoldCall struct {
	Call
	// Until is the end of the lease on the worker's clock, 0 for no change.
	Until time.Duration
	// Seen is the highest end that the worker may forget.
	Seen int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// State is what runs on a worker, and what ended there.
type State struct {
	// Clock is the worker's clock when it answered.
	Clock time.Duration
	// Born is the life of the worker that answered, 0 where it did not say.
	Born   int64
	Active []work.Active
	Ends   []work.End
}

// Worker runs tasks. An error other than ErrReborn means that the order may
// be carried out, now or later.
type Worker interface {
	// Start starts a run.
	Start(ctx context.Context, call StartCall) (Rejection, error)
	// Stop stops a run. After a nil error the run will never start again.
	Stop(ctx context.Context, call Call, stop work.Stop) error
	// Hold extends the lease of all runs and returns the state.
	Hold(ctx context.Context, call HoldCall) (State, error)
	// Pace sets the share at which a run works, in percent.
	Pace(ctx context.Context, call Call, run work.Stop, percent int) error
}
