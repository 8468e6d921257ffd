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
	"knapweedspur/internal/wire/message"
)

// Agent joins the parts: it tells entries of them, and hands frames on to them.
type Agent struct {
	// Done is closed when the agent has stopped.
	Done chan struct{}
	// Ended tells why the agent can't go on.
	Failed chan error

	settings  *Settings
	platform  Dependencies
	logger    hclog.Logger
	cancel    context.CancelFunc
	group     sync.WaitGroup
	metrics   *http.Server
	name      string
	admitter  *requestadmitter.Admitter
	server    *requestexecutor.Executor
	runner    *taskexecutor.Runner
	announcer *announcer.Announcer
	offset    atomic.Uint64
}

func (a *Agent) hello() *message.Hello {
	return &message.Hello{VM: a.settings.VM, Agent: a.name, Rack: a.settings.Rack, Domain: a.settings.Domain, Service: a.settings.Service}
}

func (a *Agent) heartbeat() *message.Heartbeat {
	load := a.admitter.Load()
	h := &message.Heartbeat{
		Running: load.Running + load.Queued, Leaving: load.ShuttingDown,
		Open: load.Open && a.settings.Service != "", Offset: a.offset.Load(),
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

// handler hands on the frames of one connection.
type handler struct {
	agent *Agent
	link  *announcer.Link
	calls *requestexecutor.LinkRequests
}

func (a *Agent) connected(link *announcer.Link) announcer.Handler {
	return &handler{agent: a, link: link, calls: a.server.NewLinkRequests(link)}
}

// Handle takes one frame.
func (h *handler) Handle(now time.Time, f *message.Frame) {
	switch {
	case f.Request != nil:
		h.calls.Serve(now, f.Request)
	case f.Credit != nil:
		h.calls.Credit(f.Credit.ID, f.Credit.Parts)
	case f.Abandon != nil:
		h.calls.Abandon(f.Abandon.ID)
	default:
		if f.Setting != nil {
			h.agent.set(now, f.Setting)
		}
		h.task(f)
	}
}

// task hands a frame about tasks to the runner.
func (h *handler) task(f *message.Frame) {
	r := h.agent.runner
	if r == nil {
		return
	}
	switch {
	case f.Start != nil:
		r.Post(taskexecutor.StartReceived{Start: f.Start, Reply: func(reply *message.Frame) { _ = h.link.Send(reply) }})
	case f.Stop != nil:
		r.Post(taskexecutor.StopReceived{Stop: f.Stop})
	case f.View != nil:
		r.Post(taskexecutor.ViewReceived{View: f.View})
	case f.Taken != nil:
		r.Post(taskexecutor.ClosesConfirmed{Taken: f.Taken})
	}
}

// Close gives up the requests of the connection.
func (h *handler) Close() { h.calls.Close() }

// set puts a setting in force, unless a newer one is.
func (a *Agent) set(now time.Time, s *message.Setting) {
	if len(s.Entries) > 0 {
		a.announcer.SetLiveEntries(s.Entries)
	}
	for {
		old := a.offset.Load()
		if s.Offset < old {
			return
		}
		if a.offset.CompareAndSwap(old, s.Offset) {
			break
		}
	}
	a.admitter.SetLimits(now, s.Slots, s.Connections)
}
