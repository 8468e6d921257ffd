package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "service-a"
	queueName   = "queue-a"
	queueHost   = "queue.example"
	queuePrefix = "/queue/"
	// deadline is how long clients wait for a response.
	deadline = 3 * time.Second
	// program is the program under test, as the build of the deploy file leaves it.
	program = "target/knapweedspur"
	// ports of a process beyond the first one.
	portsEach = 16
)

// deployment is a small installation on loopback addresses.
type deployment struct {
	history *history
	store   *store
	dir     string
	network int
	port    int
	address string
	workers []*worker
	mu      sync.Mutex
	entries []*process
	agents  []*process
	clients int
}

// process is a process of the system.
type process struct {
	name, role, ip string
	port           int
	command        *exec.Cmd
	exited         chan struct{}
}

func (p *process) front() string { return fmt.Sprintf("%s:%d", p.ip, p.port) }

// newDeployment starts the store on a loopback network that no other run uses.
func newDeployment(h *history) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{history: h, store: newStore(), dir: dir}
	for range 50 {
		d.network, d.port = 10+rand.IntN(200), 20000+rand.IntN(20000)
		d.address = d.at(0, 1, 0)
		listener, err := listen(d.address)
		if err != nil {
			continue
		}
		server := &http.Server{Handler: d.store.handler(), ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listener) }()
		return d, nil
	}
	return nil, fmt.Errorf("no free port for the store")
}

// at returns an address of a kind (0 store, 1 entry, 2 agent, 3 worker, 4 relay).
func (d *deployment) at(kind, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", d.network, kind, number, d.port+port)
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	for began := time.Now(); err != nil && time.Since(began) < 2*time.Second; listener, err = net.Listen("tcp", address) {
		time.Sleep(20 * time.Millisecond)
	}
	return listener, err
}

// configure writes the config, as the operator does.
func (d *deployment) configure(attempts int) {
	d.store.put("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": queueName, "host": queueHost, "pathPrefix": queuePrefix, "service": serviceName, "priority": 0, "maxAttempts": attempts, "stretch": 2, "latencyTargetMs": 1000,
		}},
		"services": []map[string]any{{"name": serviceName, "rejectsOverload": false}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
}

// addWorker starts a worker with its agent. relayed puts a relay between the two.
func (d *deployment) addWorker(cpu, memMb int, label string, relayed bool) (*worker, error) {
	n := len(d.workers) + 1
	w := &worker{
		machine: fmt.Sprintf("side-%d", n), zone: "zone-a", address: d.at(3, n, 0), control: d.at(2, n, 2),
		labels: []string{label, fmt.Sprintf("r1-%d", n)}, cpu: cpu, memMb: memMb, history: d.history,
	}
	app := w.address
	if relayed {
		app = d.at(4, n, 0)
		listener, err := listen(app)
		if err != nil {
			return nil, err
		}
		go w.relay(listener)
	}
	d.workers = append(d.workers, w)
	if err := w.startProcess(); err != nil {
		return nil, err
	}
	p, err := d.startProcess(w.machine, "agent", 2, n, map[string]any{"app": app})
	d.agents = append(d.agents, p)
	return w, err
}

// addEntry starts an entry at a new address.
func (d *deployment) addEntry(number int) error {
	p, err := d.startProcess(fmt.Sprintf("front-%d", number), "entry", 1, number, nil)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = append(d.entries, p)
	return nil
}

