package crowd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"knapweedspur/platform/platformemulator"
)

const (
	// crowdSize is the number of clients that misbehave at the same time.
	crowdSize = 400
	// attackTime is how long they do so before the ordinary request is sent. They go on
	// until it is answered.
	attackTime = 1500 * time.Millisecond
	// reconnectPause is between two connections of one of these clients.
	reconnectPause = 100 * time.Millisecond
)

// listener is an address of a program, and a request that it answers in calm.
type listener struct {
	name    string
	program program
	address netip.AddrPort
	// The ordinary request and the status of its answer.
	method, host, path, body string
	status                   int
	// uploadPath is where bodies are sent, and bodyBytes is how large they may be.
	uploadPath string
	bodyBytes  int
	// socketPath accepts WebSocket connections, empty where none does.
	socketPath string
}

const (
	job       = `{"spec":"s","steps":[{"count":1,"cpu":100,"memMb":100,"estDurationMs":100}]}`
	heartbeat = `{"service":"pool","zone":"a","state":"ready","capacity":{"cpu":2000,"memMb":1000,"gpu":0},"labels":["k"],"seq":1,"born":1}`
	queueHost = "queue.example"
	jobPath   = "/q/00000000000000ab"
	beatPath  = "/-/instances/vm/heartbeat"
	linkPath  = "/internal/agent"
	offerPath = "/internal/offer"
	metrics   = "/debug/vars"
)

var listeners = []listener{
	{"clients", siteEntry, clientAddress, http.MethodPost, queueHost, jobPath, job, 200, "/q/00000000000000cd", legalBody, ""},
	{"readiness", siteEntry, readinessAddress, http.MethodGet, "h", "/-/ready", "", 200, "/-/ready", legalBody, ""},
	{"peers", siteEntry, peerAddress, http.MethodGet, "h", "/v1/status", "", 200, offerPath, 1 << 20, linkPath},
	{"metrics", siteEntry, metricsAddress, http.MethodGet, "h", metrics, "", 200, metrics, legalBody, ""},
	{"control", siteAgent, controlAddress, http.MethodPost, "h", beatPath, heartbeat, 200, beatPath, 4 << 20, ""},
	{"metrics", siteAgent, metricsAddress, http.MethodGet, "h", metrics, "", 200, metrics, legalBody, ""},
	{"callers", ownEntry, clientAddress, http.MethodGet, "h", "/-/runs/none", "", 404, "/thumbnails/score", 8 << 20, ""},
	{"control", ownEntry, controlAddress, http.MethodGet, "h", "/v1/status", "", 200, "/v1/changes", 4 << 20, linkPath},
	{"metrics", ownAgent, metricsAddress, http.MethodGet, "h", "/-/health", "", 200, "/-/health", legalBody, ""},
}

// declarations make the own entry read bodies that are sent to the service.
const declarations = `{"id":"1","who":"test","edits":[
{"base":0,"name":"judging","body":"kind: team\nname: judging\nquota:\n  processors: 120\n  memory: 400GiB\n"},
{"base":0,"name":"thumbnails","body":"kind: service\nname: thumbnails\nteam: judging\nneeds:\n  processors: 4\n  memory: 8GiB\n  slots: 8\n  connections: 64\nreplicas: 2\ndeadline: 800ms\nroutes:\n  - path: /score\n    methods: [POST]\n    idempotent: false\n"}]}`

// crowd is the clients that misbehave.
type crowd struct {
	group sync.WaitGroup
	stop  chan struct{}
	// mu guards conns.
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func startCrowd(t *testing.T, in *input, l *listener) *crowd {
	c := &crowd{stop: make(chan struct{}), conns: map[net.Conn]bool{}}
	for range crowdSize {
		c.group.Go(func() { c.misbehave(in, l) })
	}
	t.Cleanup(c.end)
	return c
}

// misbehave sends the input on one connection after the other.
func (c *crowd) misbehave(in *input, l *listener) {
	for {
		if conn, err := net.DialTimeout("tcp", l.address.String(), time.Second); err == nil && c.add(conn) {
			if in.send(conn, l) == nil {
				c.wait(in, conn)
			}
			c.remove(conn)
		}
		select {
		case <-c.stop:
			return
		case <-time.After(reconnectPause):
		}
	}
}

// wait returns when the other side has closed the connection.
func (c *crowd) wait(in *input, conn net.Conn) {
	if in.name == "answers-unread" {
		<-c.stop
		return
	}
	_, _ = io.Copy(io.Discard, conn) // any end will do
}

func (c *crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.stop:
		_ = conn.Close()
		return false
	default:
	}
	c.conns[conn] = true
	return true
}

func (c *crowd) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	_ = conn.Close()
}

func (c *crowd) end() {
	c.mu.Lock()
	close(c.stop)
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.group.Wait()
}

