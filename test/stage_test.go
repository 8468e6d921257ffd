package test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/agent/agentbuilder"
	"knapweedspur/internal/config/parser"
	"knapweedspur/internal/entry/entrybuilder"
	"knapweedspur/internal/link/connector"
	"knapweedspur/internal/standin/loadgenerator"
	"knapweedspur/internal/standin/logemulator"
	"knapweedspur/internal/standin/upstreamemulator"
	"knapweedspur/internal/standin/workeremulator"
	"knapweedspur/internal/wire/admin"
	"knapweedspur/internal/wire/message"
)

const (
	holdTime          = 10 * time.Second
	suspectTime       = 3 * time.Second
	heartbeatInterval = time.Second
	// The guarantees under test: a change is in force everywhere within
	// propagationLimit, and a VM that drains or stops gets no new work after
	// newWorkLimit.
	propagationLimit = 14 * time.Second
	newWorkLimit     = 3 * time.Second
)

// cluster is a whole deployment in a synctest bubble, where time is virtual.
// Declared sizes are kept by the names of declarations and runs; postOutcomes
// has the outcome of each POST request by its id.
type cluster struct {
	t            *testing.T
	net          *network
	log          *logemulator.Log
	entries      map[int]*entryProcess
	vms          map[int]*vmProcess
	client       *http.Client
	sizes        map[string]message.Size
	postOutcomes map[string]string
	mu           sync.Mutex
	loads        sync.WaitGroup
}

type entryProcess struct {
	*entrybuilder.Entry
	host *host
	gate *gate
}

type vmProcess struct {
	name     string
	worker   *workeremulator.Worker
	upstream *upstreamemulator.Upstream
	agent    *agentbuilder.Agent
	host     *host
	gate     *gate
	service  string
}

// runScenario starts a cluster in a synctest bubble, runs a scenario, checks the
// invariants at its end, and stops all processes.
func runScenario(t *testing.T, entryCount int, services []string, scenario func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, net: newNetwork(), log: &logemulator.Log{AppendRate: 300}, entries: map[int]*entryProcess{}, vms: map[int]*vmProcess{},
			sizes: map[string]message.Size{}, postOutcomes: map[string]string{},
		}
		transport := connector.NewTransport(c.net.host("callers"))
		c.client = &http.Client{Transport: transport}
		defer func() {
			c.close()
			transport.CloseIdleConnections()
			time.Sleep(time.Minute)
		}()
		for i := range entryCount {
			c.startEntry(i)
		}
		for i, service := range services {
			c.startVM(i, service)
		}
		scenario(c)
		c.loads.Wait()
		c.checkInvariants()
	})
}

// logger discards log lines unless STAGE_LOG is set.
func logger(name string) hclog.Logger {
	if os.Getenv("STAGE_LOG") == "" {
		return hclog.NewNullLogger()
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.Debug, TimeFormat: "04:05.000"})
}

// address returns the address of a process, by its subnet and index.
func address(subnet, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(subnet), 0, byte(i + 1)}), 80)
}

const (
	callersNet = iota + 1
	controlNet
	upstreamNet
)

var domains = []string{"alpha", "beta", "gamma"}

// controlAddresses returns the control addresses of three entries, whether they
// run or not.
func (c *cluster) controlAddresses() []netip.AddrPort {
	return []netip.AddrPort{address(controlNet, 0), address(controlNet, 1), address(controlNet, 2)}
}

// call sends a request to the control address of entry i, or of any running
// entry if i is -1. It returns the status, 0 if there was no response, and the
// verdict with the body.
func (c *cluster) call(i int, method, path string, body, result any) (int, string) {
	c.t.Helper()
	reader := io.Reader(nil)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			c.t.Fatal(err)
		}
		reader = strings.NewReader(string(data))
	}
	if i < 0 {
		i = c.runningEntries()[0]
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address(controlNet, i).String()+path, reader)
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	if result != nil && resp.StatusCode < 300 {
		if err := json.Unmarshal(data, result); err != nil {
			c.t.Fatalf("%s %s: %v in %q", method, path, err, data)
		}
	}
	return resp.StatusCode, resp.Header.Get("Knapweedspur-Verdict") + " " + strings.TrimSpace(string(data))
}

// declarations are published at the start of a scenario.
var declarations = map[string]string{
	"judging":    "kind: team\nname: judging\nquota:\n  processors: 200\n  memory: 800GiB\n",
	"thumbnails": "kind: service\nname: thumbnails\nteam: judging\ndeadline: 2s\n",
	"routes":     "kind: service\nname: routes\nteam: judging\ndeadline: 2s\n",
	"proofs":     "kind: job\nname: proofs\nteam: judging\ntasks: 12\nneeds:\n  processors: 4\n  memory: 6GiB\ntreat:\n  evict: true\n",
	"season":     "kind: job\nname: season\nteam: judging\ntasks: 8\nneeds:\n  processors: 6\n  memory: 8GiB\n",
	"quick":      "kind: job\nname: quick\nteam: judging\ntasks: 20\n",
	"rescue":     "kind: job\nname: rescue\nteam: judging\ntasks: 4\nurgency: urgent\nneeds:\n  processors: 8\n  memory: 8GiB\n",
	"giant":      "kind: job\nname: giant\nteam: judging\nneeds:\n  processors: 999\n",
}

