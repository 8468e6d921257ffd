// Package runserver answers those who submit, follow and cancel runs of jobs.
package runserver

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"knapweedspur/internal/config/configcataloger"
	"knapweedspur/internal/entry/authorizer"
	"knapweedspur/internal/entry/schedulerdriver"
	"knapweedspur/internal/entry/summarizer"
	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/task/scheduler"
	"knapweedspur/internal/wire/admin"
	"knapweedspur/internal/wire/message"
)

const (
	// RunHeader names a run whose submission failed, to ask for it later.
	RunHeader = "Knapweedspur-Run"

	// recordTimeout bounds the wait for a record to be read back.
	recordTimeout = 10 * time.Second
	// maxSubmission is the largest submission, in bytes.
	maxSubmission = 16 << 10
	// maxName is the longest name of a run.
	maxName = 128
)

// Bookkeeper answers about runs. Set the exported fields before Register.
type Server struct {
	// Driver records runs.
	Driver *schedulerdriver.Driver
	// Catalog holds the declarations.
	Catalog *configcataloger.Cataloger
	// Authorizer checks the token of who cancels.
	Authorizer *authorizer.Authorizer
}

// Register adds the routes below a prefix.
func (b *Server) Register(r *mux.Router, prefix string) {
	r.HandleFunc(prefix, b.submit).Methods(http.MethodPost)
	r.HandleFunc(prefix+"/{run}", b.follow).Methods(http.MethodGet)
	r.Handle(prefix+"/{run}", b.Authorizer.Wrap(http.HandlerFunc(b.cancel))).Methods(http.MethodDelete)
}

func (b *Server) submit(w http.ResponseWriter, r *http.Request) {
	var asked admin.Submission
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSubmission))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&asked); err != nil {
		invalid("the submission is not JSON with job, run and who: " + err.Error()).WriteResponse(w)
		return
	}
	spec := b.Catalog.Current().Job(asked.Job)
	if spec == nil {
		(&verdict.Error{Verdict: verdict.Unrun, Cause: verdict.NotFound, Reason: "no job " + strconv.Quote(asked.Job) + " is declared"}).WriteResponse(w)
		return
	}
	if len(asked.Run) > maxName {
		invalid("the name of a run has at most 128 characters").WriteResponse(w)
		return
	}
	if asked.Run == "" {
		asked.Run = asked.Job + "-" + rand.Text()[:12]
	}
	record := &message.Submit{
		Run: asked.Run, Job: asked.Job, Team: spec.Team, Who: asked.Who, Tasks: spec.Tasks, Size: spec.Size,
		ExpectedDuration: spec.ExpectedDuration, Urgent: spec.Urgent, Evictable: spec.AllowEvict,
	}
	ctx, cancel := context.WithTimeout(r.Context(), recordTimeout)
	defer cancel()
	e := b.Driver.AppendAndWait(ctx, message.Record{Submit: record}, func(other *message.Record) bool {
		return other.Submit != nil && other.Submit.Run == record.Run
	})
	if e != nil {
		w.Header().Set(RunHeader, asked.Run)
		e.WriteResponse(w)
		return
	}
	b.answer(w, asked.Run, http.StatusCreated)
}

func invalid(reason string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Invalid, Reason: reason}
}

func (b *Server) follow(w http.ResponseWriter, r *http.Request) {
	b.answer(w, mux.Vars(r)["run"], http.StatusOK)
}

// answer sends the state of a run.
func (b *Server) answer(w http.ResponseWriter, name string, status int) {
	var run *admin.Run
	ready := b.Driver.Read(func(k *scheduler.Scheduler) { run = summarizer.Run(k, name) })
	if !ready {
		(&verdict.Error{Verdict: verdict.Unrun, Cause: verdict.LogUnavailable, Reason: "this entry has not read the log yet", RetryAfter: time.Second}).WriteResponse(w)
		return
	}
	if run == nil {
		(&verdict.Error{Verdict: verdict.Unrun, Cause: verdict.NotFound, Reason: "no run " + strconv.Quote(name) + " is known"}).WriteResponse(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(run)
}

func (b *Server) cancel(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["run"]
	ctx, cancel := context.WithTimeout(r.Context(), recordTimeout)
	defer cancel()
	record := &message.Cancel{Run: name, Who: r.URL.Query().Get("who")}
	e := b.Driver.AppendAndWait(ctx, message.Record{Cancel: record}, func(other *message.Record) bool {
		return other.Cancel != nil && other.Cancel.Run == name
	})
	if e != nil {
		e.WriteResponse(w)
		return
	}
	b.answer(w, name, http.StatusOK)
}
