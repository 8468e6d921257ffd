// Package placementexplainer answers where a job would go now and why, without taking
// it: whether an entry would accept it, when it would start and end, and which VMs it
// could use. The entry that leads looks into its planner; the others ask it.
package placementexplainer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/frontend/admissiondecider"
	"knapweedspur/internal/frontend/queuecataloger"
	"knapweedspur/internal/job/jobmeasurer"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/logfollower"
	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/job/roomforecaster"
	"knapweedspur/internal/link/requestlimiter"
	"knapweedspur/internal/wire/work"
)

// Path is the URL path of questions, on the address for agents and entries.
const Path = "/internal/where"

const (
	// maxBytes bounds a question and an answer.
	maxBytes = 1 << 20
	// leaderTimeout bounds the question to the leader.
	leaderTimeout = 2 * time.Second
	// newID is the ID of a job that is not sent.
	newID = "0000000000000000"
)

// Question names a job that waits by its ID, or describes a new one: the host and the
// path to which its client would send it, and the body.
type Question struct {
	ID   string          `json:"id,omitempty"`
	Host string          `json:"host,omitempty"`
	Path string          `json:"path,omitempty"`
	Body json.RawMessage `json:"body,omitempty"`
	// Forwarded is set by an entry that asks the leader.
	Forwarded bool `json:"forwarded,omitempty"`
}

