package workeremulator

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"knapweedspur/internal/client/workerclient"
)

// Handler serves the worker's calls and its history over HTTP.
func (w *Worker) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/history", w.serveHistory).Methods(http.MethodGet)
	router.HandleFunc("/{call}", w.serveCall).Methods(http.MethodPost)
	return router
}

func (w *Worker) serveHistory(rw http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(rw).Encode(w.History(time.Now()))
}

func (w *Worker) serveCall(rw http.ResponseWriter, req *http.Request) {
	var call workerclient.Call
	if err := json.NewDecoder(req.Body).Decode(&call); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	status, err := w.dispatch(req, call)
	switch {
	case errors.Is(err, workerclient.ErrSuperseded):
		http.Error(rw, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(rw, err.Error(), http.StatusServiceUnavailable)
	default:
		_ = json.NewEncoder(rw).Encode(status)
	}
}

func (w *Worker) dispatch(req *http.Request, call workerclient.Call) (workerclient.Status, error) {
	ctx := req.Context()
	switch req.URL.Path {
	case workerclient.PathClaim:
		return w.Claim(ctx, call.Agent)
	case workerclient.PathWatch:
		return w.Watch(ctx, call.Agent, call.Revision, call.Wait)
	case workerclient.PathExtend:
		return workerclient.Status{}, w.Extend(ctx, call.Agent, call.Until)
	case workerclient.PathForget:
		return workerclient.Status{}, w.Forget(ctx, call.Agent, call.Names)
	case workerclient.PathStart:
		if call.Task != nil {
			return workerclient.Status{}, w.Start(ctx, call.Agent, *call.Task)
		}
	case workerclient.PathStop:
		if len(call.Names) == 1 {
			return workerclient.Status{}, w.Stop(ctx, call.Agent, call.Names[0], call.Checkpoint)
		}
	}
	return workerclient.Status{}, errors.New("unknown call " + req.URL.Path)
}
