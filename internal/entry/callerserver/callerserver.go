// Package callerserver answers callers on an entry: requests to services, and runs
// of jobs.
package callerserver

import (
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"

	"knapweedspur/internal/config/configcataloger"
	"knapweedspur/internal/entry/runserver"
)

// Server answers callers. Set the exported fields before Handler.
type Server struct {
	// Forward takes requests to services.
	Forward http.Handler
	// Runs answers about runs.
	Runs *runserver.Server
	// Catalog holds the declarations.
	Catalog *configcataloger.Cataloger

	stopping atomic.Bool
}

// Stop makes the readiness check fail, so that the balancer sends no more.
func (s *Server) Stop() { s.stopping.Store(true) }

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/-/health", s.health)
	r.HandleFunc("/-/ready", s.ready)
	s.Runs.Register(r, "/-/runs")
	r.Handle("/{service}", s.Forward)
	r.PathPrefix("/{service}/").Handler(s.Forward)
	return r
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// ready tells the balancer whether to send requests here.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	if s.Catalog.Current() == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
