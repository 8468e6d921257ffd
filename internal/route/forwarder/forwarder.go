// Package forwarder forwards callers' requests from an entry to upstreams. It
// selects an upstream for each request, retries where that is safe, and streams
// the answer back to the caller.
package forwarder

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"knapweedspur/internal/client/upstreamclient"
	"knapweedspur/internal/config/configcataloger"
	"knapweedspur/internal/config/parser"
	"knapweedspur/internal/entry/agenttracker"
	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/link/requestlimiter"
	"knapweedspur/internal/policy/upstreamselector"
	"knapweedspur/internal/route/retrybudgeter"
	"knapweedspur/internal/wire/message"
)

const (
	// TimeoutHeader is set by a caller to shorten the deadline of a request, for
	// example to 300ms.
	TimeoutHeader = "Knapweedspur-Timeout"
	// IdempotentHeader is set by a caller to true or false to override whether a
	// request is idempotent.
	IdempotentHeader = "Knapweedspur-Idempotent"
	// VMHeader is set in answers and names the VM that answered.
	VMHeader = "Knapweedspur-VM"
)

const (
	// MaxBody is the largest body of a request, in bytes.
	MaxBody = 8 << 20
	// maxAttempts is the most upstreams that a request is sent to.
	maxAttempts = 3
	// creditBatch is how many parts of an answer are passed on before the agent gets
	// credit for as many more.
	creditBatch = 8
	// noUpstreamRetryAfter is the Retry-After time if a service has no upstream or
	// the connection to its agent has ended.
	noUpstreamRetryAfter = time.Second
)

// AgentConnection is the connection of an agent.
type AgentConnection interface {
	agenttracker.Sender
	// Exchange returns the pending requests of the connection.
	Exchange() *Exchange
}

// Counts are the request totals of a forwarder.
type Counts struct {
	Requests, Answered, Retries    atomic.Int64
	Unrun, Unknown, Ran, Abandoned atomic.Int64
}

// Forwarder forwards requests. Set the exported fields before use.
type Forwarder struct {
	// Catalog holds the declarations.
	Catalog *configcataloger.Cataloger
	// Tracker holds the upstreams.
	Tracker *agenttracker.Tracker
	// Policy selects an upstream.
	Policy upstreamselector.Policy
	// RetryBudget limits retries.
	RetryBudget *retrybudgeter.Budget

	lastID atomic.Uint64
	counts Counts
}

// Counts returns the totals. They are live and keep changing.
func (f *Forwarder) Counts() *Counts { return &f.counts }

// ServeHTTP forwards one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	f.counts.Requests.Add(1)
	e := f.forward(now, w, r)
	if e == nil {
		f.counts.Answered.Add(1)
		return
	}
	switch e.Verdict {
	case verdict.Unrun:
		f.counts.Unrun.Add(1)
	case verdict.Ran:
		f.counts.Ran.Add(1)
	default:
		f.counts.Unknown.Add(1)
	}
	e.WriteResponse(w)
}

// forward forwards one request. It returns why there is no answer, or nil if there
// is one. If an answer breaks off after its start, forward aborts the caller's
// connection by a panic with http.ErrAbortHandler.
func (f *Forwarder) forward(now time.Time, w http.ResponseWriter, r *http.Request) *verdict.Error {
	catalog := f.Catalog.Current()
	if catalog == nil {
		return unrunError(verdict.LogUnavailable, "this entry has no configuration yet", time.Second)
	}
	name := mux.Vars(r)["service"]
	spec := catalog.Service(name)
	if spec == nil {
		return unrunError(verdict.NotFound, "no service "+strconv.Quote(name)+" is declared", 0)
	}
	t, e := f.prepare(now, spec, r)
	if e != nil {
		return e
	}
	t.service = name
	f.RetryBudget.Deposit()
	return t.sendWithRetries(w, r)
}

func unrunError(cause verdict.Cause, reason string, after time.Duration) *verdict.Error {
	return &verdict.Error{Verdict: verdict.Unrun, Cause: cause, Reason: reason, RetryAfter: after}
}

// transfer is the forwarding of one caller's request.
type transfer struct {
	*Forwarder
	service  string
	request  message.Request
	deadline time.Time
	tried    []*agenttracker.Agent
}

