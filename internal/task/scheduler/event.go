package scheduler

import (
	"time"

	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/wire/message"
)

// Event is what the kernel is told. The set is closed.
type Event interface{ event() }

// Folded tells what the fold of one log value changed.
type StateChanged struct{ Changes []taskreducer.Event }

// Viewed tells that the end of the log was seen by a read sent at a time.
type CaughtUp struct{ ReadSent time.Time }

// Linked tells that an agent has connected to this entry.
type AgentConnected struct{ VM string }

// Unlinked tells that an agent's connection has ended.
type AgentDisconnected struct{ VM string }

// Heard tells of a heartbeat and the lease that the agent says it holds.
type HeartbeatReceived struct {
	VM    string
	Lease int
}

// Acked tells of attempts that an agent says it runs.
type StartsAcked struct {
	VM       string
	Attempts []message.Attempt
}

// Reported tells of attempts that an agent says have ended.
type ClosesReported struct {
	VM     string
	Closes []message.Close
}

// PeersAnswered tells whether another entry hears a VM.
type PeersAnswered struct {
	VM    string
	Heard bool
}

// Ticked tells that time has passed.
type Tick struct{}

// Refused tells that the appender took no more records.
type AppendRefused struct{ Record message.Record }

func (StateChanged) event()        {}
func (CaughtUp) event()        {}
func (AgentConnected) event()        {}
func (AgentDisconnected) event()      {}
func (HeartbeatReceived) event()         {}
func (StartsAcked) event()         {}
func (ClosesReported) event()      {}
func (PeersAnswered) event() {}
func (Tick) event()        {}
func (AppendRefused) event()       {}

// Action is what the kernel wants done. The set is closed.
type Action interface{ action() }

// Offer asks to append a record to the log.
type Append struct{ Record message.Record }

// Send asks to send a frame to an agent.
type Send struct {
	VM    string
	Frame *message.Frame
}

// AskPeers asks to find out whether another entry hears a VM.
type AskPeers struct{ VM string }

func (Append) action()    {}
func (Send) action()     {}
func (AskPeers) action() {}
