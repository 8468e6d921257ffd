package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"knapweedspur/internal/log/journal"
	"knapweedspur/platform/platformemulator"
)

const (
	// firstPort is the first port that processes and workers use on their addresses.
	firstPort = 7720
	// heartbeatEvery is the time between two heartbeats of a worker.
	heartbeatEvery = 1100 * time.Millisecond
	// maxLease, stopTime and visibleTime are the bounds holdMaxMs, stopMs and visible_ms
	// of the installation.
	maxLease    = 6 * time.Second
	visibleTime = 3 * time.Second
	// pendingSlack is how much older a submission is that must be counted as pending.
	pendingSlack = 2 * time.Second
	// contactTime is the bound contactMs: how long after a disturbance all are calm.
	contactTime = 3 * time.Second
	// idleTime is how long a submission may have nothing running beside room.
	idleTime = 3 * time.Second
)

// fleet is the processes under test and what stands around them.
type fleet struct {
	program string
	folder  string
	slot    int
	start   time.Time
	log     *platformemulator.LogServer

	mu        sync.Mutex
	record    *os.File
	processes []*process
	servers   []*http.Server
	workers   []*worker
	// entries holds the newest process of each entry, gates what stands between it and the
	// log, if anything does.
	entries map[int]*process
	gates   []*gate
	// stopped is set once no process may start any more.
	stopped bool
}

// errStopped is returned for a process that is to start after the end of the case.
var errStopped = errors.New("the case has ended")

// process is one program under test.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// newFleet opens the record and starts the platform's log with a configuration.
func newFleet(program, record string) (*fleet, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{program: program, folder: folder, start: time.Now(), record: file, log: platformemulator.NewLogServer(), entries: map[int]*process{}}
	if f.slot, err = freeSlot(); err != nil {
		return nil, err
	}
	config := `{"version":1,"routes":[{"name":"r-1","host":"queue.example","pathPrefix":"/jobs/","service":"svc","priority":0,"maxAttempts":3,"stretch":2,"latencyTargetMs":1000}],` +
		`"services":[{"name":"svc","rejectsOverload":false}],"limits":{"maxBodyBytes":262144}}`
	if _, err := f.log.Stream("keyed.op").Append(context.Background(), []journal.Record{{Key: "config", Value: []byte(config)}}, nil); err != nil {
		return nil, err
	}
	return f, f.serve(f.address(0, 0), logHandler(f.log))
}

// freeSlot returns the second number of loopback addresses that no other case uses.
func freeSlot() (int, error) {
	for slot := 20 + os.Getpid()%200; slot < 250; slot++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", slot, firstPort))
		if err == nil {
			return slot, listener.Close()
		}
	}
	return 0, errors.New("no free loopback addresses")
}

// address returns the address and port of one kind (0 log, 1 entry, 2 agent, 3 worker, 4 gate).
func (f *fleet) address(kind, number int) string {
	return fmt.Sprintf("%s:%d", f.ip(kind, number), firstPort)
}

func (f *fleet) ip(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.slot, kind, number+1)
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves a handler until the case ends.
func (f *fleet) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	f.mu.Lock()
	f.servers = append(f.servers, server)
	f.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return nil
}

// startEntry starts the entry with a number, startAgent the agent beside a worker.
func (f *fleet) startEntry(number int) error {
	ip := f.ip(1, number)
	return f.startProcess(fmt.Sprintf("front-%d", number), "entry", ip, number, map[string]any{
		"listen": map[string]string{"front": fmt.Sprintf("%s:%d", ip, firstPort), "ready": fmt.Sprintf("%s:%d", ip, firstPort+1)},
	})
}

func (f *fleet) startAgent(number int) error {
	ip := f.ip(2, number)
	return f.startProcess(fmt.Sprintf("side-%d", number), "agent", ip, number, map[string]any{
		"listen": map[string]string{"control": fmt.Sprintf("%s:%d", ip, firstPort)}, "app": f.address(3, number),
	})
}

// zoneOf returns the zone of the machine with a number.
func zoneOf(number int) string { return []string{"voss", "bergen", "sogndal"}[number%3] }

// startProcess writes the settings of a process and starts it with the command of the
// deploy file.
func (f *fleet) startProcess(name, role, ip string, number int, settings map[string]any) error {
	settings["node"], settings["role"], settings["ip"], settings["zone"] = name, role, ip, zoneOf(number)
	settings["portRange"], settings["heartbeatMs"], settings["orders"] = []int{firstPort + 10, firstPort + 25}, heartbeatEvery.Milliseconds(), "call"
	log := f.address(0, 0)
	if role == "entry" && number < len(f.gates) {
		log = f.address(4, number)
	}
	settings["platform"] = map[string]any{"addr": log, "form": "log", "writesPerS": 800, "readsPerS": 2000, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300}
	settings["limits"] = map[string]any{"cpuShare": 0.4, "cores": 1}
	settings["bounds"] = map[string]any{
		"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "holdMaxMs": maxLease.Milliseconds(), "stopMs": 200, "cancel_ms": 3000, "visible_ms": 3000,
		"farFactor": 1.5, "checkpointS": 0.5, "restoreMs": 100, "paceMs": 100, "harmMs": 4000,
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(f.folder, name+".log"))
	if err != nil {
		return err
	}
	defer output.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return errStopped
	}
	p := &process{cmd: exec.Command(f.program, "site", role), ended: make(chan struct{})}
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KNAPWEEDSPUR_NODE_FILE=" + path}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = p.cmd.Wait() // how it ends is in its log
		close(p.ended)
	}()
	f.processes = append(f.processes, p)
	if role == "entry" {
		f.entries[number] = p
	}
	return nil
}

// kill kills a process and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have ended already
	<-p.ended
}

// startFleet starts entries, and agents with a worker each. Worker 0 has one label more.
func (f *fleet) startFleet(entries, agents int) error {
	for i := range entries {
		if err := f.startEntry(i); err != nil {
			return err
		}
	}
	for i := range agents {
		w := newWorker(f, i)
		if i == 0 {
			w.labels = append(w.labels, special)
		}
		f.workers = append(f.workers, w)
		if err := w.startLife(); err != nil {
			return err
		}
		if err := f.startAgent(i); err != nil {
			return err
		}
	}
	return nil
}

// stopAll ends all processes and servers, and removes the temporary folder unless it is
// to be kept.
func (f *fleet) stopAll() {
	f.mu.Lock()
	f.stopped = true
	processes := f.processes
	f.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, w := range f.workers {
		w.crash()
	}
	for _, s := range f.servers {
		_ = s.Close() // nothing is left to serve
	}
	_ = f.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder) // a temporary folder
	}
}
