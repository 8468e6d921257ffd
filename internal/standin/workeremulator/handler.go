package workeremulator

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"knapweedspur/internal/client/workerclient"
)

// Handler returns the worker over HTTP.
func (r *Worker) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/history", r.serveHistory).Methods(http.MethodGet)
	router.HandleFunc("/{call}", r.serveCall).Methods(http.MethodPost)
	return router
}

func (r *Worker) serveHistory(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(r.History(time.Now()))
}

func (r *Worker) serveCall(w http.ResponseWriter, req *http.Request) {
	var call workerclient.Call
	if err := json.NewDecoder(req.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	status, err := r.dispatch(req, call)
	switch {
	case errors.Is(err, workerclient.ErrSuperseded):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		_ = json.NewEncoder(w).Encode(status)
	}
}

func (r *Worker) dispatch(req *http.Request, c workerclient.Call) (workerclient.Status, error) {
	ctx := req.Context()
	switch req.URL.Path {
	case workerclient.PathTake:
		return r.Take(ctx, c.Agent)
	case workerclient.PathWatch:
		return r.Watch(ctx, c.Agent, c.Revision, c.Wait)
	case workerclient.PathExtend:
		return workerclient.Status{}, r.Extend(ctx, c.Agent, c.Until)
	case workerclient.PathForget:
		return workerclient.Status{}, r.Forget(ctx, c.Agent, c.Names)
	case workerclient.PathStart:
		if c.Task != nil {
			return workerclient.Status{}, r.Start(ctx, c.Agent, *c.Task)
		}
	case workerclient.PathStop:
		if len(c.Names) == 1 {
			return workerclient.Status{}, r.Stop(ctx, c.Agent, c.Names[0], c.Checkpoint)
		}
	}
	return workerclient.Status{}, errors.New("unknown call " + req.URL.Path)
}
