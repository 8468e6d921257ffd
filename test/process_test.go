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

func (s *stage) startEntry(i int) {
	s.t.Helper()
	p := &entryProcess{host: s.net.host(fmt.Sprintf("entry-%d", i)), gate: &gate{}}
	settings := &entrybuilder.Settings{
		Listen: address(callersNet, i), Control: address(controlNet, i), Domain: domains[i%3], Region: "main", Insecure: true,
		Peers: s.controls(),
		Hold:  hold, Suspect: suspect, Beat: beat, Group: 20 * time.Millisecond, Pace: 50 * time.Millisecond, Grace: 30 * time.Second, Settle: 3 * time.Second,
		Routing: "sampled", Placement: "spread", SnapshotEvery: time.Minute, SnapshotRecords: 100,
	}
	platform := entrybuilder.Platform{Log: gatedLog{s.log, p.gate}, Network: p.host}
	app := fx.New(entrybuilder.Options(settings, logger(p.host.name), platform), fx.Populate(&p.Entry), fx.NopLogger)
	if err := app.Err(); err != nil {
		s.t.Fatal(err)
	}
	if err := p.Start(context.Background()); err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[i] = p
}

func (s *stage) startVM(i int, service string) {
	name := fmt.Sprintf("vm-%d", i)
	v := &vmProcess{
		name: name, service: service,
		worker: &workeremulator.Worker{VM: name, Size: message.Size{Millicores: 16000, Memory: 60 << 30}, TaskDurations: map[string]time.Duration{
			"proofs": 20 * time.Second, "season": 30 * time.Second, "quick": time.Second,
		}},
		upstream: &upstreamemulator.Upstream{ServiceTime: 5 * time.Millisecond, Jitter: 0.5},
	}
	v.worker.Boot(time.Now())
	s.vms[i] = v
	upstreamHost := s.net.host("upstream-" + name)
	listener, err := upstreamHost.Listen(address(upstreamNet, i))
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: v.upstream.Handler()}
	go func() { _ = server.Serve(listener) }()
	s.startAgent(i)
}

func (s *stage) startAgent(i int) {
	v := s.vms[i]
	v.host = s.net.host(fmt.Sprintf("agent-%d", i))
	v.gate = &gate{}
	settings := &agentbuilder.Settings{
		Entries: s.controls(), VM: v.name, Rack: fmt.Sprintf("rack-%d", i/3), Domain: domains[i%3], Service: v.service,
		Upstream: address(upstreamNet, i), Insecure: true, Links: 3, Beat: beat, Probe: time.Second, Grace: 30 * time.Second,
	}
	platform := agentbuilder.Dependencies{
		Upstream: &upstreamclient.HTTP{Address: settings.Upstream, Client: upstreamclient.NewClient(connector.NewTransport(v.host))},
		Worker:   gatedWorker{v.worker, v.gate}, Network: v.host,
	}
	app := fx.New(agentbuilder.Options(settings, logger(v.host.name), platform), fx.Populate(&v.agent), fx.NopLogger)
	if err := app.Err(); err != nil {
		s.t.Fatal(err)
	}
	if err := v.agent.Start(context.Background()); err != nil {
		s.t.Fatal(err)
	}
}

// killEntry ends an entry as SIGKILL does.
func (s *stage) killEntry(i int) {
	s.mu.Lock()
	p := s.entries[i]
	delete(s.entries, i)
	s.mu.Unlock()
	s.reapEntry(p)
}

func (s *stage) reapEntry(p *entryProcess) {
	p.host.kill()
	p.gate.kill()
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	_ = p.Stop(gone)
}

// killAgent ends an agent as SIGKILL does; the worker and upstream go on.
func (s *stage) killAgent(i int) {
	v := s.vms[i]
	v.host.kill()
	v.gate.kill()
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	_ = v.agent.Stop(gone)
	v.agent = nil
}

// killVM ends a whole VM.
func (s *stage) killVM(i int) {
	s.vms[i].worker.Kill(time.Now())
	s.killAgent(i)
}

// killUpstream ends the upstream of a VM.
func (s *stage) killUpstream(i int) {
	s.net.mu.Lock()
	l := s.net.listeners[address(upstreamNet, i)]
	s.net.mu.Unlock()
	if l != nil {
		l.host.kill()
	}
}

// alive returns the entries that run.
func (s *stage) alive() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.entries))
}

// freeze stops a process from doing anything that others see.
func (s *stage) freeze(name string, on bool) {
	others := []string{"callers"}
	for i := range s.entries {
		others = append(others, fmt.Sprintf("entry-%d", i))
		if s.entries[i].host.name == name {
			s.entries[i].gate.freeze(on)
		}
	}
	for i, v := range s.vms {
		others = append(others, fmt.Sprintf("agent-%d", i), "upstream-"+v.name)
		if v.host.name == name {
			v.gate.freeze(on)
		}
	}
	for _, other := range others {
		s.net.cutOff(name, other, on)
		s.net.cutOff(other, name, on)
	}
}

// cut cuts agent 0 and an entry off from each other.
func (s *stage) cut(entry int, on bool) {
	a, b := "agent-0", fmt.Sprintf("entry-%d", entry)
	s.net.cutOff(a, b, on)
	s.net.cutOff(b, a, on)
}

func (s *stage) close() {
	for _, i := range s.alive() {
		s.killEntry(i)
	}
	for i, v := range s.vms {
		if v.agent != nil {
			s.killAgent(i)
		}
		v.worker.Kill(time.Now())
	}
	s.net.mu.Lock()
	var hosts []*host
	for _, l := range s.net.listeners {
		hosts = append(hosts, l.host)
	}
	s.net.mu.Unlock()
	for _, h := range hosts {
		h.kill()
	}
}