func (f *Forwarder) prepare(now time.Time, spec *parser.Spec, r *http.Request) (*transfer, *verdict.Error) {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/"+spec.Name)
	if path == "" {
		path = "/"
	}
	timeout, e := requestTimeout(spec, r)
	if e != nil {
		return nil, e
	}
	idempotent, e := isIdempotent(spec, r, path)
	if e != nil {
		return nil, e
	}
	body, e := readBody(r)
	if e != nil {
		return nil, e
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return &transfer{
		Forwarder: f,
		deadline:  now.Add(timeout),
		request: message.Request{
			Method: r.Method, Path: path, Header: upstreamclient.EndToEndHeaders(r.Header), Body: body, NonIdempotent: !idempotent,
		},
	}, nil
}

func readBody(r *http.Request) ([]byte, *verdict.Error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := requestlimiter.ReadBody(r, MaxBody)
	if err != nil {
		return nil, requestlimiter.BodyError(err)
	}
	return body, nil
}

func requestTimeout(spec *parser.Spec, r *http.Request) (time.Duration, *verdict.Error) {
	text := r.Header.Get(TimeoutHeader)
	if text == "" {
		return spec.Deadline, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, unrunError(verdict.Invalid, TimeoutHeader+" "+strconv.Quote(text)+" is not a time; write it like 300ms", 0)
	}
	return min(d, spec.Deadline), nil
}

func isIdempotent(spec *parser.Spec, r *http.Request, path string) (bool, *verdict.Error) {
	switch text := r.Header.Get(IdempotentHeader); text {
	case "":
		return spec.Idempotent(r.Method, path), nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, unrunError(verdict.Invalid, IdempotentHeader+" "+strconv.Quote(text)+" is neither true nor false", 0)
	}
}

// sendWithRetries sends the request to one upstream after another until one
// answers, as far as the verdicts, the deadline and the retry budget allow.
func (t *transfer) sendWithRetries(w http.ResponseWriter, r *http.Request) *verdict.Error {
	var last *verdict.Error
	for i := 0; i < maxAttempts; i++ {
		if i > 0 && !t.RetryBudget.TryWithdraw() {
			return last
		}
		now := time.Now()
		if !now.Before(t.deadline) {
			return t.deadlineError(last)
		}
		agent := t.selectUpstream(now)
		if agent == nil {
			if last == nil {
				last = unrunError(verdict.Unavailable, "the service has no upstream that takes requests now", noUpstreamRetryAfter)
			}
			return last
		}
		if i > 0 {
			t.counts.Retries.Add(1)
		}
		e := t.send(now, agent, w, r)
		if e == nil {
			return nil
		}
		last = mergeVerdicts(last, e)
		if e.Verdict != verdict.Unrun && t.request.NonIdempotent || e.Verdict == verdict.Ran || e.Cause == verdict.DeadlineExceeded || r.Context().Err() != nil {
			return last
		}
	}
	return last
}

// mergeVerdicts returns the latest error with the weakest guarantee of all
// attempts: once an attempt may have run, a later one that has not run does not
// change that.
func mergeVerdicts(last, e *verdict.Error) *verdict.Error {
	if last == nil || last.Verdict == verdict.Unrun {
		return e
	}
	merged := *e
	merged.Verdict = last.Verdict
	return &merged
}

func (t *transfer) deadlineError(last *verdict.Error) *verdict.Error {
	if last != nil {
		return last
	}
	return unrunError(verdict.DeadlineExceeded, "the deadline passed before the request could start", 0)
}

// selectUpstream returns an upstream that was not tried yet, or nil if there is
// none.
func (t *transfer) selectUpstream(now time.Time) *agenttracker.Agent {
	pool := t.Tracker.Pool(t.service)
	if pool == nil {
		return nil
	}
	agents, candidates := pool.Agents, pool.Candidates
	if len(t.tried) > 0 {
		agents, candidates = t.untried(pool)
	}
	if len(agents) == 0 {
		return nil
	}
	rng := randomSources.Get().(*rand.Rand)
	defer randomSources.Put(rng)
	return agents[t.Policy(now, candidates, rng)]
}

func (t *transfer) untried(pool *agenttracker.Pool) ([]*agenttracker.Agent, []*upstreamselector.Candidate) {
	var agents []*agenttracker.Agent
	var candidates []*upstreamselector.Candidate
	for _, agent := range pool.Agents {
		if !contains(t.tried, agent) {
			agents = append(agents, agent)
			candidates = append(candidates, &agent.Candidate)
		}
	}
	return agents, candidates
}

func contains(list []*agenttracker.Agent, agent *agenttracker.Agent) bool {
	for _, other := range list {
		if other == agent {
			return true
		}
	}
	return false
}
