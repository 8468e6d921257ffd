package main

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of a worker, as in the settings of the processes.
const (
	holdMax     = 6 * time.Second
	heartbeat   = 1100 * time.Millisecond
	endsAtATime = 500
	workerTick  = 5 * time.Millisecond
)

// worker is a stand-in of an application worker and its machine. One process of it
// lives at a time; each has a new id.
type worker struct {
	machine, zone string
	address       string
	control       string
	labels        []string
	cpu, memMb    int
	history       *history

	mu      sync.Mutex
	process *workerProcess
	lives   int
	// cut is set while the worker and its machine don't reach each other.
	cut bool
}

// workerProcess is one life of a worker.
type workerProcess struct {
	id       string
	born     time.Time
	seq      int64
	fence    int64
	until    time.Duration
	running  map[string]*activeRun
	stopped  map[string]int
	ended    []runEnd
	lastEnd  int64
	seenUpto int64
	server   *http.Server
	gone     chan struct{}
}

type activeRun struct {
	run       int
	startedAt time.Time
	duration  time.Duration
}

type runEnd struct {
	number int64
	task   string
	run    int
	how    string
}

// startProcess starts a life of the worker.
func (w *worker) startProcess() error {
	listener, err := listen(w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.lives++
	p := &workerProcess{
		id: fmt.Sprintf("i-%s-%d", w.machine, w.lives), born: time.Now(), running: map[string]*activeRun{}, stopped: map[string]int{}, gone: make(chan struct{}),
	}
	p.server = &http.Server{Handler: w.handler(p), ReadHeaderTimeout: time.Second}
	w.process = p
	w.mu.Unlock()
	w.history.add("worker %s starts", p.id)
	go func() { _ = p.server.Serve(listener) }()
	go w.live(p)
	return nil
}

// crash ends the process: what runs on it is lost, and its port refuses connections.
func (w *worker) crash() {
	w.mu.Lock()
	p := w.process
	w.process = nil
	for task, r := range p.running {
		w.history.ended(w.machine, p.id, task, r.run, "lost")
	}
	w.mu.Unlock()
	close(p.gone)
	_ = p.server.Close()
	w.history.add("worker %s crashes", p.id)
}

// live sends heartbeats and ends runs until the process is gone.
func (w *worker) live(p *workerProcess) {
	ticker := time.NewTicker(workerTick)
	defer ticker.Stop()
	var beatAt time.Time
	for {
		select {
		case <-p.gone:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		w.endRuns(p, time.Now())
		silent := w.cut
		w.mu.Unlock()
		if time.Since(beatAt) > heartbeat && !silent {
			beatAt = time.Now()
			go w.beat(p)
		}
	}
}

func (p *workerProcess) clock(now time.Time) time.Duration { return now.Sub(p.born) }

// endRuns ends what is done, and everything once the lease is over. The caller holds the
// lock.
func (w *worker) endRuns(p *workerProcess, now time.Time) {
	lapsed := p.clock(now) > p.until
	for task, r := range p.running {
		switch {
		case lapsed:
			w.endRun(p, task, "lapsed")
		case now.Sub(r.startedAt) >= r.duration:
			w.endRun(p, task, "done")
		}
	}
}

func (w *worker) endRun(p *workerProcess, task, how string) {
	r := p.running[task]
	delete(p.running, task)
	p.stopped[task] = max(p.stopped[task], r.run)
	p.lastEnd++
	p.ended = append(p.ended, runEnd{p.lastEnd, task, r.run, how})
	w.history.ended(w.machine, p.id, task, r.run, how)
}

// beat sends a heartbeat, again until it is confirmed or the next one is due.
func (w *worker) beat(p *workerProcess) {
	for began := time.Now(); time.Since(began) < heartbeat/2; time.Sleep(heartbeat / 20) {
		w.mu.Lock()
		p.seq++
		body := map[string]any{
			"service": serviceName, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]int{"cpu": w.cpu, "memMb": w.memMb, "gpu": 0}, "labels": w.labels,
			"clockMs": p.clock(time.Now()).Milliseconds(), "seq": p.seq, "born": p.born.UnixMilli(),
		}
		silent := w.cut || w.process != p
		w.mu.Unlock()
		if silent {
			return
		}
		status, _, err := send(http.MethodPost, w.control, "/-/instances/"+p.id+"/heartbeat", "", body, time.Second)
		if err == nil && status == http.StatusOK {
			return
		}
	}
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	UntilMs  int64  `json:"untilMs"`
	Fence    int64  `json:"fence"`
	SeenUpto int64  `json:"seenUpto"`
	WaitMs   int64  `json:"waitMs"`
}

// handler answers the orders to a process. Only its own machine calls it.
func (w *worker) handler(p *workerProcess) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := r.Header.Get("X-Expected-Instance"); id != "" && id != p.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/-/hold" {
			w.waitForEnd(p, &o)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.execute(rw, p, r.URL.Path, &o, time.Now())
	})
}

