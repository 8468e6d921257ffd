package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"knapweedspur/internal/log/journal"
	"knapweedspur/platform"
	"knapweedspur/platform/platformemulator"
)

const (
	// Ports of each machine; a machine is a loopback address.
	frontPort, readyPort, controlPort, appPort, firstPort, lastPort = 8161, 8167, 8166, 8160, 7720, 7735
	storePort, advicePort                                           = 8169, 8170
	// heartbeatTime is heartbeatMs.
	heartbeatTime = 500 * time.Millisecond
	// clientTimeout is the time limit of a consumer.
	clientTimeout = 3 * time.Second
	readyTimeout  = 10 * time.Second
	// The queue of advisedPrefix has advice.
	host, prefix, advisedPrefix = "queue.example", "/q/", "/advised/"
)

// cluster is a small deployment on loopback addresses.
type cluster struct {
	binary, folder string
	slot           int
	record         *recorder
	store          *platformemulator.LogServer
	advisor        *advisor
	servers        []*http.Server
	client         *http.Client

	mu        sync.Mutex
	processes []*process
	workers   []*worker
}

// process is one program of the project.
type process struct {
	name, role, ip, settings string
	cmd                      *exec.Cmd
	ended                    chan struct{}
}

// config is the operator's first config.
var config = fmt.Sprintf(`{"version":1,"routes":[
{"name":"q","host":%q,"pathPrefix":%q,"service":"pool","priority":0,"maxAttempts":3,"stretch":2,"latencyTargetMs":1000},
{"name":"a","host":%q,"pathPrefix":%q,"service":"pool","priority":0,"maxAttempts":3,"stretch":2,"latencyTargetMs":1000,"advice":{"decideMs":%d,"eachMs":%d,"validMs":%d}}],
"services":[{"name":"pool","rejectsOverload":false}],"limits":{"maxBodyBytes":262144}}`,
	host, prefix, host, advisedPrefix, decideTime.Milliseconds(), eachTime.Milliseconds(), ticketTime.Milliseconds())

func newCluster(binary string, slot int, record *recorder) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		binary: binary, folder: folder, slot: slot, record: record, store: platformemulator.NewLogServer(), advisor: &advisor{record: record},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: clientTimeout},
	}
	if err := c.servePlatform(); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

// servePlatform starts the store, with the operator's first config, and the advice service.
func (c *cluster) servePlatform() error {
	if _, err := c.store.Stream(platform.OperatorStream).Append(context.Background(), []journal.Record{{Key: "config", Value: []byte(config)}}, nil); err != nil {
		return err
	}
	if err := c.serve(c.platformAddress(storePort), c.store.Handler()); err != nil {
		return err
	}
	return c.serve(c.platformAddress(advicePort), c.advisor)
}

// address returns a loopback address: kind 0 for the platform, 1 for entries, 2 for agents
// with their workers.
func (c *cluster) address(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.slot, kind, number+1)
}

func (c *cluster) platformAddress(port int) string {
	return fmt.Sprintf("%s:%d", c.address(0, 0), port)
}

// serve starts a server of the platform.
func (c *cluster) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with the case
	return nil
}

