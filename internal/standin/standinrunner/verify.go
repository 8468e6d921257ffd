package standinrunner

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"knapweedspur/internal/client/logclient"
	"knapweedspur/internal/standin/invariantchecker"
	"knapweedspur/internal/standin/workeremulator"
)

type verifyCommand struct {
	Log       netip.AddrPort   `help:"Log to ask how attempts closed." required:""`
	Stream    string           `help:"Task stream." default:"tasks.main"`
	Workers   []netip.AddrPort `help:"Workers to ask when which attempts ran."`
	Upstreams []netip.AddrPort `help:"Upstreams to ask how often requests ran."`
	Fates     []string         `help:"Files with the fates of POSTs."`
}

// Run checks the invariants and prints a line for each violation.
func (c *verifyCommand) Run(env *environment) error {
	var intervals []workeremulator.Interval
	for _, w := range c.Workers {
		var list []workeremulator.Interval
		if err := fetchJSON(w, "/history", &list); err != nil {
			return err
		}
		intervals = append(intervals, list...)
	}
	runs := map[string]int{}
	for _, u := range c.Upstreams {
		var counted map[string]int
		if err := fetchJSON(u, "/standin/runs", &counted); err != nil {
			return err
		}
		for id, n := range counted {
			runs[id] += n
		}
	}
	postOutcomes := map[string]string{}
	for _, file := range c.Fates {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(data, &postOutcomes); err != nil {
			return err
		}
	}
	log := &logclient.HTTP{Address: c.Log, Client: http.DefaultClient}
	page, err := log.Read(context.Background(), c.Stream, 0, 0)
	if err != nil {
		return err
	}
	violations := append(invariantchecker.CheckTasks(intervals, invariantchecker.ReadCloseOutcomes(page.Items)), invariantchecker.CheckRequests(runs, postOutcomes)...)
	for _, violation := range violations {
		fmt.Fprintln(env.stdout, violation)
	}
	fmt.Fprintf(env.stdout, "checked %d stretches of running tasks, %d requests that may run once: %d faults\n", len(intervals), len(postOutcomes), len(violations))
	if len(violations) > 0 {
		return fmt.Errorf("%d invariant violations", len(violations))
	}
	return nil
}

func fetchJSON(address netip.AddrPort, path string, into any) error {
	client := &http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + address.String() + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}
