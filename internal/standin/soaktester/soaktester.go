// Package soaktester runs the real programs as separate processes on loopback,
// injects faults from outside as a seed determines, and checks the system's
// invariants against what clients and workers observe.
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
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/standin/faultinjector"
	"knapweedspur/platform"
	"knapweedspur/platform/platformemulator"
)

// Config configures a soak.
type Config struct {
	// Binary is the program under test.
	Binary string
	// Seed determines the faults and the jobs. After an even seed's faults all
	// processes and workers lose power at once.
	Seed uint64
	// FaultDuration is how long faults are injected and jobs submitted.
	FaultDuration time.Duration
	// Entries and Agents are the numbers of processes of each role.
	Entries, Agents int
	// Slot selects the loopback addresses, so that soaks can run concurrently.
	Slot int
	// SingleFaults and Pairs enable the faults drawn one by one and those that come
	// in pairs.
	SingleFaults, Pairs bool
	// Crashes enables tasks that crash their workers, and crashes of other causes.
	Crashes bool
	// Heavy enables jobs that are as large as the interface allows, beside single faults.
	Heavy bool
	// Policy enables queues whose jobs need approval, and faults of the policy service, beside single faults.
	Policy bool
	// LogDir is the directory for the logs and settings of the processes.
	LogDir string
}

const (
	// settleTime is how long the system has to finish all jobs after the last
	// fault: two leases and the work itself.
	settleTime = 25 * time.Second
	// warmUpTime is how long the system has to start before the first fault.
	warmUpTime = 2 * time.Second
	// basePort is the first port on each of the loopback addresses.
	basePort = 7700
	// workerMillicores and workerMemory are the capacity of a worker.
	workerMillicores, workerMemory = 2000, 1000
	// meanJobInterval is the mean time between jobs. With tasks of 1.4 s and 0.35
	// of a core, 2.5 to a job, this uses three fifths of the capacity of four
	// workers.
	meanJobInterval = 250 * time.Millisecond
	// addressReuseTimeout is how long to retry a listen address that an earlier
	// soak may still occupy.
	addressReuseTimeout = 3 * time.Second
	// pauseCheckInterval is how often to check whether jobs are submitted again.
	pauseCheckInterval = 20 * time.Millisecond
	// restartDelay is the time after which a process that ended is restarted.
	restartDelay = 300 * time.Millisecond
)

// soak is one soak run.
type soak struct {
	config     Config
	random     *rand.Rand
	checker    *checker
	logService *platformemulator.LogServer
	policy     platformemulator.PolicyServer
	entries    []*process
	agents     []*process
	workers    []*platformemulator.Worker
	stopped    chan struct{}
	group      sync.WaitGroup
	// faultCount is the number of injected faults.
	faultCount atomic.Int64
	// submitPaused is set while no jobs are submitted.
	submitPaused atomic.Bool
	// faultLog holds a line for each of them.
	faultLog *os.File
}

// process is one program under test.
type process struct {
	name          string
	role          string
	ip            string
	clientAddress netip.AddrPort
	env           string
	settingsPath  string
	settings      []byte
	logFile       *os.File
	proxy         *faultinjector.Proxy
	mu            sync.Mutex
	cmd           *exec.Cmd
	stopping      bool
}

// Result is the outcome of a soak.
type Result struct {
	// Jobs counts accepted jobs, Starts task starts on workers, Faults injected
	// faults.
	Jobs, Starts, Faults int
	// Violations describes each invariant violation.
	Violations []string
}

