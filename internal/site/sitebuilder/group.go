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
)

// serverGroup is the HTTP servers of a process.
type serverGroup struct {
	logger  hclog.Logger
	servers []*http.Server
}

// serve starts a server at an address, unless the address is not set.
func (g *serverGroup) serve(network connector.Connector, address netip.AddrPort, handler http.Handler) error {
	if !address.IsValid() {
		return nil
	}
	listener, err := network.Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
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

// metricsHandler returns the handler that serves the metrics of the process.
func metricsHandler() http.Handler { return expvar.Handler() }

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