// request sends a request on a connection of its own.
func request(address netip.AddrPort, method, host, path, body string) (int, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	r, err := http.NewRequest(method, "http://"+address.String()+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Host = host
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// awaitAnswer repeats the ordinary request, as its clients do, until it is answered.
func awaitAnswer(t *testing.T, s *process, l *listener) {
	t.Helper()
	var last string
	for began := time.Now(); time.Since(began) < answerLimit && s.alive(); time.Sleep(retryPause) {
		status, err := request(l.address, l.method, l.host, l.path, l.body)
		if err == nil && status == l.status {
			return
		}
		last = fmt.Sprintf("status %d, error %v", status, err)
	}
	t.Errorf("the ordinary request at %s is not answered: %s", l.name, last)
}

// declare publishes the declarations of the own entry.
func declare(t *testing.T) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(retryPause) {
		status, err := request(controlAddress, http.MethodPost, "h", "/v1/changes", declarations)
		if err == nil && status == http.StatusOK {
			return
		}
		if time.Since(began) > answerLimit {
			t.Fatalf("declarations not published: status %d, error %v", status, err)
		}
	}
}

// Guards against clients that end a process, or shut others out, by what they make it hold:
// heads of many lines or without end, bodies and answers that are never completed.
func TestProcessOutlastsCrowd(t *testing.T) {
	for _, l := range listeners {
		for _, in := range inputs {
			if in.applies != nil && !in.applies(&l) {
				continue
			}
			t.Run(l.program.name+"/"+l.name+"/"+in.name, func(t *testing.T) {
				s := start(t, l.program)
				awaitAnswer(t, s, &l)
				if l.program.name == ownEntry.name {
					declare(t)
				}
				startCrowd(t, &in, &l)
				time.Sleep(attackTime)
				for _, other := range listeners {
					if other.program.name == l.program.name {
						awaitAnswer(t, s, &other)
					}
				}
				s.check()
			})
		}
	}
}

// The largest requests that the platform allows are served in calm.
func TestLargestLegalRequestsAreServed(t *testing.T) {
	pad := func(body string) string { return strings.Repeat(" ", legalBody-len(body)) + body }
	largest := map[string]string{siteEntry.name: pad(job), siteAgent.name: pad(heartbeat)}
	for _, l := range listeners {
		t.Run(l.program.name+"/"+l.name, func(t *testing.T) {
			s := start(t, l.program)
			awaitAnswer(t, s, &l)
			conn, err := net.Dial("tcp", l.address.String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := sendLines(conn, &l, legalHead-256, shortLine, "\r\n"); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if response.StatusCode == http.StatusRequestHeaderFieldsTooLarge || response.StatusCode == http.StatusServiceUnavailable {
				t.Errorf("a head of legal size gets %d", response.StatusCode)
			}
			if body := largest[l.program.name]; l.method == http.MethodPost {
				if status, err := request(l.address, l.method, l.host, l.path, body); err != nil || status != l.status {
					t.Errorf("a body of legal size gets %d, error %v", status, err)
				}
			}
			s.check()
		})
	}
}

// limited returns the limits in the metrics of a process.
func limited(t *testing.T) (bytes int64, connections int) {
	t.Helper()
	response, err := http.Get("http://" + metricsAddress.String() + metrics)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var body struct {
		Limited struct {
			Limit struct {
				Bytes       int64 `json:"bytes"`
				Connections int   `json:"connections"`
			} `json:"limit"`
		} `json:"limited"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	return body.Limited.Limit.Bytes, body.Limited.Limit.Connections
}

// Limits of the VM come from its settings, and changed ones are taken over at SIGHUP.
func TestLimitsFollowSettingsOfVM(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	for _, entry := range []bool{true, false} {
		p := siteEntry
		if !entry {
			p = siteAgent
		}
		t.Run(p.name, func(t *testing.T) {
			writeSiteSettings(t, path, entry, 100, 456)
			p.environment = func(*testing.T) []string { return []string{platformemulator.SettingsEnv(path)} }
			s := start(t, p)
			for _, l := range listeners {
				if l.program.name == p.name {
					awaitAnswer(t, s, &l)
				}
			}
			if bytes, connections := limited(t); bytes != 20_000_000 || connections != 224 {
				t.Errorf("%d bytes and %d connections", bytes, connections)
			}
			writeSiteSettings(t, path, entry, 200, 1000)
			if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			for began := time.Now(); ; time.Sleep(retryPause) {
				bytes, connections := limited(t)
				if bytes == 40_000_000 && connections == 700 {
					return
				}
				if time.Since(began) > answerLimit {
					t.Fatalf("%d bytes and %d connections after SIGHUP", bytes, connections)
				}
			}
		})
	}
}
