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

// serve takes requests at an address.
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
			g.logger.Error("server ended", "address", address.String(), "error", err.Error())
		}
	}()
	return nil
}

// stop lets requests end, at most for a time.
func (g *serverGroup) stop(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var group sync.WaitGroup
	for _, s := range g.servers {
		group.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				g.logger.Warn("requests cut off at the end", "error", err.Error())
			}
		})
	}
	group.Wait()
}

// metricsHandler serves the metrics of the process.
func metricsHandler() http.Handler { return expvar.Handler() }

// taskGroup is the goroutines of a process.
type taskGroup struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

func newTaskGroup() *taskGroup {
	g := &taskGroup{}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

func (g *taskGroup) run(f func(context.Context)) { g.group.Go(func() { f(g.ctx) }) }

// stop ends all goroutines and waits for them.
func (g *taskGroup) stop() {
	g.cancel()
	g.group.Wait()
}
