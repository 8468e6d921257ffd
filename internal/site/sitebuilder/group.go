package sitebuilder

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/link/connector"
	"knapweedspur/internal/link/requestlimiter"
)

// serverGroup is the HTTP servers of a process.
type serverGroup struct {
	logger  hclog.Logger
	limiter *requestlimiter.Limiter
	servers []*http.Server
}

// serve starts a server at an address, unless the address is not set.
func (g *serverGroup) serve(network connector.Connector, address netip.AddrPort, endpoint requestlimiter.Endpoint) error {
	if !address.IsValid() {
		return nil
	}
	listener, err := network.Listen(address)
	if err != nil {
		return err
	}
	server, listener := g.limiter.NewServer(listener, endpoint)
	g.servers = append(g.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.logger.Error("HTTP server stopped with an error", "address", address.String(), "error", err.Error())
		}
	}()
	return nil
}

// stop shuts the servers down. Open requests may take at most the limit.
func (g *serverGroup) stop(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range g.servers {
		wg.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				g.logger.Warn("open requests cut off at shutdown", "error", err.Error())
			}
		})
	}
	wg.Wait()
}

const (
	// mainShare is the part of the budget of requests in progress that is kept for each
	// listener that others depend on, and sideShare for each other one.
	mainShare, sideShare = 0.25, 1.0 / 32
	// jobFactor is how many bytes an entry holds for a byte of a job: the body, the decoded
	// steps, whose dependencies take the most, and the record.
	jobFactor = 16
	// peerFactor is the same for proposals of other entries, heartbeatFactor for heartbeats
	// of workers.
	peerFactor, heartbeatFactor = 8, 4
)

// metricsEndpoint serves the metrics of the process.
func metricsEndpoint() requestlimiter.Endpoint {
	return requestlimiter.Endpoint{Name: "metrics", Share: sideShare, Handler: expvar.Handler()}
}

// goroutineGroup runs the goroutines of a process.
type goroutineGroup struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newGoroutineGroup() *goroutineGroup {
	g := &goroutineGroup{}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

func (g *goroutineGroup) run(f func(context.Context)) { g.wg.Go(func() { f(g.ctx) }) }

// stop cancels the context of all goroutines and waits until they return.
func (g *goroutineGroup) stop() {
	g.cancel()
	g.wg.Wait()
}
