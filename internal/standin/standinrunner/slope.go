package standinrunner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"knapweedspur/internal/standin/fleetsimulator"
	"knapweedspur/internal/wire/admin"
	"knapweedspur/internal/wire/message"
)

// slopeCommand measures what a process spends at one size, and prints a row
// of JSON for fitCommand.
type slopeCommand struct {
	Kind    string           `help:"What grows: agents, starts, changes or idle." enum:"agents,starts,changes,idle" required:""`
	Size    float64          `help:"The size: agents, starts a second, changes a second, or any number for idle." required:""`
	Entries []netip.AddrPort `help:"Control addresses of entries."`
	Agents  int              `help:"Agents in the crowd, unless agents grow." default:"50"`
	Pid     int              `help:"Process to measure." required:""`
	Metrics netip.AddrPort   `help:"Where its metrics are." required:""`
	Span    time.Duration    `help:"For how long to measure." default:"8s"`
	Beat    time.Duration    `help:"Time between heartbeats." default:"1s"`
	Probe   time.Duration    `help:"Time between probes." default:"2s"`
}

const (
	joinLimit  = 30 * time.Second
	settleTime = 2 * time.Second
	taskTime   = 500 * time.Millisecond
	perSubmit  = 10
)

// Run measures one size.
func (c *slopeCommand) Run(env *environment) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.Kind == "agents" {
		c.Agents = int(c.Size)
	}
	people := &fleetsimulator.Fleet{
		Entries: c.Entries, AgentCount: c.Agents, NamePrefix: fmt.Sprintf("%s-%.0f", c.Kind, c.Size), HeartbeatInterval: c.Beat, ProbeInterval: c.Probe,
		VMSize: message.Size{Millicores: 1 << 20, Memory: 1 << 40}, TaskDuration: taskTime,
	}
	if c.Kind != "idle" {
		go people.Run(ctx)
		for begin := time.Now(); people.LeasedAgents() < int64(c.Agents); time.Sleep(settleTime / 20) {
			if time.Since(begin) > joinLimit {
				return fmt.Errorf("only %d of %d agents have joined", people.LeasedAgents(), c.Agents)
			}
		}
	}
	time.Sleep(settleTime)
	before, err := fleetsimulator.ReadUsage(time.Now(), c.Pid, c.Metrics, "")
	if err != nil {
		return err
	}
	begun := people.StartedTasks()
	note, err := c.drive(people)
	if err != nil {
		return err
	}
	after, err := fleetsimulator.ReadUsage(time.Now(), c.Pid, c.Metrics, "")
	if err != nil {
		return err
	}
	row := fleetsimulator.UsageBetween(c.Size, before, after)
	if c.Kind == "starts" {
		row.Size = float64(people.StartedTasks()-begun) / after.At.Sub(before.At).Seconds()
	}
	fmt.Fprintln(env.errs, note)
	return json.NewEncoder(env.out).Encode(map[string]any{"kind": c.Kind, "row": row})
}

// drive makes what grows happen for the span.
func (c *slopeCommand) drive(people *fleetsimulator.Fleet) (string, error) {
	switch c.Kind {
	case "starts":
		return c.starts(people)
	case "changes":
		return c.changes(people)
	}
	time.Sleep(c.Span)
	return "", nil
}

func post(address netip.AddrPort, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+address.String()+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s: %s", path, resp.Status)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// starts submits runs at the rate that is asked for.
func (c *slopeCommand) starts(people *fleetsimulator.Fleet) (string, error) {
	change := &message.Change{ID: fmt.Sprint("slope-", os.Getpid()), Who: "slope", Edits: []message.Edit{{
		Name: "burst", Body: "kind: job\nname: burst\nteam: slope\ntasks: 10\nneeds:\n  processors: 0.01\n  memory: 1MiB\n",
	}}}
	// A conflict means that an earlier size has published the job.
	_ = post(c.Entries[0], "/v1/changes", change, nil)
	begin := time.Now()
	every := time.Duration(float64(time.Second) * perSubmit / c.Size)
	failed := make(chan error, 1)
	n := 0
	for ; time.Since(begin) < c.Span; n++ {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * every)))
		asked := admin.Submission{Job: "burst", Run: fmt.Sprintf("burst-%d-%d", os.Getpid(), n), Who: "slope"}
		entry := c.Entries[n%len(c.Entries)]
		go func() {
			if err := post(entry, "/v1/runs", asked, nil); err != nil {
				select {
				case failed <- err:
				default:
				}
			}
		}()
	}
	select {
	case err := <-failed:
		return "", err
	default:
	}
	return fmt.Sprintf("asked for %d starts in %s, saw %d", n*perSubmit, c.Span, people.StartedTasks()), nil
}

// changes publishes at the rate that is asked for, and times how long the
// last change takes to reach all agents.
func (c *slopeCommand) changes(people *fleetsimulator.Fleet) (string, error) {
	begin := time.Now()
	every := time.Duration(float64(time.Second) / c.Size)
	version := uint64(0)
	for n := 0; time.Since(begin) < c.Span; n++ {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * every)))
		name := fmt.Sprintf("job-%d-%d", os.Getpid(), n)
		change := &message.Change{ID: name, Who: "slope", Edits: []message.Edit{{Name: name, Body: "kind: job\nname: " + name + "\nteam: slope\n"}}}
		var outcome admin.ChangeResult
		if err := post(c.Entries[0], "/v1/changes", change, &outcome); err != nil {
			return "", err
		}
		version = outcome.Version
	}
	last := time.Now()
	for people.MinAppliedOffset() < version {
		if time.Since(last) > joinLimit {
			return "", fmt.Errorf("version %d is not in force at all agents", version)
		}
		time.Sleep(settleTime / 100)
	}
	return fmt.Sprintf("in force at all %d agents %.2f s after the last change", c.Agents, time.Since(last).Seconds()), nil
}