// Answer is what an entry knows. All durations are in milliseconds.
type Answer struct {
	Job   string `json:"job,omitempty"`
	Queue string `json:"queue"`
	Pool  string `json:"pool"`
	// State is that of a job that was accepted, empty for another.
	State string `json:"state,omitempty"`
	// Refused says why an entry would refuse the job, and RetryAfterMs when to come
	// back; empty if it would accept it.
	Refused      string `json:"refused,omitempty"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	// StartMs and EndMs say when the job would start and end at the earliest.
	StartMs     int64 `json:"startMs"`
	EndMs       int64 `json:"endMs"`
	ObjectiveMs int64 `json:"objectiveMs"`
	UsefulMs    int64 `json:"usefulMs"`
	// ForecastAgeMs is the age of the forecast that Refused, StartMs and EndMs rest
	// on, -1 without a forecast, which means that there is room. ViewAgeMs is that of
	// the entry's view of the log.
	ForecastAgeMs int64 `json:"forecastAgeMs"`
	ViewAgeMs     int64 `json:"viewAgeMs"`
	// Leader is the entry that looked into its planner, empty if none did; Steps is
	// what it found.
	Leader string                    `json:"leader,omitempty"`
	Steps  []planner.StepExplanation `json:"steps,omitempty"`
	// Note says what is missing from the answer.
	Note string `json:"note,omitempty"`
}

// Planners gives access to the planner of this entry while it leads.
type Planners interface {
	// Inspect calls f with the planner, and reports whether this entry leads.
	Inspect(f func(p *planner.Planner, now time.Time)) bool
}

// Explainer answers questions.
type Explainer struct {
	// Name is that of this entry.
	Name      string
	Follower  *logfollower.Follower
	Planners  Planners
	FindQueue func(host, path string) (*queuecataloger.Queue, int64, error)
	// Decode decodes the body of a client.
	Decode func(body []byte) (*work.Job, error)
	// Situation returns what the view says about room.
	Situation func(now time.Time) admissiondecider.Situation
	// Client sends questions to the leader.
	Client *http.Client
	Logger hclog.Logger
}

// ServeHTTP answers a question.
func (e *Explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q Question
	switch err := json.NewDecoder(io.LimitReader(r.Body, maxBytes)).Decode(&q); {
	case errors.Is(err, requestlimiter.ErrOverBudget):
		requestlimiter.BodyError(err).WriteResponse(w)
		return
	case err != nil:
		http.Error(w, "no question: "+err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := e.answer(r.Context(), &q, time.Now())
	if err != nil {
		verdict.As(err).WriteResponse(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		e.Logger.Info("answer not sent", "error", err.Error())
	}
}

func (e *Explainer) answer(ctx context.Context, q *Question, now time.Time) (*Answer, error) {
	job, state, err := e.findJob(q)
	if err != nil {
		return nil, err
	}
	a := &Answer{Queue: job.Queue.Name, Pool: job.Queue.Pool, State: state}
	if q.ID != "" {
		a.Job = q.ID
	}
	e.addForecast(a, job, now)
	a.ViewAgeMs = e.Follower.Age().Milliseconds()
	leads := e.Planners.Inspect(func(p *planner.Planner, now time.Time) {
		a.Leader, a.Steps = e.Name, p.ExplainJob(job, now).Steps
	})
	if leads || q.Forwarded {
		return a, nil
	}
	if err := e.askLeader(ctx, q, a); err != nil {
		a.Note = "no leader told where it would go: " + err.Error()
	}
	return a, nil
}

// findJob returns the job of a question, and its state if it was accepted.
func (e *Explainer) findJob(q *Question) (*work.Job, string, error) {
	if q.ID == "" {
		return e.describedJob(q)
	}
	var job *work.Job
	state := ""
	e.Follower.View(func(s *jobreducer.State, _ time.Duration) {
		j := s.Jobs[q.ID]
		switch {
		case !j.Accepted():
		case j.Outcome != nil:
			state = j.Outcome.State
		default:
			job, state = j.Description, "waits or runs"
		}
	})
	switch {
	case job != nil:
		return job, state, nil
	case state != "":
		return nil, "", &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Conflict, Reason: "the job has ended: " + state}
	}
	return nil, "", &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.NotFound, Reason: "no such job in the view of " + e.Name}
}

func (e *Explainer) describedJob(q *Question) (*work.Job, string, error) {
	queue, _, err := e.FindQueue(q.Host, q.Path)
	if err != nil {
		return nil, "", err
	}
	job, err := e.Decode(q.Body)
	if err != nil {
		return nil, "", &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Invalid, Reason: err.Error()}
	}
	job.ID, job.Queue, job.AcceptedAt = newID, queue.Queue, time.Now()
	return job, "", nil
}

// addForecast adds what an entry decides by.
func (e *Explainer) addForecast(a *Answer, job *work.Job, now time.Time) {
	objective := jobmeasurer.Objective(job)
	a.ObjectiveMs, a.UsefulMs = objective.Milliseconds(), (jobmeasurer.LateFactor * objective).Milliseconds()
	a.EndMs, a.ForecastAgeMs = jobmeasurer.Chain(job.Steps).Milliseconds(), -1
	s := e.Situation(now)
	pool := admissiondecider.Pool(job, s)
	if pool == nil {
		return
	}
	estimate := roomforecaster.Forecast(pool, roomforecaster.ShapeOf(job))
	a.StartMs, a.EndMs, a.ForecastAgeMs = estimate.Start.Milliseconds(), estimate.End.Milliseconds(), s.Age.Milliseconds()
	if a.State != "" {
		return
	}
	if r := admissiondecider.Judge(job, s); r != nil {
		var d admissiondecider.Decider
		d.Refuse(job, r, s.Entries, now)
		a.Refused, a.RetryAfterMs = r.Reason(), r.RetryAfter.Milliseconds()
	}
}

// askLeader adds the steps that the leader's planner explains.
func (e *Explainer) askLeader(ctx context.Context, q *Question, a *Answer) error {
	var term *work.Term
	e.Follower.View(func(s *jobreducer.State, _ time.Duration) { term = s.Term })
	if term == nil || term.Leader == "" {
		return errors.New("none is known")
	}
	forwarded := *q
	forwarded.Forwarded = true
	data, err := json.Marshal(&forwarded)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+term.Address.String()+Path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := e.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %d: %s", term.Leader, resp.StatusCode, bytes.TrimSpace(body))
	}
	var theirs Answer
	if err := json.Unmarshal(body, &theirs); err != nil {
		return err
	}
	if theirs.Leader == "" {
		return fmt.Errorf("%s leads no longer", term.Leader)
	}
	a.Leader, a.Steps = theirs.Leader, theirs.Steps
	return nil
}
