package leader_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"knapweedspur/internal/sidecar/workercontroller"
)

const (
	// minCrashDelay to maxCrashDelay is how long after its start a task crashes its
	// worker.
	minCrashDelay = 5 * time.Millisecond
	maxCrashDelay = 25 * time.Millisecond
	// crashRestartDelay is how long after a crash the next worker process starts.
	crashRestartDelay = 3300 * time.Millisecond
	// crashesUntilLimit is under how many workers that crashed a task may be started
	// as any other, maxStartsAfterCrashes how often it may be started then.
	crashesUntilLimit     = 3
	maxStartsAfterCrashes = 2
	// minLossesUntilGivenUp is how many runs a task has lost in crashes before its job
	// may fail.
	minLossesUntilGivenUp = 2
)

// The errors of calls to a worker process that has crashed: of those in flight, and of
// those that follow.
var (
	errReset   = fmt.Errorf("%w: %w", workercontroller.ErrConnectionLost, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)})
	errRefused = fmt.Errorf("%w: %w", workercontroller.ErrUnreachable, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)})
)

// crash ends a worker process with an error, if it still runs. The host refuses
// connections until the next process starts. It returns the tasks of the runs that are
// lost.
func (h *simulatedHost) crash(w *simulatedWorker, cause string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w == nil || h.worker != w {
		return nil
	}
	h.checker.logf("worker %s crashes: %s", w.status.VM, cause)
	var lost []string
	for task, r := range w.active {
		h.checker.ended(r, nil, "crashed")
		lost = append(lost, task)
	}
	close(w.crashed)
	delay := crashRestartDelay
	if h.restartDelay > 0 {
		delay = h.restartDelay
	}
	h.lastName = w.status.VM
	h.worker, h.refuses, h.restartAt = nil, true, time.Now().Add(delay)
	return lost
}

// restartDue reports whether the next worker process has to start after a crash.
func (h *simulatedHost) restartDue(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refuses && !now.Before(h.restartAt)
}

// isMute reports whether the worker's answers are lost.
func (h *simulatedHost) isMute() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.muteUntil)
}

// process returns the worker process, nil while there is none.
func (h *simulatedHost) process() *simulatedWorker {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.worker
}

// runs returns the tasks that the worker runs.
func (h *simulatedHost) runs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.worker == nil {
		return nil
	}
	return slices.Collect(maps.Keys(h.worker.active))
}

// culprits are the tasks that crash the workers that start them.
type culprits struct {
	mu     sync.Mutex
	random *rand.Rand
	// crashes is how many workers each of them has crashed, late how often it was
	// started once these were crashesUntilLimit. lost counts its runs that were lost in
	// crashes of any cause.
	crashes, late, lost map[string]int
	// onCrash is called after each crash, from a goroutine of its own.
	onCrash func()
}

// newCulprits makes tasks of a cluster crash their workers.
func newCulprits(c *cluster, seed uint64) *culprits {
	p := &culprits{random: rand.New(rand.NewPCG(seed, 7)), crashes: map[string]int{}, late: map[string]int{}, lost: map[string]int{}}
	for _, v := range c.vms {
		v.onStart = append(v.onStart, p.started)
	}
	return p
}

// add makes a task crash its workers.
func (p *culprits) add(task string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes[task] = 0
}

func (p *culprits) has(task string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, found := p.crashes[task]
	return found
}

// started lets the task crash the worker that has started it.
func (p *culprits) started(h *simulatedHost, w *simulatedWorker, r *simulatedRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	crashes, isCulprit := p.crashes[r.task]
	if !isCulprit {
		return
	}
	if crashes >= crashesUntilLimit {
		p.late[r.task]++
	}
	delay := minCrashDelay + time.Duration(p.random.Int64N(int64(maxCrashDelay-minCrashDelay)))
	time.AfterFunc(delay, func() {
		lost := h.crash(w, r.task)
		if lost == nil {
			return
		}
		p.mu.Lock()
		p.crashes[r.task]++
		for _, task := range lost {
			p.lost[task]++
		}
		onCrash := p.onCrash
		p.mu.Unlock()
		if onCrash != nil {
			onCrash()
		}
	})
}

func isClosed(done chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// crashFaults begin the kinds of faults in which workers crash, of no task's making.
// The next process starts by itself.
var crashFaults = map[string]func(c *cluster, f *fault, until time.Time) func(){
	"worker-crashes": func(_ *cluster, f *fault, _ time.Time) func() {
		f.vm.crash(f.vm.process(), "by itself")
		return nil
	},
	"workers-crash": func(c *cluster, f *fault, _ time.Time) func() {
		for _, v := range c.vms {
			if v == f.vm || c.random.IntN(2) == 0 {
				v.crash(v.process(), "by itself")
			}
		}
		return nil
	},
	// The worker crashes, and with the same tasks also the one that starts the first of
	// them again.
	"worker-crashes-again": func(c *cluster, f *fault, _ time.Time) func() {
		w := f.vm.process()
		if w == nil {
			return nil
		}
		repeat := &repeatedCrash{delay: time.Duration(c.random.Int64N(int64(1500 * time.Millisecond))), tasks: map[string]bool{}}
		f.vm.mu.Lock()
		for task := range w.active {
			repeat.tasks[task] = true
		}
		f.vm.mu.Unlock()
		for _, v := range c.vms {
			v.mu.Lock()
			v.onStart = append(v.onStart, repeat.started)
			v.mu.Unlock()
		}
		f.vm.crash(w, "by itself")
		return nil
	},
	"vm-crashes": func(c *cluster, f *fault, _ time.Time) func() {
		c.killAgent(f.vm)
		f.vm.crash(f.vm.process(), "with its VM")
		return func() { c.startAgent(f.vm) }
	},
	// The worker is cut off silently, and has another name once it is back.
	"worker-cut-and-reborn": func(c *cluster, f *fault, until time.Time) func() {
		f.vm.setFaults(until, time.Time{})
		return func() { c.replaceWorker(f.vm) }
	},
}

// repeatedCrash lets one worker crash some time after it has started any of the tasks.
type repeatedCrash struct {
	mu    sync.Mutex
	delay time.Duration
	tasks map[string]bool
}

func (c *repeatedCrash) started(h *simulatedHost, w *simulatedWorker, r *simulatedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.tasks[r.task] {
		return
	}
	clear(c.tasks)
	time.AfterFunc(c.delay, func() { h.crash(w, "by itself, again") })
}
