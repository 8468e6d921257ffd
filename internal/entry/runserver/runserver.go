// Package runserver serves the HTTP API to submit, query and cancel runs of jobs.
package runserver

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"knapweedspur/internal/config/configcataloger"
	"knapweedspur/internal/entry/authorizer"
	"knapweedspur/internal/entry/schedulerdriver"
	"knapweedspur/internal/entry/summarizer"
	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/link/requestlimiter"
	"knapweedspur/internal/task/scheduler"
	"knapweedspur/internal/wire/admin"
	"knapweedspur/internal/wire/message"
)

const (
	// RunHeader names the run in the answer to a failed submission, so that the
	// caller can ask for it later.
	RunHeader = "Knapweedspur-Run"

	// recordTimeout bounds the wait until a record is read back from the log.
	recordTimeout = 10 * time.Second
	// maxSubmissionBytes is the largest size of a submission.
	maxSubmissionBytes = 16 << 10
	// maxRunNameLength is the longest name of a run, in bytes.
	maxRunNameLength = 128
)

// Server handles requests about runs. Set the exported fields before calling
// Register.
type Server struct {
	// Driver appends records about runs and has their state.
	Driver *schedulerdriver.Driver
	// Catalog holds the declarations.
	Catalog *configcataloger.Cataloger
	// Authorizer checks the token of cancellations.
	Authorizer *authorizer.Authorizer
}

// Register adds the routes below a path prefix.
func (s *Server) Register(r *mux.Router, prefix string) {
	r.HandleFunc(prefix, s.submit).Methods(http.MethodPost)
	r.HandleFunc(prefix+"/{run}", s.get).Methods(http.MethodGet)
	r.Handle(prefix+"/{run}", s.Authorizer.Wrap(http.HandlerFunc(s.cancel))).Methods(http.MethodDelete)
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	var submission admin.Submission
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSubmissionBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&submission); errors.Is(err, requestlimiter.ErrOverBudget) {
		requestlimiter.BodyError(err).WriteResponse(w)
		return
	} else if err != nil {
		invalidError("the submission is not JSON with job, run and who: " + err.Error()).WriteResponse(w)
		return
	}
	spec := s.Catalog.Current().Job(submission.Job)
	if spec == nil {
		(&verdict.Error{Verdict: verdict.Unrun, Cause: verdict.NotFound, Reason: "no job " + strconv.Quote(submission.Job) + " is declared"}).WriteResponse(w)
		return
	}
	if len(submission.Run) > maxRunNameLength {
		invalidError("the name of a run has at most 128 characters").WriteResponse(w)
		return
	}
	if submission.Run == "" {
		submission.Run = submission.Job + "-" + rand.Text()[:12]
	}
	record := &message.Submit{
		Run: submission.Run, Job: submission.Job, Team: spec.Team, Who: submission.Who, Tasks: spec.Tasks, Size: spec.Size,
		ExpectedDuration: spec.ExpectedDuration, Urgent: spec.Urgent, Evictable: spec.AllowEvict,
	}
	ctx, cancel := context.WithTimeout(r.Context(), recordTimeout)
	defer cancel()
	e := s.Driver.AppendAndWait(ctx, message.Record{Submit: record}, func(other *message.Record) bool {
		return other.Submit != nil && other.Submit.Run == record.Run
	})
	if e != nil {
		w.Header().Set(RunHeader, submission.Run)
		e.WriteResponse(w)
		return
	}
	s.writeRun(w, submission.Run, http.StatusCreated)
}

func invalidError(reason string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Invalid, Reason: reason}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.writeRun(w, mux.Vars(r)["run"], http.StatusOK)
}

// writeRun sends the state of a run.
func (s *Server) writeRun(w http.ResponseWriter, name string, status int) {
	var run *admin.Run
	ready := s.Driver.Read(func(k *scheduler.Scheduler) { run = summarizer.Run(k, name) })
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

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["run"]
	ctx, cancel := context.WithTimeout(r.Context(), recordTimeout)
	defer cancel()
	record := &message.Cancel{Run: name, Who: r.URL.Query().Get("who")}
	e := s.Driver.AppendAndWait(ctx, message.Record{Cancel: record}, func(other *message.Record) bool {
		return other.Cancel != nil && other.Cancel.Run == name
	})
	if e != nil {
		e.WriteResponse(w)
		return
	}
	s.writeRun(w, name, http.StatusOK)
}
