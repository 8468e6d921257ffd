package logemulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"knapweedspur/internal/client/logclient"
	"knapweedspur/internal/wire/codec"
)

const (
	maxValueBytes = 4 << 20
	maxWait       = 30 * time.Second
)

// Handler returns the log over HTTP.
func (l *Log) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/streams/{stream}", l.serveAppend).Methods(http.MethodPost)
	r.HandleFunc("/streams/{stream}", l.serveRead).Methods(http.MethodGet)
	r.HandleFunc("/faults", l.serveFaults).Methods(http.MethodPost)
	r.HandleFunc("/totals", l.serveTotals).Methods(http.MethodGet)
	return r
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, err := l.Append(r.Context(), mux.Vars(r)["stream"], value)
	switch {
	case errors.Is(err, logclient.ErrRefused):
		http.Error(w, "too many appends", http.StatusTooManyRequests)
	case errors.Is(err, ErrResponseLost):
		// To the client, a broken connection is a lost response.
		panic(http.ErrAbortHandler)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		fmt.Fprint(w, offset)
	}
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not an offset", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait < 0 || wait > maxWait {
		http.Error(w, "wait is not a time up to 30s", http.StatusBadRequest)
		return
	}
	page, err := l.Read(r.Context(), mux.Vars(r)["stream"], from, wait)
	var truncated *logclient.TruncatedError
	if errors.As(err, &truncated) {
		w.WriteHeader(http.StatusGone)
		fmt.Fprint(w, truncated.OldestOffset)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	data, err := codec.Encode(&page)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}

func (l *Log) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(f)
}

func (l *Log) serveTotals(w http.ResponseWriter, _ *http.Request) {
	appends, bytes := l.Totals()
	_ = json.NewEncoder(w).Encode(map[string]int{"appends": appends, "bytes": bytes})
}
