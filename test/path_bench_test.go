package test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/fx"

	"knapweedspur/internal/agent/agentbuilder"
	"knapweedspur/internal/client/upstreamclient"
	"knapweedspur/internal/entry/entrybuilder"
	"knapweedspur/internal/link/connector"
	"knapweedspur/internal/standin/logemulator"
	"knapweedspur/internal/standin/upstreamemulator"
	"knapweedspur/internal/wire/message"
)

// BenchmarkPath compares requests through entry and agent, in one process over
// loopback, with the same requests to the upstream directly.
func BenchmarkPath(b *testing.B) {
	upstream := httptest.NewServer((&upstreamemulator.Upstream{}).Handler())
	defer upstream.Close()
	target := startEntryAndAgent(b, netip.MustParseAddrPort(upstream.Listener.Addr().String()))
	b.Run("direct", func(b *testing.B) { sendRequests(b, upstream.URL+"/check") })
	b.Run("through", func(b *testing.B) { sendRequests(b, "http://"+target.String()+"/thumbnails/check") })
}

// sendRequests sends GET requests from parallel clients for the benchmark's
// duration.
func sendRequests(b *testing.B, url string) {
	client := &http.Client{Transport: connector.NewTransport(connector.HostNetwork{})}
	b.SetParallelism(1)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := client.Get(url)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Errorf("status %s", resp.Status)
				return
			}
		}
	})
}

// startEntryAndAgent starts an entry and an agent in front of the upstream, and
// returns the entry's address once a request succeeds.
func startEntryAndAgent(b *testing.B, upstream netip.AddrPort) netip.AddrPort {
	b.Helper()
	network := connector.HostNetwork{}
	settings := &entrybuilder.Settings{
		Listen: netip.MustParseAddrPort("127.0.0.1:18911"), Control: netip.MustParseAddrPort("127.0.0.1:18912"), Domain: "alpha", Region: "main",
		Hold: holdTime, Suspect: suspectTime, Beat: heartbeatInterval, Routing: "sampled", Placement: "spread", SnapshotEvery: time.Hour, SnapshotRecords: 1 << 20,
	}
	var entry *entrybuilder.Entry
	app := fx.New(entrybuilder.Options(settings, logger("entry"), entrybuilder.Dependencies{Log: &logemulator.Log{}, Network: network}), fx.Populate(&entry), fx.NopLogger)
	if err := app.Err(); err != nil {
		b.Fatal(err)
	}
	if err := entry.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	agentSettings := &agentbuilder.Settings{
		Entries: []netip.AddrPort{settings.Control}, VM: "vm-1", Rack: "r", Domain: "alpha", Service: "thumbnails", Upstream: upstream,
		Links: 3, Beat: heartbeatInterval, Probe: time.Second,
	}
	platform := agentbuilder.Dependencies{Upstream: &upstreamclient.HTTP{Address: upstream, Client: upstreamclient.NewClient(connector.NewTransport(network))}, Network: network}
	var agent *agentbuilder.Agent
	app = fx.New(agentbuilder.Options(agentSettings, logger("agent"), platform), fx.Populate(&agent), fx.NopLogger)
	if err := app.Err(); err != nil {
		b.Fatal(err)
	}
	if err := agent.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = agent.Stop(canceled)
		_ = entry.Stop(canceled)
	})
	publishTo(b, settings.Control, &message.Change{ID: "bench", Who: "bench", Edits: []message.Edit{{Name: "thumbnails", Body: declarations["thumbnails"]}}})
	for range 100 {
		resp, err := http.Get("http://" + settings.Listen.String() + "/thumbnails/check")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return settings.Listen
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatal("no request through entry and agent succeeded in 100 attempts")
	return netip.AddrPort{}
}