// startProcess starts a process of the system with the command of the deploy file.
func (d *deployment) startProcess(name, role string, kind, number int, more map[string]any) (*process, error) {
	p := &process{name: name, role: role, ip: fmt.Sprintf("127.%d.%d.%d", d.network, kind, number), port: d.port, exited: make(chan struct{})}
	class, served := "front", map[string]string{"front": p.front(), "ready": d.at(kind, number, 1)}
	if role == "agent" {
		class, served = "side", map[string]string{"control": d.at(kind, number, 2)}
	}
	settings := map[string]any{
		"node": name, "role": role, "machineClass": class, "serves": []string{class}, "ip": p.ip, "zone": "zone-a", "region": "region-a",
		"listen": served, "portRange": []int{d.port + 4, d.port + portsEach}, "seeds": []string{}, "bootstrap": true, "heartbeatMs": heartbeat.Milliseconds(),
		"limits": map[string]any{"cpuShare": map[string]float64{"front": 0.4, "side": 0.24}[class], "cores": 1}, "orders": "call", "entry": "vip", "discovery": "local",
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform"},
		"platform":  map[string]any{"addr": d.address, "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": 16, "appendMs": 3.0, "partMbPerS": 20.0, "readMbPerS": 80.0, "recordBytes": recordBytes, "callBytes": callBytes, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000},
		"bounds": map[string]any{
			"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "holdMaxMs": holdMax.Milliseconds(), "stopMs": 200, "gangWaitMs": 3000, "cancel_ms": 3000,
			"visible_ms": 3000, "finish_s": 14, "status_s": 120, "farFactor": 1.5, "checkpointS": 0.5, "harmMs": 4000, "paceMs": 100,
		},
	}
	for key, value := range more {
		settings[key] = value
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer output.Close()
	p.command = exec.Command(program, "site", role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KNAPWEEDSPUR_NODE_FILE=" + path}
	p.command.Stdout, p.command.Stderr = output, output
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	d.history.add("process %s starts at %s", name, p.ip)
	go func() {
		_ = p.command.Wait() // how it ended doesn't matter here
		close(p.exited)
	}()
	return p, nil
}

// kill ends a process, as a loss of its machine does.
func (d *deployment) kill(p *process) {
	d.history.add("process %s is killed", p.name)
	_ = p.command.Process.Kill() // it may have ended already
	<-p.exited
}

// stop ends all processes and removes the temporary folder.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range append(append([]*process(nil), d.entries...), d.agents...) {
		_ = p.command.Process.Kill() // it may have ended already
		<-p.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// entry returns one of the entries that run, another one each time.
func (d *deployment) entry() *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	for range d.entries {
		d.clients++
		p := d.entries[d.clients%len(d.entries)]
		select {
		case <-p.exited:
		default:
			return p
		}
	}
	return d.entries[0]
}

// send sends a request and returns the status and the body of the response.
func send(method, address, path, host string, body any, timeout time.Duration) (int, []byte, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// submit hands a submission in, at most five times, and reports whether it was accepted.
func (d *deployment) submit(s *submission) bool {
	d.history.register(s)
	for try := range 5 {
		p := d.entry()
		status, _, err := send(http.MethodPost, p.front(), queuePrefix+s.ID, queueHost, s, deadline)
		d.history.add("POST %s at %s: %d %v", s.ID, p.name, status, errorText(err))
		if status == http.StatusOK {
			return true
		}
		time.Sleep(time.Duration(try+1) * 300 * time.Millisecond)
	}
	return false
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// state asks for the state of a submission, empty if there is no answer.
func (d *deployment) state(id string) string {
	p := d.entry()
	status, body, err := send(http.MethodGet, p.front(), queuePrefix+id, queueHost, nil, deadline)
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(body, &answer) // without an answer the state stays empty
	d.history.add("GET %s at %s: %d %s%s", id, p.name, status, answer.State, errorText(err))
	return answer.State
}

// newID returns a random ID.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// ready waits until the entries are ready and a first submission has completed on each
// worker.
func (d *deployment) ready(limit time.Duration) error {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(100 * time.Millisecond) {
		count := 0
		for _, p := range d.entries {
			status, _, err := send(http.MethodGet, fmt.Sprintf("%s:%d", p.ip, p.port+1), "/-/ready", "", nil, time.Second)
			if err == nil && status == http.StatusOK {
				count++
			}
		}
		if count == len(d.entries) {
			return d.warmUp(limit)
		}
	}
	return fmt.Errorf("the entries are not ready after %s", limit)
}

// warmUp completes a submission with a task for each worker.
func (d *deployment) warmUp(limit time.Duration) error {
	s := &submission{ID: newID(), Spec: "first", Steps: []step{{Count: len(d.workers), CPU: 100, MemMb: 64, EstimateMs: 300, AntiAffinity: 1}}, Run: []time.Duration{300 * time.Millisecond}}
	if !d.submit(s) {
		return fmt.Errorf("the first submission was not accepted")
	}
	for began := time.Now(); time.Since(began) < limit; time.Sleep(200 * time.Millisecond) {
		if d.state(s.ID) == "completed" {
			return nil
		}
	}
	return fmt.Errorf("the first submission did not complete in %s", limit)
}
