// Package soaktester runs the real programs as separate processes on loopback,
// injects faults from outside by a seed, and checks the promises from what
// clients and workers see.
package soaktester

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/standin/faultinjector"
	"knapweedspur/platform"
	"knapweedspur/platform/platformemulator"
)

// Plan is what a soak plays.
type Config struct {
	// Binary is the program under test.
	Binary string
	// Seed fixes the faults.
	Seed uint64
	// Length is how long faults and new jobs come.
	FaultDuration time.Duration
	// Entries and Agents are the numbers of processes.
	Entries, Agents int
	// Slot keeps soaks that run at the same time on addresses of their own.
	Slot int
	// Logs is the directory for the logs and settings of the processes.
	LogDir string
}

const (
	// settle is how long the system has to finish after the last fault: two
	// leases, and the work.
	settle = 25 * time.Second
	// warmUp is how long it has before the first.
	warmUp = 2 * time.Second
	// port is used on each of the loopback addresses.
	port = 7700
	// workerMillis and workerMemory are the capacity of a worker.
	workerMillis, workerMemory = 2000, 1000
	// jobEvery is the mean time between jobs: with tasks of 1.4 s and 0.35 of a
	// core, 2.5 to a job, three fifths of what four workers can do.
	jobEvery = 250 * time.Millisecond
	// reuse is how long the addresses of a soak may stay in use after it.
	reuse = 3 * time.Second
	// restartAfter is when a process that ended is started again.
	restartAfter = 300 * time.Millisecond
)

// soak is one run.
type soak struct {
	plan    Config
	random  *rand.Rand
	checker *checker
	store   *platformemulator.Keeper
	entries []*process
	agents  []*process
	workers []*platformemulator.Worker
	done    chan struct{}
	group   sync.WaitGroup
	// faults counts the faults that were injected.
	faults int
}

// process is one program under test.
type process struct {
	name    string
	role    string
	ip      string
	clients netip.AddrPort
	env     string
	log     *os.File
	proxy   *faultinjector.Proxy
	mu      sync.Mutex
	cmd     *exec.Cmd
	ending  bool
}

// Result is what a soak saw.
type Result struct {
	// Jobs were accepted, Starts were made, Faults were injected.
	Jobs, Starts, Faults int
	// Broken are the promises that were broken.
	Violations []string
}

// Run plays a soak.
func Run(plan Config) (*Result, error) {
	s := &soak{
		plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 1)), checker: newChecker(time.Now()),
		store: platformemulator.NewKeeper(), done: make(chan struct{}),
	}
	if err := s.build(); err != nil {
		return nil, err
	}
	defer s.end()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.Sleep(warmUp)
	s.group.Go(func() { s.submit(ctx) })
	s.disturb()
	s.heal()
	time.Sleep(settle)
	cancel()
	s.checker.finish(time.Now())
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	result := &Result{Jobs: len(s.checker.accepted), Faults: s.faults, Violations: s.checker.broken}
	for _, n := range s.checker.starts {
		result.Starts += n
	}
	return result, nil
}

// address returns a loopback address of one kind and number.
func (s *soak) address(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.plan.Slot+1, kind, number+1)
}

// build starts the store, the workers and the processes.
func (s *soak) build() error {
	if _, err := s.store.Stream(platform.OperatorStream).Append(context.Background(), []journal.Record{platformemulator.ConfigRecord()}, nil); err != nil {
		return err
	}
	store := fmt.Sprintf("%s:%d", s.address(0, 0), port)
	if err := s.serve(store, s.store.Handler()); err != nil {
		return err
	}
	for i := range s.plan.Entries {
		p := &process{name: fmt.Sprintf("entry-%d", i), role: "entry", ip: s.address(1, i)}
		p.clients = netip.AddrPortFrom(netip.MustParseAddr(p.ip), port)
		s.entries = append(s.entries, p)
	}
	for i := range s.plan.Agents {
		p := &process{name: fmt.Sprintf("agent-%d", i), role: "agent", ip: s.address(2, i)}
		s.agents = append(s.agents, p)
		w := &platformemulator.Worker{
			Name: fmt.Sprintf("w%d", i), Agent: fmt.Sprintf("%s:%d", p.ip, port+platformemulator.ControlPort), Millis: workerMillis, Memory: workerMemory,
			Observer: s.checker, Last: taskTime,
		}
		w.Begin(time.Now())
		s.checker.limit[w.Name] = size{workerMillis, workerMemory}
		s.workers = append(s.workers, w)
		if err := s.serve(fmt.Sprintf("%s:%d", s.address(3, i), port), w); err != nil {
			return err
		}
		s.group.Go(func() { w.Run(s.done) })
	}
	for i, p := range s.processes() {
		if err := s.prepare(p, i, store); err != nil {
			return err
		}
		if err := p.start(s.plan.Binary); err != nil {
			return err
		}
	}
	return nil
}

