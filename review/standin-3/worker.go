package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// leaseLimit is holdMaxMs, stopTime at most stopMs.
	leaseLimit = 6 * time.Second
	stopTime   = 100 * time.Millisecond
	// listedEnds is how many ends a list holds at most.
	listedEnds = 500
	// tick is how often the worker looks at its runs.
	tick = 5 * time.Millisecond
	// listenTimeout is how long a new process waits for its address.
	listenTimeout = time.Second
)

// worker is a stand-in of a worker: it runs tasks under a lease as PROTOCOL.md says.
type worker struct {
	name, control, address, zone string
	labels                       []string
	millicores, memory           int
	beat                         time.Duration
	// duration returns how long a task takes.
	duration func(task string) time.Duration
	record   *recorder
	// advisor issues the tickets without which no step of a queue with advice starts.
	advisor *advisor

	mu       sync.Mutex
	life     int
	born     time.Time
	up       bool
	fence    int64
	leaseEnd time.Duration
	running  map[string]*run
	stopped  map[string]int
	ends     []end
	lastEnd  int64
	seen     int64
	sequence int64
	server   *http.Server
}

type run struct {
	number        int
	began, doneAt time.Time
	stopAt        time.Time
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	UntilMs  int64  `json:"untilMs"`
	Fence    int64  `json:"fence"`
	Ticket   string `json:"ticket"`
	SeenUpto int64  `json:"seenUpto"`
	WaitMs   int64  `json:"waitMs"`
}

func (w *worker) id() string { return fmt.Sprintf("i-%s-%d", w.name, w.life) }

func (w *worker) clock(now time.Time) time.Duration { return now.Sub(w.born) }

// start starts a process of the worker, which knows nothing of earlier ones.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	for since := time.Now(); err != nil && time.Since(since) < listenTimeout; listener, err = net.Listen("tcp", w.address) {
		time.Sleep(tick)
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	w.born, w.up, w.fence, w.leaseEnd = time.Now(), true, 0, 0
	w.running, w.stopped, w.ends, w.lastEnd, w.seen, w.sequence = map[string]*run{}, map[string]int{}, nil, 0, 0, 0
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go func(server *http.Server) { _ = server.Serve(listener) }(w.server) // ends when the process does
	go w.work(w.life)
	go w.sendHeartbeats(w.life)
	return nil
}

// crash ends the process: its connections end, and its address refuses new ones.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	_ = w.server.Close() // the process is gone
	for task, r := range w.running {
		w.record.ended(w.id(), task, r.number, "crashed")
	}
	w.running = map[string]*run{}
}

func (w *worker) isLife(life int) bool { return w.up && w.life == life }

