package workerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"knapweedspur/internal/wire/message"
)

// Call is the request body of a worker call over HTTP. Each call sets only the
// fields it uses.
type Call struct {
	Agent      string            `json:"agent"`
	Revision   int               `json:"revision,omitempty"`
	Wait       time.Duration     `json:"wait,omitempty"`
	Until      time.Duration     `json:"until,omitempty"`
	Task       *Task             `json:"task,omitempty"`
	Names      []message.Attempt `json:"names,omitempty"`
	Checkpoint bool              `json:"checkpoint,omitempty"`
}

// The URL paths of the calls.
const (
	PathClaim  = "/take"
	PathWatch  = "/watch"
	PathExtend = "/extend"
	PathStart  = "/start"
	PathStop   = "/stop"
	PathForget = "/forget"
)

// HTTP is a client of a worker that speaks JSON over HTTP.
type HTTP struct {
	// Address is the address of the worker.
	Address netip.AddrPort
	Client  *http.Client
}

func (h *HTTP) call(ctx context.Context, path string, call Call, result any) error {
	body, err := json.Marshal(call)
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := h.Client.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "call the worker")
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return trace.ConnectionProblem(err, "call the worker")
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return ErrSuperseded
	default:
		return trace.BadParameter("worker %s: %s: %s", path, resp.Status, answer)
	}
	if result == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(answer, result))
}

// Claim makes this agent process the one that controls the worker.
func (h *HTTP) Claim(ctx context.Context, agent string) (Status, error) {
	var s Status
	err := h.call(ctx, PathClaim, Call{Agent: agent}, &s)
	return s, err
}

// Watch waits for a status with another revision.
func (h *HTTP) Watch(ctx context.Context, agent string, revision int, wait time.Duration) (Status, error) {
	var s Status
	err := h.call(ctx, PathWatch, Call{Agent: agent, Revision: revision, Wait: wait}, &s)
	return s, err
}

// Extend allows tasks to run until the worker's clock reaches the given time.
func (h *HTTP) Extend(ctx context.Context, agent string, until time.Duration) error {
	return h.call(ctx, PathExtend, Call{Agent: agent, Until: until}, nil)
}

// Start starts a task.
func (h *HTTP) Start(ctx context.Context, agent string, t Task) error {
	return h.call(ctx, PathStart, Call{Agent: agent, Task: &t}, nil)
}

// Stop stops a task.
func (h *HTTP) Stop(ctx context.Context, agent string, name message.Attempt, checkpoint bool) error {
	return h.call(ctx, PathStop, Call{Agent: agent, Names: []message.Attempt{name}, Checkpoint: checkpoint}, nil)
}

// Forget removes ended tasks from the status.
func (h *HTTP) Forget(ctx context.Context, agent string, names []message.Attempt) error {
	return h.call(ctx, PathForget, Call{Agent: agent, Names: names}, nil)
}