// longTask is how long one task in six runs: longer than it takes to give a
// VM up, shorter than a lease.
const longTask = 4 * time.Second

// taskTime is how long a task runs by its name: between 0.2 and 1.5 s, or long.
func taskTime(task string) time.Duration {
	sum := 0
	for _, c := range task {
		sum = sum*31 + int(c)
	}
	if sum&0xffff%6 == 0 {
		return longTask
	}
	return time.Duration(200+(sum&0xffff)%1300) * time.Millisecond
}

func (s *soak) processes() []*process {
	return append(append([]*process(nil), s.entries...), s.agents...)
}

func (s *soak) serve(address string, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	listener, err := net.Listen("tcp", address)
	for began := time.Now(); err != nil && time.Since(began) < reuse; listener, err = net.Listen("tcp", address) {
		time.Sleep(reuse / 30)
	}
	if err != nil {
		return err
	}
	s.group.Go(func() { _ = server.Serve(listener) }) // it ends with the soak
	s.group.Go(func() {
		<-s.done
		_ = server.Close()
	})
	return nil
}

// prepare writes the settings of a process and puts its proxy before the store.
func (s *soak) prepare(p *process, number int, store string) error {
	p.proxy = &faultinjector.Proxy{Target: store}
	near := fmt.Sprintf("%s:%d", s.address(4, number), port)
	if err := p.proxy.Listen(near); err != nil {
		return err
	}
	settings := platformemulator.Process{
		Name: p.name, Entry: p.role == "entry", IP: p.ip, Port: port, Store: near,
		Worker: fmt.Sprintf("%s:%d", s.address(3, max(number-s.plan.Entries, 0)), port),
	}
	path := filepath.Join(s.plan.LogDir, p.name+".json")
	if err := os.WriteFile(path, settings.Settings(), 0o600); err != nil {
		return err
	}
	p.env = platformemulator.Environment(path)
	log, err := os.Create(filepath.Join(s.plan.LogDir, p.name+".log"))
	p.log = log
	return err
}

// start starts a process, and again whenever it ends, until the soak is over.
func (p *process) start(binary string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ending {
		return nil
	}
	p.cmd = exec.Command(binary, "site", p.role)
	p.cmd.Env = append(os.Environ(), p.env)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait() // how it ended is in its log
		time.Sleep(restartAfter)
		_ = p.start(binary) // a failure shows as a process that is missing
	}(p.cmd)
	return nil
}

// signal sends a signal to the process that the soak started.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(signal) // it may have ended already
}

// submit sends jobs until the faults end.
func (s *soak) submit(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.plan.Seed, 2))
	for began := time.Now(); time.Since(began) < s.plan.FaultDuration; {
		c := &client{soak: s, http: &http.Client{Transport: &http.Transport{}}, random: rand.New(rand.NewPCG(random.Uint64(), 3)), job: fmt.Sprintf("%016x", random.Uint64())}
		s.group.Go(func() { c.run(ctx) })
		waiter.Sleep(ctx, time.Duration(random.Int64N(int64(2*jobEvery))))
	}
}

// end ends the processes that the soak started.
func (s *soak) end() {
	for _, p := range s.processes() {
		p.mu.Lock()
		p.ending = true
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
		p.mu.Unlock()
		p.proxy.Close()
	}
	close(s.done)
	s.group.Wait()
}