// waitForEnd waits until an end is listed that the caller has not seen.
func (w *worker) waitForEnd(p *workerProcess, o *order) {
	for began := time.Now(); time.Since(began) < time.Duration(o.WaitMs)*time.Millisecond; time.Sleep(workerTick) {
		w.mu.Lock()
		listed := len(p.ended) > 0 && p.ended[len(p.ended)-1].number > o.SeenUpto
		w.mu.Unlock()
		if listed {
			return
		}
	}
}

// execute carries out an order. The caller holds the lock.
func (w *worker) execute(rw http.ResponseWriter, p *workerProcess, path string, o *order, now time.Time) {
	if o.Fence < p.fence {
		p.answer(rw, http.StatusConflict, now, map[string]any{"reason": "fence"})
		return
	}
	p.fence = o.Fence
	switch path {
	case "/-/run-start":
		w.startTask(rw, p, o, now)
	case "/-/run-stop":
		if r := p.running[o.Task]; r != nil && r.run == o.Run {
			w.endRun(p, o.Task, "stopped")
		}
		p.stopped[o.Task] = max(p.stopped[o.Task], o.Run)
		p.answer(rw, http.StatusOK, now, nil)
	case "/-/hold":
		p.extend(o.UntilMs, now)
		p.seenUpto = max(p.seenUpto, o.SeenUpto)
		for len(p.ended) > 0 && p.ended[0].number <= p.seenUpto {
			p.ended = p.ended[1:]
		}
		p.answer(rw, http.StatusOK, now, p.lists(now))
	default:
		p.answer(rw, http.StatusOK, now, nil)
	}
}

func (w *worker) startTask(rw http.ResponseWriter, p *workerProcess, o *order, now time.Time) {
	current := p.running[o.Task]
	switch {
	case current != nil && current.run == o.Run:
	case current != nil, p.stopped[o.Task] >= o.Run:
		p.extend(o.UntilMs, now)
		p.answer(rw, http.StatusConflict, now, map[string]any{"reason": "old"})
		return
	case time.Duration(o.UntilMs)*time.Millisecond < p.clock(now):
		p.answer(rw, http.StatusConflict, now, map[string]any{"reason": "late"})
		return
	default:
		p.running[o.Task] = &activeRun{o.Run, now, w.history.durationOf(o.Task)}
		w.history.started(w.machine, p.id, o.Task, o.Run)
	}
	p.extend(o.UntilMs, now)
	p.answer(rw, http.StatusOK, now, nil)
}

// extend extends the lease, which never shortens, to at most holdMax from now.
func (p *workerProcess) extend(untilMs int64, now time.Time) {
	p.until = max(p.until, min(time.Duration(untilMs)*time.Millisecond, p.clock(now)+holdMax))
}

func (p *workerProcess) lists(now time.Time) map[string]any {
	running, ended := [][]any{}, [][]any{}
	for task, r := range p.running {
		percent := math.Floor(100 * float64(now.Sub(r.startedAt)) / float64(r.duration))
		running = append(running, []any{task, r.run, "", percent, 0})
	}
	for _, e := range p.ended[:min(len(p.ended), endsAtATime)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"running": running, "ended": ended}
}

func (p *workerProcess) answer(rw http.ResponseWriter, status int, now time.Time, fields map[string]any) {
	body := map[string]any{"clockMs": p.clock(now).Milliseconds(), "born": p.born.UnixMilli()}
	for name, value := range fields {
		body[name] = value
	}
	reply(rw, status, body)
}

// setCut cuts the worker off from its machine, or ends that.
func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	w.history.add("worker of %s cut off: %t", w.machine, cut)
}

func (w *worker) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

// relay passes connections from the machine on to its worker. During a cut it holds
// back what it has read; what was held back is lost if the sender has gone by the end.
func (w *worker) relay(listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			for w.isCut() {
				time.Sleep(workerTick)
			}
			callee, err := net.Dial("tcp", w.address)
			if err != nil {
				reset(caller)
				return
			}
			go w.pass(caller, callee)
			w.pass(callee, caller)
		}()
	}
}

// pass passes bytes on in one direction.
func (w *worker) pass(from, to net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		held := false
		for w.isCut() {
			held = true
			time.Sleep(workerTick)
		}
		if err != nil || held && closedByPeer(from) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// closedByPeer reports whether the peer of a connection has closed it.
func closedByPeer(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	_ = conn.SetReadDeadline(time.Time{})
	return err != nil && !strings.Contains(err.Error(), "timeout")
}

// reset closes a connection with a reset, as a port without a listener does.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
