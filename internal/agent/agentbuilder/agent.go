package agentbuilder

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/agent/announcer"
	"knapweedspur/internal/agent/requestadmitter"
	"knapweedspur/internal/agent/requestexecutor"
	"knapweedspur/internal/agent/taskexecutor"
	"knapweedspur/internal/link/requestlimiter"
	"knapweedspur/internal/wire/message"
)

// Agent connects the components: it reports their state to the entries and
// dispatches frames to them.
type Agent struct {
	// Done is closed when the agent has stopped.
	Done chan struct{}
	// Failed receives the error that makes the agent unable to continue.
	Failed chan error

	settings     *Settings
	dependencies Dependencies
	logger       hclog.Logger
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	metrics      *http.Server
	incarnation  string
	limiter      *requestlimiter.Limiter
	admitter     *requestadmitter.Admitter
	executor     *requestexecutor.Executor
	runner       *taskexecutor.Runner
	announcer    *announcer.Announcer
	configOffset atomic.Uint64
}

func (a *Agent) hello() *message.Hello {
	return &message.Hello{VM: a.settings.VM, Agent: a.incarnation, Rack: a.settings.Rack, Domain: a.settings.Domain, Service: a.settings.Service}
}

func (a *Agent) heartbeat() *message.Heartbeat {
	load := a.admitter.Load()
	h := &message.Heartbeat{
		Running: load.Running + load.Queued, Leaving: load.ShuttingDown,
		AcceptsRequests: load.Open && a.settings.Service != "", Offset: a.configOffset.Load(),
	}
	if a.runner == nil {
		return h
	}
	if r := a.runner.Report(); r != nil {
		h.Lease = r.Lease
		h.Free = r.Free
		h.Tasks = r.Tasks
	}
	return h
}

// handler dispatches the frames of one connection.
type handler struct {
	agent    *Agent
	link     *announcer.Link
	requests *requestexecutor.LinkRequests
}

func (a *Agent) newHandler(link *announcer.Link) announcer.Handler {
	return &handler{agent: a, link: link, requests: a.executor.NewLinkRequests(link)}
}

// Handle dispatches one frame.
func (h *handler) Handle(now time.Time, f *message.Frame) {
	switch {
	case f.Request != nil:
		h.requests.Serve(now, f.Request)
	case f.Credit != nil:
		h.requests.Credit(f.Credit.ID, f.Credit.Parts)
	case f.Abandon != nil:
		h.requests.Abandon(f.Abandon.ID)
	default:
		if f.AgentConfig != nil {
			h.agent.applyConfig(now, f.AgentConfig)
		}
		h.handleTaskFrame(f)
	}
}

// handleTaskFrame posts a frame that concerns tasks to the runner.
func (h *handler) handleTaskFrame(f *message.Frame) {
	r := h.agent.runner
	if r == nil {
		return
	}
	switch {
	case f.Start != nil:
		r.Post(taskexecutor.StartReceived{Start: f.Start, Reply: func(reply *message.Frame) { _ = h.link.Send(reply) }})
	case f.Stop != nil:
		r.Post(taskexecutor.StopReceived{Stop: f.Stop})
	case f.LeaseView != nil:
		r.Post(taskexecutor.ViewReceived{View: f.LeaseView})
	case f.ReportAck != nil:
		r.Post(taskexecutor.ClosesConfirmed{Ack: f.ReportAck})
	}
}

// Close cancels the requests of the connection.
func (h *handler) Close() { h.requests.Close() }

// applyConfig applies a configuration, unless a newer one has been applied
// already.
func (a *Agent) applyConfig(now time.Time, config *message.AgentConfig) {
	if len(config.Entries) > 0 {
		a.announcer.SetAliveEntries(config.Entries)
	}
	for {
		old := a.configOffset.Load()
		if config.Offset < old {
			return
		}
		if a.configOffset.CompareAndSwap(old, config.Offset) {
			break
		}
	}
	a.admitter.SetLimits(now, config.Slots, config.Connections)
}
