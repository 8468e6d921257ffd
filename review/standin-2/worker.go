package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// workerCPU and workerMemory are the capacity of a worker, in thousandths of a core
	// and megabytes.
	workerCPU, workerMemory = 16000, 64000
	// tick is how often leases and ends are checked.
	tick = 10 * time.Millisecond
	// startupTime is how long a task that lasts takes to be at work.
	startupTime = 200 * time.Millisecond
	// callTimeout bounds a call of a worker or a client.
	callTimeout = time.Second
	// maxHoldWait is the longest wait of a hold call.
	maxHoldWait = 2 * time.Second
	// maxListedEnds is how many ends are listed at a time.
	maxListedEnds = 500
)

// worker stands in for a worker as the pages describe it. Each of its lives has an id, a
// clock, a fence and a list of ends of its own.
type worker struct {
	fleet  *fleet
	number int
	labels []string
	// duration is how long a task takes that ends by itself; 0 lasts until it is stopped.
	duration func(task string) time.Duration

	mu   sync.Mutex
	life *life
	// lives counts the lives, starts the starts of tasks, done their ends done.
	lives        int
	starts, done map[string]int
}

// life is one life of a worker.
type life struct {
	worker   *worker
	id       string
	born     time.Time
	server   *http.Server
	done     chan struct{}
	lost     bool
	seq      int64
	fence    int64
	leaseEnd time.Duration
	running  map[string]*taskRun
	highest  map[string]int
	ended    []endRow
	lastEnd  int64
}

type taskRun struct {
	run       int
	startedAt time.Time
	endsAt    time.Time
}

type endRow struct {
	number int64
	task   string
	run    int
	how    string
}

// order is the body of all calls to a worker.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	UntilMs  int64  `json:"untilMs"`
	Fence    int64  `json:"fence"`
	SeenUpto int64  `json:"seenUpto"`
	WaitMs   int64  `json:"waitMs"`
}

func newWorker(f *fleet, number int) *worker {
	return &worker{
		fleet: f, number: number, labels: []string{"a", fmt.Sprintf("r%d", number/3)}, starts: map[string]int{}, done: map[string]int{},
		duration: func(string) time.Duration { return 0 },
	}
}

// startLife starts a life of the worker under a new id.
func (w *worker) startLife() error {
	listener, err := net.Listen("tcp", w.fleet.address(3, w.number))
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.lives++
	l := &life{
		worker: w, id: fmt.Sprintf("i-%02x%06x", w.number, w.lives), born: time.Now(), done: make(chan struct{}),
		running: map[string]*taskRun{}, highest: map[string]int{},
	}
	l.server = &http.Server{Handler: l, ReadHeaderTimeout: time.Second}
	w.life = l
	w.mu.Unlock()
	w.fleet.note("worker %d: life %s begins", w.number, l.id)
	go func() { _ = l.server.Serve(listener) }() // returns when the server is closed
	go l.beat()
	go l.tick()
	return nil
}

// crash ends the life: it runs nothing, answers nothing and says nothing.
func (w *worker) crash() {
	w.mu.Lock()
	l := w.life
	w.life = nil
	w.mu.Unlock()
	if l == nil {
		return
	}
	close(l.done)
	_ = l.server.Close() // its connections end with it
	w.fleet.note("worker %d: life %s crashes", w.number, l.id)
}

// lose loses the worker for good and silently: no call reaches it, no answer and no
// heartbeat leaves it, and its connections stay open.
func (w *worker) lose() {
	w.mu.Lock()
	if w.life != nil {
		w.life.lost = true
		w.life.running = map[string]*taskRun{}
	}
	w.mu.Unlock()
	w.fleet.note("worker %d: lost for good", w.number)
}

func (l *life) clock(now time.Time) time.Duration { return now.Sub(l.born) }

func (l *life) beat() {
	for {
		l.sendHeartbeat()
		select {
		case <-time.After(heartbeatEvery):
		case <-l.done:
			return
		}
	}
}

func (l *life) sendHeartbeat() {
	w := l.worker
	w.mu.Lock()
	l.seq++
	body, err := json.Marshal(map[string]any{
		"service": "svc", "addr": w.fleet.address(3, w.number), "zone": zoneOf(w.number), "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": workerCPU, "memMb": workerMemory, "gpu": 0}, "labels": w.labels, "clockMs": l.clock(time.Now()).Milliseconds(),
		"seq": l.seq, "born": l.born.UnixMilli(),
	})
	lost := l.lost
	w.mu.Unlock()
	if err == nil && !lost {
		_, _ = w.fleet.post(fmt.Sprintf("http://%s:%d/-/instances/%s/heartbeat", w.fleet.ip(2, w.number), firstPort, l.id), body) // the next heartbeat follows
	}
}

