// Package crowd runs the real programs on loopback addresses beside clients that send
// oversized, unfinished or odd requests.
package crowd

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/standin/logemulator"
	"knapweedspur/platform"
	"knapweedspur/platform/platformemulator"
)

// Limits of the VM in the settings of the processes, and what is checked against them.
const (
	memoryMB = 96
	// maxFDs descriptors, of which reservedFDs are for files; connections and pipes share
	// the rest.
	maxFDs      = 456
	reservedFDs = 200
	// sampleInterval is the time between two looks at memory and open descriptors.
	sampleInterval = 10 * time.Millisecond
	// killMemoryMB is where the test kills a process, so that the machine lasts.
	killMemoryMB = 8 * memoryMB
	// answerLimit ends a test in which the ordinary request is not answered.
	answerLimit = 40 * time.Second
	retryPause  = 50 * time.Millisecond
	firstPort   = 7700
	hostIP      = "127.58.0.1"
	logIP       = "127.58.0.2"
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "knapweedspur")
	if output, err := exec.Command("go", "build", "-o", binary, "../..").CombinedOutput(); err != nil {
		fmt.Printf("build: %v\n%s", err, output)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func address(ip string, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(port))
}

// program starts one kind of process.
type program struct {
	name string
	// arguments of the command, and environment of the process.
	arguments   []string
	environment func(t *testing.T) []string
}

var (
	clientAddress    = address(hostIP, firstPort)
	readinessAddress = address(hostIP, firstPort+1)
	controlAddress   = address(hostIP, firstPort+2)
	peerAddress      = address(hostIP, firstPort+10)
	metricsAddress   = address(hostIP, firstPort+11)
	logAddress       = address(logIP, firstPort)
	// workerAddress has no listener.
	workerAddress = address(logIP, firstPort+1)
)

// siteSettings returns the environment of a process on the users' platform.
func siteSettings(entry bool) func(t *testing.T) []string {
	return func(t *testing.T) []string {
		path := filepath.Join(t.TempDir(), "settings.json")
		writeSiteSettings(t, path, entry, memoryMB, maxFDs)
		return []string{platformemulator.SettingsEnv(path)}
	}
}

func writeSiteSettings(t *testing.T, path string, entry bool, memory, descriptors int) {
	t.Helper()
	p := platformemulator.Process{
		Name: "vm", Domain: "a", IsEntry: entry, IP: hostIP, FirstPort: firstPort,
		LogAddress: logAddress.String(), WorkerAddress: workerAddress.String(), MemoryMB: memory, MaxFDs: descriptors,
	}
	if err := os.WriteFile(path, p.SettingsFile(), 0o600); err != nil {
		t.Fatal(err)
	}
}

func ownSettings(variables ...string) func(t *testing.T) []string {
	return func(*testing.T) []string {
		return append(variables, "KNAPWEEDSPUR_INSECURE=true", "KNAPWEEDSPUR_DOMAIN=a", fmt.Sprintf("KNAPWEEDSPUR_MEMORY=%d", memoryMB), fmt.Sprintf("KNAPWEEDSPUR_DESCRIPTORS=%d", maxFDs))
	}
}

var (
	siteEntry = program{"site-entry", []string{"site", "entry"}, siteSettings(true)}
	siteAgent = program{"site-agent", []string{"site", "agent"}, siteSettings(false)}
	ownEntry  = program{"entry", []string{"entry"}, ownSettings(
		"KNAPWEEDSPUR_LISTEN="+clientAddress.String(), "KNAPWEEDSPUR_CONTROL="+controlAddress.String(), "KNAPWEEDSPUR_LOG="+logAddress.String())}
	ownAgent = program{"agent", []string{"agent"}, ownSettings(
		"KNAPWEEDSPUR_METRICS="+metricsAddress.String(), "KNAPWEEDSPUR_VM=vm", "KNAPWEEDSPUR_WORKER="+workerAddress.String(), "KNAPWEEDSPUR_ENTRIES="+workerAddress.String())}
)

// startLog serves the log that the program needs.
func startLog(t *testing.T, p program) {
	var handler http.Handler
	if p.arguments[0] == "site" {
		log := platformemulator.NewLogServer()
		if _, err := log.Stream(platform.OperatorStream).Append(t.Context(), []journal.Record{platformemulator.ConfigRecord()}, nil); err != nil {
			t.Fatal(err)
		}
		handler = log.Handler()
	} else {
		handler = (&logemulator.Log{AppendRate: 300}).Handler()
	}
	listener, err := net.Listen("tcp", logAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener) // returns when the test closes the server
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
}

// process is a running program.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	exited chan struct{}
	log    string
	// mu guards the largest number of sockets and pipes, and the largest resident size in
	// bytes, that were seen.
	mu      sync.Mutex
	sockets int
	peak    int64
}

func start(t *testing.T, p program) *process {
	startLog(t, p)
	path := filepath.Join(t.TempDir(), "log")
	output, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	s := &process{t: t, cmd: exec.Command(binary, p.arguments...), exited: make(chan struct{}), log: path}
	s.cmd.Env = append(os.Environ(), p.environment(t)...)
	s.cmd.Stdout, s.cmd.Stderr = output, output
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = s.cmd.Wait()
		_ = output.Close()
		close(s.exited)
	}()
	t.Cleanup(func() {
		_ = s.cmd.Process.Kill()
		<-s.exited
	})
	go s.sample()
	return s
}

func (s *process) alive() bool {
	select {
	case <-s.exited:
		return false
	default:
		return true
	}
}

// sample counts sockets and pipes until the process ends, and kills a process that grows
// far beyond its VM.
func (s *process) sample() {
	for s.alive() {
		count, peak := s.countSockets(), s.peakMemory()
		s.mu.Lock()
		s.sockets, s.peak = max(s.sockets, count), max(s.peak, peak)
		s.mu.Unlock()
		if peak > killMemoryMB*1e6 {
			_ = s.cmd.Process.Kill()
		}
		time.Sleep(sampleInterval)
	}
}

func (s *process) countSockets() int {
	dir := fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid)
	names, err := os.ReadDir(dir)
	if err != nil {
		return 0 // the process has ended
	}
	count := 0
	for _, n := range names {
		target, err := os.Readlink(filepath.Join(dir, n.Name()))
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			count++
		}
	}
	return count
}

// peakMemory returns the largest resident size so far, in bytes.
func (s *process) peakMemory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			if err != nil {
				return 0
			}
			return kb << 10
		}
	}
	return 0
}

// check fails the test if the process has ended or has exceeded a limit of its VM.
func (s *process) check() {
	s.t.Helper()
	s.mu.Lock()
	sockets, peak := s.sockets, max(s.peak, s.peakMemory())
	s.mu.Unlock()
	s.t.Logf("peak memory %.1f MB of %d, sockets and pipes %d of %d", float64(peak)/1e6, memoryMB, sockets, maxFDs-reservedFDs)
	if !s.alive() {
		s.t.Errorf("the process has ended:\n%s", s.tail())
	}
	if peak > memoryMB*1e6 {
		s.t.Errorf("peak memory is %.1f MB, the VM has %d", float64(peak)/1e6, memoryMB)
	}
	if sockets > maxFDs-reservedFDs {
		s.t.Errorf("%d sockets and pipes were open, the VM has descriptors for %d", sockets, maxFDs-reservedFDs)
	}
}

// tail returns the end of the log output.
func (s *process) tail() string {
	data, err := os.ReadFile(s.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(len(data)-2000, 0):])
}