// work ends the runs that are done, stopped or out of their lease.
func (w *worker) work(life int) {
	for {
		time.Sleep(tick)
		w.mu.Lock()
		if !w.isLife(life) {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		for task, r := range w.running {
			switch {
			case w.clock(now) > w.leaseEnd:
				w.endRun(task, r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				w.endRun(task, r, "stopped")
			case now.After(r.doneAt):
				w.endRun(task, r, "done")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) endRun(task string, r *run, how string) {
	delete(w.running, task)
	w.stopped[task] = max(w.stopped[task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, task, r.number, how})
	w.record.ended(w.id(), task, r.number, how)
}

func (w *worker) sendHeartbeats(life int) {
	client := &http.Client{Timeout: time.Second}
	for {
		w.mu.Lock()
		if !w.isLife(life) {
			w.mu.Unlock()
			return
		}
		w.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": "pool", "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]int{"cpu": w.millicores, "memMb": w.memory, "gpu": 0}, "labels": w.labels,
			"clockMs": w.clock(time.Now()).Milliseconds(), "seq": w.sequence, "born": w.born.UnixMilli(),
		}) // plain values have an encoding
		url := "http://" + w.control + "/-/instances/" + w.id() + "/heartbeat"
		w.mu.Unlock()
		pause := w.beat
		if resp, err := client.Post(url, "application/json", strings.NewReader(string(body))); err == nil {
			_ = resp.Body.Close()
		} else {
			pause = w.beat / 5 // nobody took it
		}
		time.Sleep(pause)
	}
}

// ServeHTTP handles a call of the agent.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	life := w.life
	w.mu.Unlock()
	if r.URL.Path == "/-/hold" {
		w.waitForEnd(life, time.Duration(o.WaitMs)*time.Millisecond)
	}
	w.mu.Lock()
	if !w.isLife(life) {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, body := w.execute(r.Header.Get("X-Expected-Instance"), r.URL.Path, &o, time.Now())
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(body) // the agent may be gone
}

// waitForEnd delays the answer to a hold until there is an end to list.
func (w *worker) waitForEnd(life int, limit time.Duration) {
	for since := time.Now(); time.Since(since) < limit; time.Sleep(tick) {
		w.mu.Lock()
		ready := len(w.ends) > 0 || !w.isLife(life)
		w.mu.Unlock()
		if ready {
			return
		}
	}
}

// execute carries out a call and returns the status and the body of the answer.
func (w *worker) execute(instance, path string, o *order, now time.Time) (int, []byte) {
	answer := map[string]any{"clockMs": w.clock(now).Milliseconds()}
	reply := func(status int) (int, []byte) {
		body, _ := json.Marshal(answer) // plain values have an encoding
		return status, body
	}
	if instance != "" && instance != w.id() {
		return reply(http.StatusMisdirectedRequest)
	}
	if o.Fence < w.fence {
		answer["reason"] = "fence"
		return reply(http.StatusConflict)
	}
	w.fence = o.Fence
	switch path {
	case "/-/run-start":
		if reason := w.startRun(o, now); reason != "" {
			answer["reason"] = reason
			return reply(http.StatusConflict)
		}
	case "/-/run-stop":
		if r := w.running[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
			r.stopAt = now.Add(stopTime)
		}
		w.stopped[o.Task] = max(w.stopped[o.Task], o.Run)
	case "/-/hold":
		w.extend(o.UntilMs, now)
		w.seen = max(w.seen, o.SeenUpto)
		w.ends = slices.DeleteFunc(w.ends, func(e end) bool {
			if e.number <= w.seen {
				w.record.noted(w.id(), e.task, e.run, e.how)
			}
			return e.number <= w.seen
		})
		answer["born"], answer["running"], answer["ended"] = w.born.UnixMilli(), w.listRunning(now), w.listEnds()
	case "/-/pace":
	default:
		return reply(http.StatusNotFound)
	}
	return reply(http.StatusOK)
}

func (w *worker) extend(untilMs int64, now time.Time) {
	w.leaseEnd = max(w.leaseEnd, min(time.Duration(untilMs)*time.Millisecond, w.clock(now)+leaseLimit))
}

// startRun starts a run, or returns why not.
func (w *worker) startRun(o *order, now time.Time) string {
	current := w.running[o.Task]
	if current != nil && current.number == o.Run {
		w.extend(o.UntilMs, now)
		return ""
	}
	if current != nil || w.stopped[o.Task] >= o.Run {
		w.extend(o.UntilMs, now)
		return "old"
	}
	if time.Duration(o.UntilMs)*time.Millisecond <= w.clock(now) {
		return "late"
	}
	// A submission that was handed in to the queue with advice has a ticket.
	if o.Ticket != "" && !w.advisor.valid(o.Ticket, w.id(), o.Task[:strings.LastIndex(o.Task, ".")]) {
		return "ticket"
	}
	w.extend(o.UntilMs, now)
	w.running[o.Task] = &run{number: o.Run, began: now, doneAt: now.Add(w.duration(o.Task))}
	w.record.started(w.id(), o.Task, o.Run)
	return ""
}

func (w *worker) listRunning(now time.Time) [][]any {
	rows := [][]any{}
	for task, r := range w.running {
		percent := int(100 * now.Sub(r.began) / max(r.doneAt.Sub(r.began), time.Millisecond))
		rows = append(rows, []any{task, r.number, "", min(percent, 99), 100})
	}
	return rows
}

// listEnds lists the first ends of those that were not taken note of.
func (w *worker) listEnds() [][]any {
	rows := [][]any{}
	for _, e := range w.ends[:min(len(w.ends), listedEnds)] {
		rows = append(rows, []any{e.number, e.task, e.run, e.how, ""})
	}
	return rows
}
