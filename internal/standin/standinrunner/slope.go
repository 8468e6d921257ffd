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

// slopeCommand measures the resource usage of a process at one load size, and
// prints a row of JSON for fitCommand.
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
	joinTimeout  = 30 * time.Second
	settleTime   = 2 * time.Second
	taskDuration = 500 * time.Millisecond
	tasksPerRun  = 10
)

// Run waits until all simulated agents hold a lease (none are started for idle),
// generates the load and prints the usage of the measured process. For starts, the
// size in the row is the rate that was reached.
func (c *slopeCommand) Run(env *environment) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.Kind == "agents" {
		c.Agents = int(c.Size)
	}
	fleet := &fleetsimulator.Fleet{
		Entries: c.Entries, AgentCount: c.Agents, NamePrefix: fmt.Sprintf("%s-%.0f", c.Kind, c.Size), HeartbeatInterval: c.Beat, ProbeInterval: c.Probe,
		VMSize: message.Size{Millicores: 1 << 20, Memory: 1 << 40}, TaskDuration: taskDuration,
	}
	if c.Kind != "idle" {
		go fleet.Run(ctx)
		for begin := time.Now(); fleet.LeasedAgents() < int64(c.Agents); time.Sleep(settleTime / 20) {
			if time.Since(begin) > joinTimeout {
				return fmt.Errorf("only %d of %d agents joined in time", fleet.LeasedAgents(), c.Agents)
			}
		}
	}
	time.Sleep(settleTime)
	before, err := fleetsimulator.ReadUsage(time.Now(), c.Pid, c.Metrics, "")
	if err != nil {
		return err
	}
	startedBefore := fleet.StartedAttempts()
	summary, err := c.generateLoad(fleet)
	if err != nil {
		return err
	}
	after, err := fleetsimulator.ReadUsage(time.Now(), c.Pid, c.Metrics, "")
	if err != nil {
		return err
	}
	row := fleetsimulator.UsageBetween(c.Size, before, after)
	if c.Kind == "starts" {
		row.Size = float64(fleet.StartedAttempts()-startedBefore) / after.At.Sub(before.At).Seconds()
	}
	fmt.Fprintln(env.stderr, summary)
	return json.NewEncoder(env.stdout).Encode(map[string]any{"kind": c.Kind, "row": row})
}

// generateLoad generates the load of the configured kind for the time span, and
// returns a summary.
func (c *slopeCommand) generateLoad(fleet *fleetsimulator.Fleet) (string, error) {
	switch c.Kind {
	case "starts":
		return c.submitRuns(fleet)
	case "changes":
		return c.publishChanges(fleet)
	}
	time.Sleep(c.Span)
	return "", nil
}

func postJSON(address netip.AddrPort, path string, body, into any) error {
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

// submitRuns submits runs so that tasks start at the configured rate.
func (c *slopeCommand) submitRuns(fleet *fleetsimulator.Fleet) (string, error) {
	change := &message.Change{ID: fmt.Sprint("slope-", os.Getpid()), Who: "slope", Edits: []message.Edit{{
		Name: "burst", Body: "kind: job\nname: burst\nteam: slope\ntasks: 10\nneeds:\n  processors: 0.01\n  memory: 1MiB\n",
	}}}
	// The error is ignored: a conflict means that an earlier size has already
	// published the job.
	_ = postJSON(c.Entries[0], "/v1/changes", change, nil)
	start := time.Now()
	interval := time.Duration(float64(time.Second) * tasksPerRun / c.Size)
	failed := make(chan error, 1)
	n := 0
	for ; time.Since(start) < c.Span; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * interval)))
		submission := admin.Submission{Job: "burst", Run: fmt.Sprintf("burst-%d-%d", os.Getpid(), n), Who: "slope"}
		entry := c.Entries[n%len(c.Entries)]
		go func() {
			if err := postJSON(entry, "/v1/runs", submission, nil); err != nil {
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
	return fmt.Sprintf("asked for %d starts in %s, saw %d", n*tasksPerRun, c.Span, fleet.StartedAttempts()), nil
}

// publishChanges publishes configuration changes at the configured rate, and
// measures how long the last one takes to reach all agents.
func (c *slopeCommand) publishChanges(fleet *fleetsimulator.Fleet) (string, error) {
	start := time.Now()
	interval := time.Duration(float64(time.Second) / c.Size)
	version := uint64(0)
	for n := 0; time.Since(start) < c.Span; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * interval)))
		name := fmt.Sprintf("job-%d-%d", os.Getpid(), n)
		change := &message.Change{ID: name, Who: "slope", Edits: []message.Edit{{Name: name, Body: "kind: job\nname: " + name + "\nteam: slope\n"}}}
		var outcome admin.ChangeResult
		if err := postJSON(c.Entries[0], "/v1/changes", change, &outcome); err != nil {
			return "", err
		}
		version = outcome.Version
	}
	published := time.Now()
	for fleet.MinAppliedOffset() < version {
		if time.Since(published) > joinTimeout {
			return "", fmt.Errorf("version %d did not come into force at all agents in time", version)
		}
		time.Sleep(settleTime / 100)
	}
	return fmt.Sprintf("in force at all %d agents %.2f s after the last change", c.Agents, time.Since(published).Seconds()), nil
}