// Run runs a soak and checks the invariants.
func Run(config Config) (*Result, error) {
	s := &soak{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 1)), checker: newChecker(time.Now()),
		logService: platformemulator.NewLogServer(), stopped: make(chan struct{}),
	}
	faultLog, err := os.Create(filepath.Join(config.LogDir, "faults.log"))
	if err != nil {
		return nil, err
	}
	defer faultLog.Close()
	s.faultLog = faultLog
	if err := s.startAll(); err != nil {
		return nil, err
	}
	defer s.stopAll()
	go s.stopOnSignal()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.Sleep(warmUpTime)
	s.group.Go(func() { s.submitJobs(ctx) })
	s.group.Go(func() { s.submitHeavyJobs(ctx) })
	s.group.Go(s.changeSettings)
	evacuationsDone := make(chan struct{})
	go s.evacuateDomains(evacuationsDone)
	resizesDone := make(chan struct{})
	go s.resizeWorkers(resizesDone)
	policyDone := make(chan struct{})
	go s.injectPolicyFaults(policyDone)
	pairsDone := make(chan struct{})
	go s.injectPairs(pairsDone)
	crashesDone := make(chan struct{})
	go s.injectCrashes(crashesDone)
	s.injectFaults()
	<-policyDone
	<-pairsDone
	<-crashesDone
	<-evacuationsDone
	<-resizesDone
	if s.config.Seed%2 == 0 {
		s.losePower()
	}
	s.clearFaults()
	time.Sleep(settleTime)
	cancel()
	s.checker.checkFinal(time.Now())
	return s.result(), nil
}

// result returns the outcome after the last check.
func (s *soak) result() *Result {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	result := &Result{Jobs: len(s.checker.acceptedAt), Faults: int(s.faultCount.Load()), Violations: s.checker.violations}
	for _, n := range s.checker.startCounts {
		result.Starts += n
	}
	return result
}

// address returns the loopback address of one kind (0 log service, 1 entry,
// 2 agent, 3 worker, 4 proxy) and number.
func (s *soak) address(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.config.Slot+1, kind, number+1)
}

// startAll starts the log service, the workers and the processes.
func (s *soak) startAll() error {
	if _, err := s.logService.Stream(platform.OperatorStream).Append(context.Background(), []journal.Record{platformemulator.ConfigRecord()}, nil); err != nil {
		return err
	}
	logAddress := fmt.Sprintf("%s:%d", s.address(0, 0), basePort)
	if err := s.startServer(logAddress, s.logService.Handler()); err != nil {
		return err
	}
	if s.config.Policy {
		if err := s.startServer(s.policyAddress(), &s.policy); err != nil {
			return err
		}
	}
	for i := range s.config.Entries {
		p := &process{name: fmt.Sprintf("entry-%d", i), role: "entry", ip: s.address(1, i)}
		p.clientAddress = netip.AddrPortFrom(netip.MustParseAddr(p.ip), basePort)
		s.entries = append(s.entries, p)
	}
	for i := range s.config.Agents {
		p := &process{name: fmt.Sprintf("agent-%d", i), role: "agent", ip: s.address(2, i)}
		s.agents = append(s.agents, p)
		w := &platformemulator.Worker{
			Name: fmt.Sprintf("w%d", i), Domain: domainOf(i), AgentAddress: fmt.Sprintf("%s:%d", p.ip, basePort+platformemulator.ControlPortOffset), Millicores: workerMillicores, MemoryMB: workerMemory,
			Observer: s.checker, AcceptsTicket: s.acceptsTicket(), TaskDuration: s.taskDuration, CrashDelay: s.checker.crashesWorker, KeepsID: i%2 == 1,
		}
		if s.config.Pairs {
			w.ClockDrift = maxClockDrift * rand.New(rand.NewPCG(s.config.Seed, uint64(firstDriftStream+i))).Float64()
		}
		w.StartInstance(time.Now())
		s.checker.setCapacity(w.Name, size{workerMillicores, workerMemory}, time.Now())
		s.checker.workerDomain[w.Name] = w.Domain
		s.workers = append(s.workers, w)
		w.Listen(fmt.Sprintf("%s:%d", s.address(3, i), basePort), s.stopped)
		s.group.Go(func() { w.Run(s.stopped) })
	}
	for i, p := range s.processes() {
		if err := s.configure(p, i, logAddress); err != nil {
			return err
		}
		if err := p.start(s.config.Binary); err != nil {
			return err
		}
	}
	return nil
}

// longTaskDuration is how long some tasks run: longer than it takes to declare a VM
// lost, shorter than a lease. These are one task in six, and one in three beside pairs
// of faults, which pause the submission of jobs.
const longTaskDuration = 4 * time.Second