// publish publishes new declarations and waits until all agents are ready at
// every entry.
func (c *cluster) publish(bodies map[string]string) {
	c.t.Helper()
	change := &message.Change{ID: fmt.Sprint("change-", time.Now().UnixNano()), Who: "test"}
	for name, body := range bodies {
		spec, problems := parser.Parse(name, []byte(body))
		if len(problems) > 0 {
			c.t.Fatal(problems)
		}
		c.sizes[name] = spec.Size
		change.Edits = append(change.Edits, message.Edit{Name: name, Body: body})
	}
	c.eventually(propagationLimit, "an entry accepts the change", func() bool {
		status, _ := c.call(0, http.MethodPost, "/v1/changes", change, nil)
		return status == http.StatusOK
	})
	c.eventually(propagationLimit, "all agents are ready", func() bool { return c.readyAgents() == len(c.vms) })
}

// readyAgents returns how many agents are ready, as the entry that counts the
// fewest sees it.
func (c *cluster) readyAgents() int {
	fewest := len(c.vms)
	for _, i := range c.runningEntries() {
		var status admin.Status
		if code, _ := c.call(i, http.MethodGet, "/v1/status", nil, &status); code != http.StatusOK {
			return 0
		}
		ready := 0
		for _, a := range status.Agents {
			if a.Lease > 0 && (a.Service == "" || a.AcceptsRequests) {
				ready++
			}
		}
		fewest = min(fewest, ready)
	}
	return fewest
}

// eventually polls a condition until it holds, fails the test if it does not
// hold within the bound, and returns the time it took.
func (c *cluster) eventually(bound time.Duration, condition string, done func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !done() {
		if time.Since(start) > bound {
			c.t.Fatalf("%s: not within %v", condition, bound)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// submit submits a run of a job at any entry.
func (c *cluster) submit(job, run string) {
	c.t.Helper()
	c.submitTo(-1, job, run)
}

// submitTo submits a run of a job at one entry, and retries until it is accepted.
func (c *cluster) submitTo(i int, job, run string) {
	c.t.Helper()
	c.eventually(time.Minute, "an entry accepts the run", func() bool {
		status, text := c.call(i, http.MethodPost, "/v1/runs", admin.Submission{Job: job, Run: run, Who: "test"}, nil)
		return status == http.StatusCreated || strings.Contains(text, "exists")
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sizes[run] = c.sizes[job]
}

// run returns the state of a run as any running entry reports it.
func (c *cluster) run(name string) admin.Run {
	var run admin.Run
	c.call(-1, http.MethodGet, "/v1/runs/"+name, nil, &run)
	return run
}

// waitEnded waits until a run has finished tasks and none pending or open.
func (c *cluster) waitEnded(bound time.Duration, name string) {
	c.t.Helper()
	c.eventually(bound, name+" ends", func() bool {
		run := c.run(name)
		return run.Done > 0 && run.Pending+run.Open == 0
	})
}

// checkAttempts checks the total number of attempts of a run.
func (c *cluster) checkAttempts(name string, want int, reason string) {
	c.t.Helper()
	if diff := cmp.Diff(want, c.run(name).Attempts); diff != "" {
		c.t.Errorf("attempts of %s; %s (-want +got):\n%s", name, reason, diff)
	}
}

// startLoad sends requests in the background and records the outcomes of the
// POST requests, which checkInvariants checks at the end.
func (c *cluster) startLoad(name, path string, rate float64, duration time.Duration, postShare float64) *loadgenerator.Result {
	l := &loadgenerator.Generator{Path: path, Rate: rate, Duration: duration, PostShare: postShare, Seed: 7, IDPrefix: name, Client: c.client}
	for _, i := range c.runningEntries() {
		l.Targets = append(l.Targets, address(callersNet, i))
	}
	result := &loadgenerator.Result{}
	c.loads.Go(func() {
		*result = *l.Run(context.Background())
		c.mu.Lock()
		defer c.mu.Unlock()
		for id, outcome := range result.PostOutcomes {
			c.postOutcomes[id] = outcome
		}
		if result.Mismatched > 0 {
			c.t.Errorf("%s: %d responses did not match their requests", name, result.Mismatched)
		}
	})
	return result
}

// publishTo publishes a change at an entry over the loopback interface.
func publishTo(t testing.TB, control netip.AddrPort, c *message.Change) {
	t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+control.String()+"/v1/changes", "application/json", strings.NewReader(string(data)))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatal(resp.Status)
	}
}
