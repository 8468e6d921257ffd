package soaktester

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"knapweedspur/internal/clock/waiter"
	"knapweedspur/platform/platformemulator"
)

const (
	// clientTimeout is how long a client waits for an answer.
	clientTimeout = 3 * time.Second
	// maxSubmitAttempts is how often a client submits a job at most.
	maxSubmitAttempts = 5
	// declaredDuration is the declared duration of tasks; most take longer.
	declaredDuration = 500 * time.Millisecond
	// pollInterval is how often a client polls the state of its job.
	pollInterval = 300 * time.Millisecond
)

// client submits one job, polls its state, and sometimes cancels it. It keeps its
// connection until the entry closes it.
type client struct {
	soak   *soak
	http   *http.Client
	random *rand.Rand
	// doubts decides what the client does when a submission had no answer. It has a source
	// of its own, so that the other draws of a seed stay the same.
	doubts *rand.Rand
	job    string
	tasks  []string
}

// clientStream and doubtStream tell the random sources of clients apart.
const clientStream, doubtStream = 3, 7

// newClient returns a client with a random job.
func (s *soak) newClient(random *rand.Rand, stream uint64) *client {
	seed, job := random.Uint64(), random.Uint64()
	return &client{
		soak: s, http: &http.Client{Transport: &http.Transport{}}, job: fmt.Sprintf("%016x", job),
		random: rand.New(rand.NewPCG(seed, stream)), doubts: rand.New(rand.NewPCG(job, doubtStream)),
	}
}

func (c *client) run(ctx context.Context) {
	taskCount := 1 + c.random.IntN(4)
	for i := range taskCount {
		c.tasks = append(c.tasks, fmt.Sprintf("%s.0.0.%d", c.job, i))
	}
	need := size{millis: 100 * (1 + c.random.IntN(6)), memory: 50}
	c.soak.checker.mu.Lock()
	c.soak.checker.jobSizes[c.job] = need
	c.soak.checker.mu.Unlock()
	if c.soak.config.Crashes && c.random.IntN(jobsPerCrashingOne) == 0 {
		c.soak.checker.addCrashing(c.tasks[c.random.IntN(taskCount)])
	}
	body := platformemulator.JobBody(taskCount, need.millis, need.memory, declaredDuration)
	if !c.submit(ctx, body) {
		return
	}
	cancel := c.random.IntN(8) == 0
	for ctx.Err() == nil {
		waiter.Sleep(ctx, pollInterval)
		if cancel && c.random.IntN(4) == 0 {
			c.soak.checker.recordCancelRequest(c.job)
			c.send(ctx, http.MethodDelete, "cancel", "")
		}
		status, response := c.send(ctx, http.MethodGet, "state", "")
		if status != http.StatusOK {
			continue
		}
		state := platformemulator.DecodeState(response)
		if state == "" {
			continue
		}
		c.soak.checker.recordState(c.job, state, c.tasks, time.Now())
		if state == platformemulator.StateCompleted || state == platformemulator.StateCanceled {
			return
		}
	}
}

// submit sends the job until it is accepted, at most maxSubmitAttempts times. A
// job that got only refusals must never run.
func (c *client) submit(ctx context.Context, body string) bool {
	refusals := 0
	for range maxSubmitAttempts {
		c.soak.checker.recordSubmission(c.job)
		status, _ := c.send(ctx, http.MethodPost, "submit", body)
		switch status {
		case http.StatusOK:
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			refusals++
		default:
			if c.abandon(ctx) {
				return false
			}
		}
		waiter.Sleep(ctx, time.Duration(200+c.random.IntN(400))*time.Millisecond)
	}
	if refusals == maxSubmitAttempts {
		c.soak.checker.recordRefusal(c.job)
	}
	return false
}

// abandon asks for the job, or cancels it, after a submission without an answer. It
// reports whether the client gives the job up.
func (c *client) abandon(ctx context.Context) bool {
	if c.doubts.IntN(2) == 0 {
		return false
	}
	if c.doubts.IntN(2) == 0 {
		c.send(ctx, http.MethodGet, "state", "")
	} else {
		c.soak.checker.recordCancelRequest(c.job)
		c.send(ctx, http.MethodDelete, "cancel", "")
	}
	return c.doubts.IntN(2) == 0
}

// send calls a random entry and returns the status and the body. The status is 0
// if there was no complete answer.
func (c *client) send(ctx context.Context, method, operation, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	entry := c.soak.entries[c.random.IntN(len(c.soak.entries))]
	newRequest := platformemulator.NewJobRequest
	if c.soak.config.Policy {
		newRequest = platformemulator.NewApprovedJobRequest
	}
	req, err := newRequest(method, entry.clientAddress, c.job, body, clientTimeout)
	if err != nil {
		return 0, nil
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	c.soak.checker.recordResponse(c.job, operation, resp.StatusCode, time.Now())
	return resp.StatusCode, data
}
