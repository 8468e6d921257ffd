package test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"knapweedspur/internal/client/logclient"
	"knapweedspur/internal/client/workerclient"
)

// gate intercepts calls of one process to the log and the worker. While
// the process is frozen, its calls block and proceed when it thaws; once it is
// killed, they fail.
type gate struct {
	mu     sync.Mutex
	thawed chan struct{}
	killed bool
}

var errKilled = fmt.Errorf("process was killed")

// awaitThaw blocks while the process is frozen, and fails if it was killed.
func (g *gate) awaitThaw() error {
	g.mu.Lock()
	thawed, killed := g.thawed, g.killed
	g.mu.Unlock()
	if killed {
		return errKilled
	}
	if thawed == nil {
		return nil
	}
	<-thawed
	return g.awaitThaw()
}

func (g *gate) setFrozen(frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if frozen && g.thawed == nil {
		g.thawed = make(chan struct{})
	}
	if !frozen && g.thawed != nil {
		close(g.thawed)
		g.thawed = nil
	}
}

func (g *gate) kill() {
	g.mu.Lock()
	g.killed = true
	g.mu.Unlock()
	g.setFrozen(false)
}

// gatedLog is the log as a process that can be frozen or killed reaches it.
type gatedLog struct {
	logclient.Log
	gate *gate
}

func (l gatedLog) Append(ctx context.Context, stream string, value []byte) (uint64, error) {
	if err := l.gate.awaitThaw(); err != nil {
		return 0, err
	}
	return l.Log.Append(ctx, stream, value)
}

func (l gatedLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (logclient.Page, error) {
	if err := l.gate.awaitThaw(); err != nil {
		return logclient.Page{}, err
	}
	page, err := l.Log.Read(ctx, stream, from, wait)
	if err := l.gate.awaitThaw(); err != nil {
		return logclient.Page{}, err
	}
	return page, err
}

// gatedWorker is the worker as a process that can be frozen or killed reaches it.
// Claim, Stop and Forget are not intercepted.
type gatedWorker struct {
	workerclient.Worker
	gate *gate
}

func (w gatedWorker) Watch(ctx context.Context, agent string, revision int, wait time.Duration) (workerclient.Status, error) {
	if err := w.gate.awaitThaw(); err != nil {
		return workerclient.Status{}, err
	}
	status, err := w.Worker.Watch(ctx, agent, revision, wait)
	if err := w.gate.awaitThaw(); err != nil {
		return workerclient.Status{}, err
	}
	return status, err
}

func (w gatedWorker) Extend(ctx context.Context, agent string, until time.Duration) error {
	if err := w.gate.awaitThaw(); err != nil {
		return err
	}
	return w.Worker.Extend(ctx, agent, until)
}

func (w gatedWorker) Start(ctx context.Context, agent string, t workerclient.Task) error {
	if err := w.gate.awaitThaw(); err != nil {
		return err
	}
	return w.Worker.Start(ctx, agent, t)
}
