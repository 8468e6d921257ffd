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
	hold    = 10 * time.Second
	suspect = 3 * time.Second
	beat    = time.Second
	// inForce and newWork are the bounds of the promises.
	inForce = 14 * time.Second
	newWork = 3 * time.Second
)

// stage is a whole deployment inside a bubble of virtual time.
type stage struct {
	t       *testing.T
	net     *network
	log     *logemulator.Log
	entries map[int]*entryProcess
	vms     map[int]*vmProcess
	client  *http.Client
	sizes   map[string]message.Size
	posted  map[string]string
	mu      sync.Mutex
	loads   sync.WaitGroup
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

// play runs a scenario in a bubble, checks the promises at its end, and stops
// everything.
func play(t *testing.T, entryCount int, services []string, scenario func(s *stage)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &stage{
			t: t, net: newNetwork(), log: &logemulator.Log{AppendRate: 300}, entries: map[int]*entryProcess{}, vms: map[int]*vmProcess{},
			sizes: map[string]message.Size{}, posted: map[string]string{},
		}
		transport := connector.NewTransport(s.net.host("callers"))
		s.client = &http.Client{Transport: transport}
		defer func() {
			s.close()
			transport.CloseIdleConnections()
			time.Sleep(time.Minute)
		}()
		for i := range entryCount {
			s.startEntry(i)
		}
		for i, service := range services {
			s.startVM(i, service)
		}
		scenario(s)
		s.loads.Wait()
		s.verify()
	})
}

func logger(name string) hclog.Logger {
	if os.Getenv("STAGE_LOG") == "" {
		return hclog.NewNullLogger()
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.Debug, TimeFormat: "04:05.000"})
}

func address(kind, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(kind), 0, byte(i + 1)}), 80)
}

const (
	callersNet = iota + 1
	controlNet
	upstreamNet
)

var domains = []string{"alpha", "beta", "gamma"}

func (s *stage) controls() []netip.AddrPort {
	return []netip.AddrPort{address(controlNet, 0), address(controlNet, 1), address(controlNet, 2)}
}

// call calls an entry's control address, any that is there for -1.
func (s *stage) call(i int, method, path string, body, into any) (int, string) {
	s.t.Helper()
	reader := io.Reader(nil)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			s.t.Fatal(err)
		}
		reader = strings.NewReader(string(data))
	}
	if i < 0 {
		i = s.alive()[0]
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address(controlNet, i).String()+path, reader)
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	if into != nil && resp.StatusCode < 300 {
		if err := json.Unmarshal(data, into); err != nil {
			s.t.Fatalf("%s %s: %v in %q", method, path, err, data)
		}
	}
	return resp.StatusCode, resp.Header.Get("Knapweedspur-Verdict") + " " + strings.TrimSpace(string(data))
}

// declarations are what each scenario begins with.
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

// publish publishes declarations as they are and waits until they are in
// force everywhere.
func (s *stage) publish(bodies map[string]string) {
	s.t.Helper()
	change := &message.Change{ID: fmt.Sprint("change-", time.Now().UnixNano()), Who: "test"}
	for name, body := range bodies {
		spec, problems := parser.Parse(name, []byte(body))
		if len(problems) > 0 {
			s.t.Fatal(problems)
		}
		s.sizes[name] = spec.Size
		change.Edits = append(change.Edits, message.Edit{Name: name, Body: body})
	}
	s.eventually(inForce, "an entry takes the change", func() bool {
		status, _ := s.call(0, http.MethodPost, "/v1/changes", change, nil)
		return status == http.StatusOK
	})
	s.eventually(inForce, "all agents are ready", func() bool { return s.ready() == len(s.vms) })
}

// ready returns how many agents are ready at the worst entry.
func (s *stage) ready() int {
	worst := len(s.vms)
	for _, i := range s.alive() {
		var status admin.Status
		if code, _ := s.call(i, http.MethodGet, "/v1/status", nil, &status); code != http.StatusOK {
			return 0
		}
		n := 0
		for _, a := range status.Agents {
			if a.Lease > 0 && (a.Service == "" || a.AcceptsRequests) {
				n++
			}
		}
		worst = min(worst, n)
	}
	return worst
}

// eventually waits for a condition for as long as the bound.
func (s *stage) eventually(bound time.Duration, what string, done func() bool) time.Duration {
	s.t.Helper()
	begin := time.Now()
	for !done() {
		if time.Since(begin) > bound {
			s.t.Fatalf("%s: not within %v", what, bound)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(begin)
}

// submit submits a run of a job at any entry.
func (s *stage) submit(job, run string) {
	s.t.Helper()
	s.submitTo(-1, job, run)
}

// submitTo submits a run of a job at one entry, again until it is taken.
func (s *stage) submitTo(i int, job, run string) {
	s.t.Helper()
	s.eventually(time.Minute, "an entry takes the run", func() bool {
		status, text := s.call(i, http.MethodPost, "/v1/runs", admin.Submission{Job: job, Run: run, Who: "test"}, nil)
		return status == http.StatusCreated || strings.Contains(text, "exists")
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes[run] = s.sizes[job]
}

// run returns the state of a run as some entry sees it.
func (s *stage) run(name string) admin.Run {
	var run admin.Run
	s.call(-1, http.MethodGet, "/v1/runs/"+name, nil, &run)
	return run
}

// ended waits until all tasks of a run are done.
func (s *stage) ended(bound time.Duration, name string) {
	s.t.Helper()
	s.eventually(bound, name+" ends", func() bool {
		run := s.run(name)
		return run.Done > 0 && run.Pending+run.Open == 0
	})
}

// tookAttempts checks how many attempts a run took in all.
func (s *stage) tookAttempts(name string, want int, rule string) {
	s.t.Helper()
	if diff := cmp.Diff(want, s.run(name).Attempts); diff != "" {
		s.t.Errorf("attempts of %s; %s (-want +got):\n%s", name, rule, diff)
	}
}

// load sends requests in the background and adds what became of the POSTs to
// what is checked at the end.
func (s *stage) load(name, path string, rate float64, span time.Duration, once float64) *loadgenerator.Result {
	l := &loadgenerator.Generator{Path: path, Rate: rate, Duration: span, PostShare: once, Seed: 7, IDPrefix: name, Client: s.client}
	for _, i := range s.alive() {
		l.Targets = append(l.Targets, address(callersNet, i))
	}
	result := &loadgenerator.Result{}
	s.loads.Go(func() {
		*result = *l.Run(context.Background())
		s.mu.Lock()
		defer s.mu.Unlock()
		for id, fate := range result.PostOutcomes {
			s.posted[id] = fate
		}
		if result.Mismatched > 0 {
			s.t.Errorf("%s: %d answers did not match their requests", name, result.Mismatched)
		}
	})
	return result
}

// publishTo publishes a change at an entry on the machine's own network.
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