// settingsFile returns the settings of a process, like those of a small deployment.
func (c *cluster) settingsFile(name, role, ip, zone string) ([]byte, error) {
	s := map[string]any{
		"node": name, "role": role, "ip": ip, "zone": zone, "region": "r", "zones": map[string]string{"z0": "r", "z1": "r", "z2": "r"},
		"portRange": []int{firstPort, lastPort}, "seeds": []string{}, "bootstrap": true, "heartbeatMs": heartbeatTime.Milliseconds(),
		"bounds": map[string]any{
			"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000, "recoveryS": 12, "holdMaxMs": leaseLimit.Milliseconds(), "stopMs": 200, "gangWaitMs": 3000,
			"cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "farFactor": 1.5, "checkpointS": 0.5, "restoreMs": 100, "leaseMs": 3000, "paceMs": 100, "harmMs": 4000,
		},
		"advice":   c.platformAddress(advicePort),
		"platform": map[string]any{"addr": c.platformAddress(storePort), "form": "log", "writesPerS": 800, "readsPerS": 2000, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 20, "ttlMinMs": 1000},
	}
	if role == "entry" {
		s["machineClass"], s["serves"] = "front", []string{"front"}
		s["listen"] = map[string]string{"front": fmt.Sprintf("%s:%d", ip, frontPort), "ready": fmt.Sprintf("%s:%d", ip, readyPort)}
		s["limits"] = map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100}
	} else {
		s["machineClass"], s["serves"] = "side", []string{"side"}
		s["listen"], s["app"] = map[string]string{"control": fmt.Sprintf("%s:%d", ip, controlPort)}, fmt.Sprintf("%s:%d", ip, appPort)
		s["limits"] = map[string]any{"cpuShare": 0.24, "cores": 1, "memoryMb": 152, "maxFds": 4096}
	}
	return json.Marshal(s)
}

// startProcess starts a program of the project on a machine.
func (c *cluster) startProcess(role string, number int) (*process, error) {
	kind, zone := 1, fmt.Sprintf("z%d", number%3)
	if role == "agent" {
		kind = 2
	}
	p := &process{name: fmt.Sprintf("%s-%d", role, number), role: role, ip: c.address(kind, number), ended: make(chan struct{})}
	data, err := c.settingsFile(p.name, role, p.ip, zone)
	if err != nil {
		return nil, err
	}
	p.settings = filepath.Join(c.folder, p.name+".json")
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(c.folder, p.name+".log"))
	if err != nil {
		return nil, err
	}
	p.cmd = exec.Command(c.binary, "site", role)
	p.cmd.Env = append(os.Environ(), platform.SettingsEnvVar+"="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = output, output
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	c.record.line("process %s starts at %s", p.name, p.ip)
	go func() {
		_ = p.cmd.Wait() // its log tells how it ended
		_ = output.Close()
		close(p.ended)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, p)
	return p, nil
}

// addWorker starts a worker and its agent.
func (c *cluster) addWorker(number int, label string, duration func(task string) time.Duration) error {
	ip := c.address(2, number)
	w := &worker{
		name: fmt.Sprintf("w%d", number), zone: fmt.Sprintf("z%d", number%3), control: fmt.Sprintf("%s:%d", ip, controlPort), address: fmt.Sprintf("%s:%d", ip, appPort),
		labels: []string{label, "r0"}, millicores: workerMillicores, memory: workerMemory, beat: heartbeatTime, duration: duration, record: c.record, advisor: c.advisor,
	}
	if _, err := c.startProcess("agent", number); err != nil {
		return err
	}
	c.workers = append(c.workers, w)
	return w.start()
}

var errNotReady = errors.New("an entry did not become ready")

// waitReady waits until an entry is ready.
func (c *cluster) waitReady(p *process) error {
	for since := time.Now(); time.Since(since) < readyTimeout; time.Sleep(20 * time.Millisecond) {
		resp, err := c.client.Get(fmt.Sprintf("http://%s:%d/-/ready", p.ip, readyPort))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}

// stop ends all processes and workers that the case has started.
func (c *cluster) stop() {
	c.mu.Lock()
	processes := c.processes
	c.mu.Unlock()
	for _, p := range processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // it may have ended
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		<-p.ended
	}
	for _, w := range c.workers {
		w.crash()
	}
	for _, server := range c.servers {
		_ = server.Close() // nobody uses it any more
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder) // only logs and settings
	} else {
		fmt.Println("logs in", c.folder)
	}
}

// send sends a request of a consumer to an entry. The status is 0 without a whole answer.
func (c *cluster) send(p *process, method, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", p.ip, frontPort, path), newBody(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	status, state := 0, ""
	if resp, err := c.client.Do(req); err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			var answer struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(data, &answer) // an answer without a state has none
			status, state = resp.StatusCode, answer.State
		}
	}
	c.record.line("consumer: %s %s at %s: %d %s", method, path, p.name, status, state)
	return status, state
}