// post sends a body and returns the status.
func (f *fleet) post(url string, body []byte) (int, error) {
	client := http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// tick ends tasks whose time has come, and all when the lease is over.
func (l *life) tick() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			l.check(now)
		case <-l.done:
			return
		}
	}
}

func (l *life) check(now time.Time) {
	l.worker.mu.Lock()
	defer l.worker.mu.Unlock()
	for task, r := range l.running {
		switch {
		case l.clock(now) > l.leaseEnd:
			l.end(task, r, "lapsed")
		case !r.endsAt.IsZero() && now.After(r.endsAt):
			l.end(task, r, "done")
		}
	}
}

func (l *life) end(task string, r *taskRun, how string) {
	delete(l.running, task)
	l.highest[task] = max(l.highest[task], r.run)
	l.lastEnd++
	if how == "done" {
		l.worker.done[task]++
	}
	l.ended = append(l.ended, endRow{number: l.lastEnd, task: task, run: r.run, how: how})
	l.worker.fleet.note("worker %d: %s run %d ends %s", l.worker.number, task, r.run, how)
}

// ServeHTTP carries out a call.
func (l *life) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if l.isLost() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("X-Expected-Instance") != l.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/-/hold" {
		l.waitForEnd(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait))
		if l.isLost() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, fields := l.execute(r.URL.Path, &o, time.Now())
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	fields["clockMs"], fields["born"] = l.clock(time.Now()).Milliseconds(), l.born.UnixMilli()
	_ = json.NewEncoder(rw).Encode(fields) // the caller may be gone
}

func (l *life) isLost() bool {
	l.worker.mu.Lock()
	defer l.worker.mu.Unlock()
	return l.lost
}

func (l *life) waitForEnd(limit time.Duration) {
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(tick) {
		l.worker.mu.Lock()
		listed := len(l.ended) > 0
		l.worker.mu.Unlock()
		if listed {
			return
		}
	}
}

func (l *life) execute(path string, o *order, now time.Time) (int, map[string]any) {
	l.worker.mu.Lock()
	defer l.worker.mu.Unlock()
	if o.Fence < l.fence {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	l.fence = o.Fence
	switch path {
	case "/-/run-start":
		return l.startTask(o, now)
	case "/-/run-stop":
		if r := l.running[o.Task]; r != nil && r.run <= o.Run {
			l.end(o.Task, r, "stopped")
		}
		l.highest[o.Task] = max(l.highest[o.Task], o.Run)
	case "/-/hold":
		l.extend(o.UntilMs, now)
		return http.StatusOK, l.lists(o.SeenUpto, now)
	}
	return http.StatusOK, map[string]any{}
}

func (l *life) extend(untilMs int64, now time.Time) {
	l.leaseEnd = max(l.leaseEnd, min(time.Duration(untilMs)*time.Millisecond, l.clock(now)+maxLease))
}

func (l *life) startTask(o *order, now time.Time) (int, map[string]any) {
	w := l.worker
	current := l.running[o.Task]
	switch {
	case current != nil && current.run == o.Run:
	case current != nil || l.highest[o.Task] >= o.Run:
		l.extend(o.UntilMs, now)
		return http.StatusConflict, map[string]any{"reason": "old"}
	case time.Duration(o.UntilMs)*time.Millisecond < l.clock(now):
		return http.StatusConflict, map[string]any{"reason": "late"}
	default:
		r := &taskRun{run: o.Run, startedAt: now}
		if d := w.duration(o.Task); d > 0 {
			r.endsAt = now.Add(d)
		}
		l.running[o.Task] = r
		w.starts[o.Task]++
		w.fleet.note("worker %d: %s run %d starts on %s", w.number, o.Task, o.Run, l.id)
	}
	l.extend(o.UntilMs, now)
	return http.StatusOK, map[string]any{}
}

// lists returns both lists. Ends up to seenUpto are forgotten.
func (l *life) lists(seenUpto int64, now time.Time) map[string]any {
	kept := l.ended[:0:0]
	running, ended := [][]any{}, [][]any{}
	for _, e := range l.ended {
		if e.number > seenUpto {
			kept = append(kept, e)
			if len(ended) < maxListedEnds {
				ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
			}
		}
	}
	l.ended = kept
	for task, r := range l.running {
		percent := 0
		switch {
		case !r.endsAt.IsZero():
			percent = int(100 * now.Sub(r.startedAt) / r.endsAt.Sub(r.startedAt))
		case now.Sub(r.startedAt) > startupTime:
			percent = 100
		}
		running = append(running, []any{task, r.run, "", percent, 1000})
	}
	return map[string]any{"running": running, "ended": ended}
}
