package test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"go.uber.org/fx"

	"knapweedspur/internal/agent/agentbuilder"
	"knapweedspur/internal/client/upstreamclient"
	"knapweedspur/internal/entry/entrybuilder"
	"knapweedspur/internal/link/connector"
	"knapweedspur/internal/standin/upstreamemulator"
	"knapweedspur/internal/standin/workeremulator"
	"knapweedspur/internal/wire/message"
)

func (c *cluster) startEntry(i int) {
	c.t.Helper()
	p := &entryProcess{host: c.net.host(fmt.Sprintf("entry-%d", i)), gate: &gate{}}
	settings := &entrybuilder.Settings{
		Listen: address(callersNet, i), Control: address(controlNet, i), Domain: domains[i%3], Region: "main", Insecure: true,
		Peers: c.controlAddresses(),
		Hold:  holdTime, Suspect: suspectTime, Beat: heartbeatInterval, Group: 20 * time.Millisecond, Pace: 50 * time.Millisecond, Grace: 30 * time.Second, Settle: 3 * time.Second,
		Routing: "sampled", Placement: "spread", SnapshotEvery: time.Minute, SnapshotRecords: 100,
	}
	dependencies := entrybuilder.Dependencies{Log: gatedLog{c.log, p.gate}, Network: p.host}
	app := fx.New(entrybuilder.Options(settings, logger(p.host.name), dependencies), fx.Populate(&p.Entry), fx.NopLogger)
	if err := app.Err(); err != nil {
		c.t.Fatal(err)
	}
	if err := p.Start(context.Background()); err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[i] = p
}

func (c *cluster) startVM(i int, service string) {
	name := fmt.Sprintf("vm-%d", i)
	v := &vmProcess{
		name: name, service: service,
		worker: &workeremulator.Worker{VM: name, Size: message.Size{Millicores: 16000, Memory: 60 << 30}, TaskDurations: map[string]time.Duration{
			"proofs": 20 * time.Second, "season": 30 * time.Second, "quick": time.Second,
		}},
		upstream: &upstreamemulator.Upstream{ServiceTime: 5 * time.Millisecond, Jitter: 0.5},
	}
	v.worker.Boot(time.Now())
	c.vms[i] = v
	upstreamHost := c.net.host("upstream-" + name)
	listener, err := upstreamHost.Listen(address(upstreamNet, i))
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: v.upstream.Handler()}
	go func() { _ = server.Serve(listener) }()
	c.startAgent(i)
}

func (c *cluster) startAgent(i int) {
	v := c.vms[i]
	v.host = c.net.host(fmt.Sprintf("agent-%d", i))
	v.gate = &gate{}
	settings := &agentbuilder.Settings{
		Entries: c.controlAddresses(), VM: v.name, Rack: fmt.Sprintf("rack-%d", i/3), Domain: domains[i%3], Service: v.service,
		Upstream: address(upstreamNet, i), Insecure: true, Links: 3, Beat: heartbeatInterval, Probe: time.Second, Grace: 30 * time.Second,
	}
	dependencies := agentbuilder.Dependencies{
		Upstream: &upstreamclient.HTTP{Address: settings.Upstream, Client: upstreamclient.NewClient(connector.NewTransport(v.host))},
		Worker:   gatedWorker{v.worker, v.gate}, Network: v.host,
	}
	app := fx.New(agentbuilder.Options(settings, logger(v.host.name), dependencies), fx.Populate(&v.agent), fx.NopLogger)
	if err := app.Err(); err != nil {
		c.t.Fatal(err)
	}
	if err := v.agent.Start(context.Background()); err != nil {
		c.t.Fatal(err)
	}
}

// killEntry ends an entry as SIGKILL does: its connections and calls fail at once.
func (c *cluster) killEntry(i int) {
	c.mu.Lock()
	p := c.entries[i]
	delete(c.entries, i)
	c.mu.Unlock()
	c.stopKilledEntry(p)
}

// stopKilledEntry cuts the process off first, so that stopping its goroutines
// has no effect that other processes see.
func (c *cluster) stopKilledEntry(p *entryProcess) {
	p.host.kill()
	p.gate.kill()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = p.Stop(canceled)
}

// killAgent ends an agent as SIGKILL does; the worker and upstream keep running.
func (c *cluster) killAgent(i int) {
	v := c.vms[i]
	v.host.kill()
	v.gate.kill()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = v.agent.Stop(canceled)
	v.agent = nil
}

// killVM ends the agent and the worker of a VM; its upstream keeps running.
func (c *cluster) killVM(i int) {
	c.vms[i].worker.Kill(time.Now())
	c.killAgent(i)
}

// killUpstream ends the upstream of a VM.
func (c *cluster) killUpstream(i int) {
	c.net.mu.Lock()
	l := c.net.listeners[address(upstreamNet, i)]
	c.net.mu.Unlock()
	if l != nil {
		l.host.kill()
	}
}

// runningEntries returns the indexes of the running entries.
func (c *cluster) runningEntries() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.entries))
}

// setFrozen freezes or thaws a process: while it is frozen, none of its traffic
// and calls reach other processes, as with SIGSTOP.
func (c *cluster) setFrozen(name string, frozen bool) {
	peers := []string{"callers"}
	for i := range c.entries {
		peers = append(peers, fmt.Sprintf("entry-%d", i))
		if c.entries[i].host.name == name {
			c.entries[i].gate.setFrozen(frozen)
		}
	}
	for i, v := range c.vms {
		peers = append(peers, fmt.Sprintf("agent-%d", i), "upstream-"+v.name)
		if v.host.name == name {
			v.gate.setFrozen(frozen)
		}
	}
	for _, peer := range peers {
		c.net.setBlocked(name, peer, frozen)
		c.net.setBlocked(peer, name, frozen)
	}
}

// partitionAgent0 blocks or unblocks traffic between agent 0 and an entry.
func (c *cluster) partitionAgent0(entry int, partitioned bool) {
	agentHost, entryHost := "agent-0", fmt.Sprintf("entry-%d", entry)
	c.net.setBlocked(agentHost, entryHost, partitioned)
	c.net.setBlocked(entryHost, agentHost, partitioned)
}

func (c *cluster) close() {
	for _, i := range c.runningEntries() {
		c.killEntry(i)
	}
	for i, v := range c.vms {
		if v.agent != nil {
			c.killAgent(i)
		}
		v.worker.Kill(time.Now())
	}
	c.net.mu.Lock()
	var hosts []*host
	for _, l := range c.net.listeners {
		hosts = append(hosts, l.host)
	}
	c.net.mu.Unlock()
	for _, h := range hosts {
		h.kill()
	}
}
