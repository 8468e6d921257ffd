// Package forwarder takes callers' requests on an entry, picks an upstream for
// each, and passes the answer on.
package forwarder

import (
	"io"
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
	"knapweedspur/internal/policy/upstreamselector"
	"knapweedspur/internal/route/retrybudgeter"
	"knapweedspur/internal/wire/message"
)

// The headers that a caller may set.
const (
	// TimeoutHeader shortens the deadline of one request, as in 300ms.
	TimeoutHeader = "Knapweedspur-Timeout"
	// IdempotentHeader marks one request, true or false.
	IdempotentHeader = "Knapweedspur-Idempotent"
	// VMHeader names the VM that answered.
	VMHeader = "Knapweedspur-VM"
)

const (
	// MaxBody is the largest body of a request, in bytes.
	MaxBody = 8 << 20
	// maxTries is how many upstreams one request is sent to at the most.
	maxTries = 3
	// creditStep is after how many parts an agent gets credit for more.
	creditStep = 8
	// absentAfter is when to come back if a service has no upstream.
	absentAfter = time.Second
)

// Peer sends frames to one agent and matches its answers.
type Peer interface {
	agenttracker.Sender
	// Exchange returns the requests that wait on the connection.
	Exchange() *Exchange
}

// Counts are the totals of a forwarder.
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
	// Choose picks an upstream.
	Policy upstreamselector.Policy
	// Budget bounds retries.
	RetryBudget *retrybudgeter.Budget

	ids    atomic.Uint64
	counts Counts
}

// Counts returns the totals, which go on changing.
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

// forward returns why there is no answer. It aborts the connection when an
// answer breaks off after its start.
func (f *Forwarder) forward(now time.Time, w http.ResponseWriter, r *http.Request) *verdict.Error {
	catalog := f.Catalog.Current()
	if catalog == nil {
		return refuse(verdict.LogUnavailable, "this entry has no configuration yet", time.Second)
	}
	name := mux.Vars(r)["service"]
	spec := catalog.Service(name)
	if spec == nil {
		return refuse(verdict.NotFound, "no service "+strconv.Quote(name)+" is declared", 0)
	}
	t, e := f.prepare(now, spec, r)
	if e != nil {
		return e
	}
	t.service = name
	f.RetryBudget.Deposit()
	return t.try(w, r)
}

func refuse(cause verdict.Cause, reason string, after time.Duration) *verdict.Error {
	return &verdict.Error{Verdict: verdict.Unrun, Cause: cause, Reason: reason, RetryAfter: after}
}

// transfer is one caller's request on its way.
type transfer struct {
	*Forwarder
	service  string
	frame    message.Request
	deadline time.Time
	tried    []*agenttracker.Agent
}

func (f *Forwarder) prepare(now time.Time, spec *parser.Spec, r *http.Request) (*transfer, *verdict.Error) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/"+spec.Name)
	if rest == "" {
		rest = "/"
	}
	timeout, e := timeout(spec, r)
	if e != nil {
		return nil, e
	}
	idempotent, e := idempotent(spec, r, rest)
	if e != nil {
		return nil, e
	}
	body, e := readBody(r)
	if e != nil {
		return nil, e
	}
	if r.URL.RawQuery != "" {
		rest += "?" + r.URL.RawQuery
	}
	return &transfer{
		Forwarder: f,
		deadline:  now.Add(timeout),
		frame: message.Request{
			Method: r.Method, Path: rest, Header: upstreamclient.EndToEndHeaders(r.Header), Body: body, NonIdempotent: !idempotent,
		},
	}, nil
}

func readBody(r *http.Request) ([]byte, *verdict.Error) {
	if r.ContentLength > MaxBody {
		return nil, refuse(verdict.Invalid, "the body is larger than 8 MiB", 0)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBody+1))
	if err != nil {
		return nil, refuse(verdict.Invalid, "the body did not arrive whole", 0)
	}
	if len(body) > MaxBody {
		return nil, refuse(verdict.Invalid, "the body is larger than 8 MiB", 0)
	}
	return body, nil
}

func timeout(spec *parser.Spec, r *http.Request) (time.Duration, *verdict.Error) {
	text := r.Header.Get(TimeoutHeader)
	if text == "" {
		return spec.Deadline, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, refuse(verdict.Invalid, TimeoutHeader+" "+strconv.Quote(text)+" is not a time; write it like 300ms", 0)
	}
	return min(d, spec.Deadline), nil
}

func idempotent(spec *parser.Spec, r *http.Request, path string) (bool, *verdict.Error) {
	switch text := r.Header.Get(IdempotentHeader); text {
	case "":
		return spec.Idempotent(r.Method, path), nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, refuse(verdict.Invalid, IdempotentHeader+" "+strconv.Quote(text)+" is neither true nor false", 0)
	}
}

// try sends the request to one upstream after another, as far as the verdicts
// and the budget allow.
func (t *transfer) try(w http.ResponseWriter, r *http.Request) *verdict.Error {
	var last *verdict.Error
	for i := 0; i < maxTries; i++ {
		if i > 0 && !t.RetryBudget.TryWithdraw() {
			return last
		}
		now := time.Now()
		if !now.Before(t.deadline) {
			return t.late(last)
		}
		member := t.pick(now)
		if member == nil {
			if last == nil {
				last = refuse(verdict.Unavailable, "the service has no upstream that takes requests now", absentAfter)
			}
			return last
		}
		if i > 0 {
			t.counts.Retries.Add(1)
		}
		e := t.send(now, member, w, r)
		if e == nil {
			return nil
		}
		last = worse(last, e)
		if e.Verdict != verdict.Unrun && t.frame.NonIdempotent || e.Verdict == verdict.Ran || e.Cause == verdict.DeadlineExceeded || r.Context().Err() != nil {
			return last
		}
	}
	return last
}

// worse keeps the verdict that promises least over all tries.
func worse(last, e *verdict.Error) *verdict.Error {
	if last == nil || last.Verdict == verdict.Unrun {
		return e
	}
	merged := *e
	merged.Verdict = last.Verdict
	return &merged
}

func (t *transfer) late(last *verdict.Error) *verdict.Error {
	if last != nil {
		return last
	}
	return refuse(verdict.DeadlineExceeded, "the deadline passed before the request could start", 0)
}

// pick returns an upstream that was not tried yet, or nil.
func (t *transfer) pick(now time.Time) *agenttracker.Agent {
	pool := t.Tracker.Pool(t.service)
	if pool == nil {
		return nil
	}
	members, candidates := pool.Agents, pool.Candidates
	if len(t.tried) > 0 {
		members, candidates = t.untried(pool)
	}
	if len(members) == 0 {
		return nil
	}
	random := sources.Get().(*rand.Rand)
	defer sources.Put(random)
	return members[t.Policy(now, candidates, random)]
}

func (t *transfer) untried(pool *agenttracker.Pool) ([]*agenttracker.Agent, []*upstreamselector.Candidate) {
	var members []*agenttracker.Agent
	var candidates []*upstreamselector.Candidate
	for _, m := range pool.Agents {
		if !contains(t.tried, m) {
			members = append(members, m)
			candidates = append(candidates, &m.Candidate)
		}
	}
	return members, candidates
}

func contains(list []*agenttracker.Agent, m *agenttracker.Agent) bool {
	for _, other := range list {
		if other == m {
			return true
		}
	}
	return false
}
