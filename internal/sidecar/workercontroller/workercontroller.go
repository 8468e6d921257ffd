// Package workercontroller defines the interface to the worker of a VM, which runs
// tasks under a lease.
package workercontroller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"knapweedspur/internal/wire/work"
)

// ErrWorkerRestarted means that a different worker process answered than the
// one that the call was meant for. It may have carried out the call.
var ErrWorkerRestarted = errors.New("the worker process has restarted")

// ErrMisdirected is an ErrWorkerRestarted where the process that answered has
// rejected the call.
var ErrMisdirected = fmt.Errorf("%w and rejected the call", ErrWorkerRestarted)

// ErrUnreachable means that the worker's address refused the connection: no process
// accepts calls there, and this call was not sent. It says nothing about calls that
// were sent before.
var ErrUnreachable = errors.New("the worker refuses connections")

// ErrConnectionLost means that the connection ended before an answer had arrived, as
// when the worker process ends. The call may have been carried out.
var ErrConnectionLost = errors.New("the connection to the worker was lost")

// ErrUnexpectedAnswer means that a worker process has answered, but neither with a
// result nor with a reason that is known. It may have carried out the call.
var ErrUnexpectedAnswer = errors.New("the worker answered with an error")

// StartResult is the answer of a worker to a start call. All values except
// Accepted are the reasons for which a worker rejects a start.
type StartResult string

// The results, as the worker names them. Accepted means that the run has
// started; Fenced that the worker has accepted a newer fencing token; Outdated
// that the worker knows this run, or a later one of the task, already; Expired
// that the lease end of the call has already passed; Full that the VM lacks
// capacity; TicketRejected that the worker did not accept the policy service's
// ticket; Malformed that it could not read the call; Unhealthy that it is
// overloaded or unavailable.
const (
	Accepted       StartResult = ""
	Fenced         StartResult = "fence"
	Outdated       StartResult = "old"
	Expired        StartResult = "late"
	Full           StartResult = "room"
	TicketRejected StartResult = "ticket"
	Malformed      StartResult = "malformed"
	Unhealthy      StartResult = "unhealthy"
)

// Call holds the fields that every call to a worker carries.
type Call struct {
	// VM and WorkerIncarnation identify the worker process that the call is meant
	// for. WorkerIncarnation is its start time in Unix milliseconds.
	VM                string
	WorkerIncarnation int64
	// Fence is the fencing token of the session.
	Fence int64
}

// StartCall starts a run.
type StartCall struct {
	Call
	Start work.Start
	// LeaseEnd is the end of the lease on the worker's clock.
	LeaseEnd time.Duration
}

// HoldCall extends the lease and requests the state.
type HoldCall struct {
	Call
	// LeaseEnd is the end of the lease on the worker's clock, 0 for no change.
	LeaseEnd time.Duration
	// EndsAcked is the highest number of an end that the worker may drop, since it
	// is in the log. Only the process that the call is meant for may be told of it, since
	// each numbers its ends anew: it is left out of a call that may reach another one.
	EndsAcked int64
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// State lists the active and ended runs of a worker.
type State struct {
	// Clock is the worker's clock when it answered.
	Clock time.Duration
	// WorkerIncarnation identifies the worker process that answered, 0 if it is not
	// given.
	WorkerIncarnation int64
	Active            []work.RunStatus
	Ends              []work.RunEnd
	// MoreEnds is set if the worker has more ends than are listed here.
	MoreEnds bool
	// UnreadableRows counts the rows of the lists that could not be decoded. MoreEnds
	// is set if there are any, since a run that is not listed may be in one of them.
	UnreadableRows int
}

// Worker runs tasks. After an error other than ErrMisdirected and ErrUnreachable the
// call may still take effect, now or later.
type Worker interface {
	// Start starts a run.
	Start(ctx context.Context, call StartCall) (StartResult, error)
	// Stop stops a run. After a nil error the run will never start again.
	Stop(ctx context.Context, call Call, stop work.RunRef) error
	// Hold extends the lease, which covers all runs, and returns the state.
	Hold(ctx context.Context, call HoldCall) (State, error)
	// Pace sets the percentage of its processor share that a run may use.
	Pace(ctx context.Context, call Call, run work.RunRef, percent int) error
}
