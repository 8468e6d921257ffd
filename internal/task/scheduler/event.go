package scheduler

import (
	"time"

	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/wire/message"
)

// Event is what the kernel is told. The set is closed.
type Event interface{ event() }

// Folded tells what the fold of one log value changed.
type Folded struct{ Changes []taskreducer.Event }

// Viewed tells that the end of the log was seen by a read sent at a time.
type Viewed struct{ Asked time.Time }

// Linked tells that an agent has connected to this entry.
type Linked struct{ VM string }

// Unlinked tells that an agent's connection has ended.
type Unlinked struct{ VM string }

// Heard tells of a heartbeat and the lease that the agent says it holds.
type Heard struct {
	VM    string
	Lease int
}

// Acked tells of attempts that an agent says it runs.
type Acked struct {
	VM       string
	Attempts []message.Attempt
}

// Reported tells of attempts that an agent says have ended.
type Reported struct {
	VM     string
	Closes []message.Close
}

// PeersAnswered tells whether another entry hears a VM.
type PeersAnswered struct {
	VM    string
	Heard bool
}

// Ticked tells that time has passed.
type Ticked struct{}

// Refused tells that the appender took no more records.
type Refused struct{ Record message.Record }

func (Folded) event()        {}
func (Viewed) event()        {}
func (Linked) event()        {}
func (Unlinked) event()      {}
func (Heard) event()         {}
func (Acked) event()         {}
func (Reported) event()      {}
func (PeersAnswered) event() {}
func (Ticked) event()        {}
func (Refused) event()       {}

// Action is what the kernel wants done. The set is closed.
type Action interface{ action() }

// Offer asks to append a record to the log.
type Offer struct{ Record message.Record }

// Send asks to send a frame to an agent.
type Send struct {
	VM    string
	Frame *message.Frame
}

// AskPeers asks to find out whether another entry hears a VM.
type AskPeers struct{ VM string }

func (Offer) action()    {}
func (Send) action()     {}
func (AskPeers) action() {}
