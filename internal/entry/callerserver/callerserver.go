// Package callerserver serves callers on an entry: it forwards requests to
// services and manages runs of jobs.
package callerserver

import (
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"

	"knapweedspur/internal/config/configcataloger"
	"knapweedspur/internal/entry/runserver"
)

// Server serves callers. Set the exported fields before calling Handler.
type Server struct {
	// Forward handles requests to services.
	Forward http.Handler
	// Runs handles requests about runs.
	Runs *runserver.Server
	// Catalog holds the declarations.
	Catalog *configcataloger.Cataloger

	shuttingDown atomic.Bool
}

// StartShutdown makes the readiness check fail, so that the load balancer sends no
// more requests. Requests are still served.
func (s *Server) StartShutdown() { s.shuttingDown.Store(true) }

// Handler returns the handler of all routes.
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

// ready is the readiness check of the load balancer.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.shuttingDown.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	if s.Catalog.Current() == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