// taskDuration derives the duration of a task from a hash of its name: between 0.2
// and 1.5 s, or longTaskDuration.
func (s *soak) taskDuration(task string) time.Duration {
	if s.checker.lasts(task) {
		return lastingDuration
	}
	hash := 0
	for _, c := range task {
		hash = hash*31 + int(c)
	}
	long := 6
	if s.config.Pairs {
		long = 3
	}
	if hash&0xffff%long == 0 {
		return longTaskDuration
	}
	return time.Duration(200+(hash&0xffff)%1300) * time.Millisecond
}

func (s *soak) processes() []*process {
	return append(append([]*process(nil), s.entries...), s.agents...)
}

func (s *soak) startServer(address string, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	listener, err := net.Listen("tcp", address)
	for start := time.Now(); err != nil && time.Since(start) < addressReuseTimeout; listener, err = net.Listen("tcp", address) {
		time.Sleep(addressReuseTimeout / 30)
	}
	if err != nil {
		return err
	}
	s.group.Go(func() { _ = server.Serve(listener) }) // returns when the soak closes the server
	s.group.Go(func() {
		<-s.stopped
		_ = server.Close()
	})
	return nil
}

// configure writes the settings and opens the log file of a process, and starts the
// proxy between it and the log service.
func (s *soak) configure(p *process, index int, logAddress string) error {
	p.proxy = &faultinjector.Proxy{Target: logAddress}
	proxyAddress := fmt.Sprintf("%s:%d", s.address(4, index), basePort)
	if err := p.proxy.Listen(proxyAddress); err != nil {
		return err
	}
	settings := platformemulator.Process{
		Name: p.name, Domain: domainOf(index), IsEntry: p.role == "entry", IP: p.ip, FirstPort: basePort, LogAddress: proxyAddress,
		WorkerAddress: fmt.Sprintf("%s:%d", s.address(3, max(index-s.config.Entries, 0)), basePort), PolicyAddress: s.policyAddress(),
	}
	p.settingsPath, p.settings = filepath.Join(s.config.LogDir, p.name+".json"), settings.SettingsFile()
	if err := os.WriteFile(p.settingsPath, p.settings, 0o600); err != nil {
		return err
	}
	p.env = platformemulator.SettingsEnv(p.settingsPath)
	logFile, err := os.Create(filepath.Join(s.config.LogDir, p.name+".log"))
	p.logFile = logFile
	return err
}

// start starts a process and restarts it whenever it ends, until the soak is over.
func (p *process) start(binary string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return nil
	}
	p.cmd = exec.Command(binary, "site", p.role)
	p.cmd.Env = append(os.Environ(), p.env)
	p.cmd.Stdout, p.cmd.Stderr = p.logFile, p.logFile
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait() // the process's log tells how it ended
		time.Sleep(restartDelay)
		_ = p.start(binary) // a failed restart shows as a missing process
	}(p.cmd)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(signal) // it may have ended already
}

// submitJobs starts a client for each job while faults are injected.
func (s *soak) submitJobs(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.config.Seed, 2))
	for start := time.Now(); time.Since(start) < s.config.FaultDuration; {
		if s.submitPaused.Load() {
			waiter.Sleep(ctx, pauseCheckInterval)
			continue
		}
		c := s.newClient(random, clientStream)
		s.group.Go(func() { c.run(ctx) })
		waiter.Sleep(ctx, time.Duration(random.Int64N(int64(2*meanJobInterval))))
	}
}

// interruptedExitCode is the exit code of a soak that a signal stopped.
const interruptedExitCode = 130

// stopOnSignal stops everything when the soak itself is interrupted. Processes that
// it left behind would keep the addresses of the next soak in its slot.
func (s *soak) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	select {
	case <-signals:
		s.killProcesses()
		os.Exit(interruptedExitCode)
	case <-s.stopped:
	}
}

// stopAll kills the processes and stops the proxies and servers.
func (s *soak) stopAll() {
	s.killProcesses()
	for _, p := range s.processes() {
		p.proxy.Close()
	}
	close(s.stopped)
	s.group.Wait()
}

func (s *soak) killProcesses() {
	for _, p := range s.processes() {
		p.mu.Lock()
		p.stopping = true
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
		p.mu.Unlock()
	}
}
