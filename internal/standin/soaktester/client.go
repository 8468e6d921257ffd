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
	// tries is how often a client sends a job.
	tries = 5
	// estimate is the declared duration of tasks: most take longer.
	estimate = 500 * time.Millisecond
	// poll is how often a client asks for a state.
	poll = 300 * time.Millisecond
)

// client submits one job, asks for its state, and sometimes cancels it. It
// keeps its connection until the entry closes it.
type client struct {
	soak   *soak
	http   *http.Client
	random *rand.Rand
	job    string
	tasks  []string
}

func (c *client) run(ctx context.Context) {
	count := 1 + c.random.IntN(4)
	for i := range count {
		c.tasks = append(c.tasks, fmt.Sprintf("%s.0.0.%d", c.job, i))
	}
	s := size{millis: 100 * (1 + c.random.IntN(6)), memory: 50}
	c.soak.checker.mu.Lock()
	c.soak.checker.sizes[c.job] = s
	c.soak.checker.mu.Unlock()
	body := platformemulator.Job(count, s.millis, s.memory, estimate)
	if !c.submit(ctx, body) {
		return
	}
	cancel := c.random.IntN(8) == 0
	for ctx.Err() == nil {
		waiter.Sleep(ctx, poll)
		if cancel && c.random.IntN(4) == 0 {
			c.soak.checker.ask(c.job)
			c.send(ctx, http.MethodDelete, "cancel", "")
		}
		status, answer := c.send(ctx, http.MethodGet, "state", "")
		if status != http.StatusOK {
			continue
		}
		state := platformemulator.State(answer)
		if state == "" {
			continue
		}
		c.soak.checker.state(c.job, state, c.tasks, time.Now())
		if state == platformemulator.StateCompleted || state == platformemulator.StateCanceled {
			return
		}
	}
}

// submit sends the job until it is accepted. A job that got nothing but
// refusals must never run.
func (c *client) submit(ctx context.Context, body string) bool {
	refusals := 0
	for range tries {
		status, _ := c.send(ctx, http.MethodPost, "submit", body)
		switch status {
		case http.StatusOK:
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			refusals++
		}
		waiter.Sleep(ctx, time.Duration(200+c.random.IntN(400))*time.Millisecond)
	}
	if refusals == tries {
		c.soak.checker.refuse(c.job)
	}
	return false
}

// send calls an entry and returns the status, 0 for none.
func (c *client) send(ctx context.Context, method, what, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	entry := c.soak.entries[c.random.IntN(len(c.soak.entries))]
	req, err := platformemulator.NewRequest(method, entry.clients, c.job, body, clientTimeout)
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
	c.soak.checker.answer(c.job, what, resp.StatusCode, time.Now())
	return resp.StatusCode, data
}
