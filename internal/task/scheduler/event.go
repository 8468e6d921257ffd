package scheduler

import (
	"time"

	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/wire/message"
)

// Event is an input of the scheduler: one of the types in this file that
// implement it.
type Event interface{ event() }

// StateChanged reports what one value of the log changed in the state.
type StateChanged struct{ Changes []taskreducer.Change }

// CaughtUp reports that a read of the log, sent at the given time, reached the
// end of the log.
type CaughtUp struct{ ReadSent time.Time }

// AgentConnected reports that an agent has connected to this entry.
type AgentConnected struct{ VM string }

// AgentDisconnected reports that an agent's connection has ended.
type AgentDisconnected struct{ VM string }

// HeartbeatReceived reports a heartbeat and the lease number that the agent
// claims to hold.
type HeartbeatReceived struct {
	VM    string
	Lease int
}

// StartsAcked reports attempts that an agent has confirmed as running.
type StartsAcked struct {
	VM       string
	Attempts []message.Attempt
}

// ClosesReported reports attempts that have ended according to their agent.
type ClosesReported struct {
	VM     string
	Closes []message.Close
}

// PeersAnswered reports whether any other entry receives a VM's heartbeats. It
// answers AskPeers.
type PeersAnswered struct {
	VM    string
	Heard bool
}

// Tick is the periodic timer event.
type Tick struct{}

// AppendRefused reports that the appender did not accept a record.
type AppendRefused struct{ Record message.Record }

func (StateChanged) event()      {}
func (CaughtUp) event()          {}
func (AgentConnected) event()    {}
func (AgentDisconnected) event() {}
func (HeartbeatReceived) event() {}
func (StartsAcked) event()       {}
func (ClosesReported) event()    {}
func (PeersAnswered) event()     {}
func (Tick) event()              {}
func (AppendRefused) event()     {}

// Action is an output of the scheduler, for its caller to carry out: one of the
// types below.
type Action interface{ action() }

// Append asks the caller to append a record to the log.
type Append struct{ Record message.Record }

// Send asks the caller to send a frame to an agent.
type Send struct {
	VM    string
	Frame *message.Frame
}

// AskPeers asks the caller to find out whether any other entry receives a VM's
// heartbeats. The answer comes back as PeersAnswered.
type AskPeers struct{ VM string }

func (Append) action()   {}
func (Send) action()     {}
func (AskPeers) action() {}
