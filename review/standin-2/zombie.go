package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// gate stands between one entry and the platform's log, and may turn the entry away.
type gate struct {
	log  http.Handler
	busy atomic.Bool
}

// ServeHTTP serves a call, or answers 503: nothing was done.
func (g *gate) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if g.busy.Load() {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.log.ServeHTTP(rw, r)
}

// addGates gives each entry a gate of its own.
func (f *fleet) addGates() error {
	for i := range entryCount {
		g := &gate{log: logHandler(f.log)}
		f.gates = append(f.gates, g)
		if err := f.serve(f.address(4, i), g); err != nil {
			return err
		}
	}
	return nil
}

// leads reports whether an entry says in its metrics that it leads.
func (f *fleet) leads(entry int) bool {
	client := http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/", f.ip(1, entry), firstPort+11))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var metrics struct {
		Epoch int64 `json:"leading_epoch"`
	}
	return json.NewDecoder(resp.Body).Decode(&metrics) == nil && metrics.Epoch != 0
}

// leader returns the entry that leads, and false if none does in time.
func (f *fleet) leader() (int, bool) {
	found := -1
	waitUntil(readyTimeout, func() bool {
		for i := range entryCount {
			if f.leads(i) {
				found = i
				return true
			}
		}
		return false
	})
	return found, found >= 0
}

// roll stops an entry as planned and starts it again once it has ended.
func (f *fleet) roll(entry int) {
	f.mu.Lock()
	p := f.entries[entry]
	f.mu.Unlock()
	f.note("front-%d: SIGTERM", entry)
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended already
	go func() {
		<-p.ended
		f.note("front-%d: ended, starts again", entry)
		if err := f.startEntry(entry); err != nil {
			f.note("front-%d does not start: %v", entry, err)
		}
	}()
}

const (
	// busyTime is how long the log turns the leader away, submitAge the age of that at
	// which the submission comes, cancelAge that at which the client cancels.
	busyTime  = 7 * time.Second
	submitAge = 750 * time.Millisecond
	cancelAge = 5 * time.Second
	// rollGap is the time between two planned stops.
	rollGap = 1300 * time.Millisecond
	// cancelTime is the bound cancel_ms.
	cancelTime = 3 * time.Second
	// watchTime is for how long after the last planned stop the workers are watched.
	watchTime = 20 * time.Second
)

// playZombie submits a submission to the entry that leads while the log turns that away,
// and cancels it at another one. Later the other entries are stopped and started in turn.
func playZombie(f *fleet, trouble bool) (string, error) {
	if err := f.addGates(); err != nil {
		return "", err
	}
	if err := f.startReady(); err != nil {
		return "", err
	}
	first, ok := f.leader()
	if !ok {
		return "", fmt.Errorf("no entry leads")
	}
	second, third := (first+1)%entryCount, (first+2)%entryCount
	begin := time.Now()
	f.note("front-%d leads", first)
	f.gates[first].busy.Store(trouble)
	time.Sleep(submitAge)
	id := lastingID(0)
	body := `{"spec":"work","steps":[{"count":1,"cpu":500,"memMb":1000,"estDurationMs":500,"longRunning":true}]}`
	f.send(first, http.MethodPost, id, body)
	time.Sleep(cancelAge - time.Since(begin))
	status, _ := f.send(second, http.MethodDelete, id, "")
	canceled := time.Now()
	if status != http.StatusOK && status != http.StatusGone {
		return "", fmt.Errorf("the cancellation got status %d", status)
	}
	time.Sleep(busyTime - time.Since(begin))
	f.gates[first].busy.Store(false)
	f.note("the log serves front-%d again", first)
	time.Sleep(contactTime)
	f.send(third, http.MethodGet, id, "")
	if trouble {
		f.roll(second)
		time.Sleep(rollGap)
		f.roll(third)
	}
	started := waitUntil(watchTime, func() bool { return time.Since(canceled) > cancelTime && f.runsNow(id) })
	if !started {
		return "", nil
	}
	age := time.Since(canceled)
	time.Sleep(cancelTime)
	return fmt.Sprintf("UNASKED: a task of a submission runs %s after its cancellation was acknowledged with %d; it is %q", age.Round(time.Millisecond), status, f.state(first, id)), nil
}
