// Package controlserver serves operators, agents and other entries on the control
// address of an entry.
package controlserver

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"knapweedspur/internal/config/configcataloger"
	"knapweedspur/internal/entry/agenttracker"
	"knapweedspur/internal/entry/authorizer"
	"knapweedspur/internal/entry/configpublisher"
	"knapweedspur/internal/entry/runserver"
	"knapweedspur/internal/entry/schedulerdriver"
	"knapweedspur/internal/entry/summarizer"
	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/link/framer"
	"knapweedspur/internal/link/requestlimiter"
	"knapweedspur/internal/route/forwarder"
	"knapweedspur/internal/state/configreducer"
	"knapweedspur/internal/task/scheduler"
	"knapweedspur/internal/wire/admin"
	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/listdecoder"
	"knapweedspur/internal/wire/message"
)

const (
	recordTimeout = 10 * time.Second
	// maxChangeBytes is the largest size of a change.
	maxChangeBytes = 4 << 20
	// maxEdits bounds the edits of a change.
	maxEdits = 10_000
	// heardWithin is how old the last heartbeat of a VM may be for the VM to count as
	// heard.
	heardWithin = 5 * time.Second
)

// Server serves the control address. Set the exported fields before calling
// Handler.
type Server struct {
	// Entry is this entry's incarnation.
	Entry string
	// Domain is its failure domain.
	Domain string
	// Authorizer checks the token of operators, agents and entries.
	Authorizer *authorizer.Authorizer
	// AgentHandler accepts the connections of agents.
	AgentHandler http.Handler
	// Runs handles requests about runs.
	Runs *runserver.Server
	// Driver, Publisher, Tracker, Catalog and Forwarder are the components of the
	// entry that requests read or change.
	Driver    *schedulerdriver.Driver
	Publisher *configpublisher.Publisher
	Tracker   *agenttracker.Tracker
	Catalog   *configcataloger.Cataloger
	Forwarder *forwarder.Forwarder
}

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.Use(s.Authorizer.Wrap)
	r.Handle(framer.AgentPath, s.AgentHandler)
	r.HandleFunc("/v1/status", s.status).Methods(http.MethodGet)
	r.HandleFunc("/v1/why/{name}", s.explain).Methods(http.MethodGet)
	r.HandleFunc("/v1/declarations", s.declarations).Methods(http.MethodGet)
	s.Runs.Register(r, "/v1/runs")
	r.HandleFunc("/v1/changes", s.publish).Methods(http.MethodPost)
	r.HandleFunc("/v1/audit", s.audit).Methods(http.MethodGet)
	r.HandleFunc("/v1/vms/{vm}/drain", s.drain).Methods(http.MethodPost, http.MethodDelete)
	r.HandleFunc("/v1/vms/{vm}/heard", s.heard).Methods(http.MethodGet)
	r.HandleFunc("/v1/snapshots/{stream}", s.snapshot).Methods(http.MethodGet)
	r.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	return r
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	status := &admin.Status{Entry: s.Entry, Domain: s.Domain, Stalled: s.Driver.Appender.Stalled(), Counts: s.counts()}
	status.Age, _ = s.Driver.ViewAge(now)
	if current := s.Catalog.Current(); current != nil {
		status.Offset = current.Next
	}
	for _, agent := range s.Tracker.List() {
		status.Agents = append(status.Agents, agentStatus(agent))
	}
	s.Driver.Read(func(k *scheduler.Scheduler) {
		status.Entries = s.aliveEntries(k)
		status.Runs = summarizer.Runs(k)
		for i := range status.Agents {
			if vm := k.State.VMs[status.Agents[i].VM]; vm != nil {
				status.Agents[i].Drained = vm.Drained
				status.Agents[i].Fenced = vm.Fence != 0
			}
		}
	})
	writeJSON(w, status)
}

// aliveEntries returns the entries that are alive, sorted by name.
func (s *Server) aliveEntries(k *scheduler.Scheduler) []admin.Entry {
	names := k.AliveEntries()
	sort.Strings(names)
	list := make([]admin.Entry, 0, len(names))
	for _, name := range names {
		e := admin.Entry{Entry: name, Address: k.State.Entries[name].Address}
		if name == s.Entry {
			e.Address = s.Driver.Address
		}
		list = append(list, e)
	}
	return list
}

func agentStatus(agent *agenttracker.Agent) admin.Agent {
	a := admin.Agent{VM: agent.Hello.VM, Incarnation: agent.Hello.Agent, Domain: agent.Hello.Domain, Rack: agent.Hello.Rack, Service: agent.Hello.Service}
	if h := agent.Heartbeat(); h != nil {
		a.Lease = h.Lease
		a.Offset = h.Offset
		a.Tasks = h.Tasks
		a.Running = h.Running
		a.AcceptsRequests = h.AcceptsRequests
		a.Leaving = h.Leaving
	}
	return a
}

func (s *Server) counts() admin.Counts {
	n := s.Forwarder.Counts()
	return admin.Counts{
		Requests: int(n.Requests.Load()), Answered: int(n.Answered.Load()), Retries: int(n.Retries.Load()),
		Unrun: int(n.Unrun.Load()), Unknown: int(n.Unknown.Load()), Ran: int(n.Ran.Load()),
	}
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	var lines []string
	s.Driver.Read(func(k *scheduler.Scheduler) { lines = summarizer.Explain(k, name) })
	if current := s.Catalog.Current(); lines == nil && current != nil {
		lines = explainDeclaration(current, name)
	}
	if lines == nil {
		missingError("nothing is known of " + strconv.Quote(name) + "; name a run, a VM or a declaration").WriteResponse(w)
		return
	}
	writeJSON(w, &admin.Explanation{Name: name, Lines: lines})
}

func missingError(reason string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.NotFound, Reason: reason}
}

// explainDeclaration explains a declaration. It returns nil if there is none of
// this name.
func explainDeclaration(current *configcataloger.Catalog, name string) []string {
	if reason, ok := current.Unreadable[name]; ok {
		return []string{"in force at version " + strconv.FormatUint(current.Versions[name], 10) + ", but this entry cannot read it: " + reason}
	}
	spec := current.Specs[name]
	if spec == nil {
		return nil
	}
	return []string{"a " + spec.Kind + " in force at version " + strconv.FormatUint(current.Versions[name], 10)}
}

func (s *Server) declarations(w http.ResponseWriter, _ *http.Request) {
	var list []admin.DeclarationVersion
	unreadable := map[string]string{}
	if current := s.Catalog.Current(); current != nil {
		unreadable = current.Unreadable
	}
	ok := s.Publisher.Read(func(s *configreducer.State) {
		for name, item := range s.Declarations {
			list = append(list, admin.DeclarationVersion{Name: name, Version: item.Version, Who: item.Who, Body: item.Body, ReadError: unreadable[name]})
		}
	})
	if !ok {
		(&verdict.Error{Verdict: verdict.Unrun, Cause: verdict.LogUnavailable, Reason: "this entry has no configuration yet", RetryAfter: time.Second}).WriteResponse(w)
		return
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	writeJSON(w, list)
}

// changeBody is a change as operators send it.
type changeBody struct {
	Edits editList `json:"edits"`
	ID    string   `json:"id"`
	Who   string   `json:"who"`
}

// editList bounds the number of edits before they are decoded.
type editList []message.Edit

// UnmarshalJSON decodes the list, or null.
func (l *editList) UnmarshalJSON(data []byte) (err error) {
	*l, err = listdecoder.Decode[message.Edit]("edits", data, maxEdits, true, nil)
	return err
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request) {
	var body changeBody
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	decoder.DisallowUnknownFields()
	switch err := decoder.Decode(&body); {
	case errors.Is(err, requestlimiter.ErrOverBudget):
		requestlimiter.BodyError(err).WriteResponse(w)
		return
	case err != nil:
		(&verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Invalid, Reason: "the change is not JSON with id, who and edits: " + err.Error()}).WriteResponse(w)
		return
	}
	change := message.Change{Edits: body.Edits, ID: body.ID, Who: body.Who}
	ctx, cancel := context.WithTimeout(r.Context(), recordTimeout)
	defer cancel()
	version, e := s.Publisher.Publish(ctx, &change)
	if e != nil {
		e.WriteResponse(w)
		return
	}
	writeJSON(w, &admin.ChangeResult{Version: version})
}

// audit sends the audit lines of both streams, sorted by time.
func (s *Server) audit(w http.ResponseWriter, _ *http.Request) {
	list := []message.Audit{}
	s.Publisher.Read(func(s *configreducer.State) { list = append(list, s.Audit...) })
	s.Driver.Read(func(k *scheduler.Scheduler) { list = append(list, k.State.Audit...) })
	sort.SliceStable(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
	writeJSON(w, list)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	vm := mux.Vars(r)["vm"]
	on := r.Method == http.MethodPost
	ctx, cancel := context.WithTimeout(r.Context(), recordTimeout)
	defer cancel()
	record := &message.Drain{VM: vm, On: on, Who: r.URL.Query().Get("who")}
	e := s.Driver.AppendAndWait(ctx, message.Record{Drain: record}, func(other *message.Record) bool {
		return other.Drain != nil && other.Drain.VM == vm && other.Drain.On == on
	})
	if e != nil {
		e.WriteResponse(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// heard tells another entry whether this one hears a VM that holds a lease.
func (s *Server) heard(w http.ResponseWriter, r *http.Request) {
	agent := s.Tracker.Get(mux.Vars(r)["vm"])
	answer := &admin.Heard{}
	if agent != nil && agent.Heartbeat() != nil {
		answer.Heard = agent.Heartbeat().Lease > 0 && time.Since(agent.LastHeard()) < heardWithin
	}
	writeJSON(w, answer)
}

// snapshot sends the state of a stream to an entry that cannot get it from the
// log.
func (s *Server) snapshot(w http.ResponseWriter, r *http.Request) {
	takeSnapshot := s.Publisher.Snapshot
	if mux.Vars(r)["stream"] != s.Publisher.Stream {
		takeSnapshot = s.Driver.Snapshot
	}
	snapshot, err := takeSnapshot()
	if err != nil {
		missingError(err.Error()).WriteResponse(w)
		return
	}
	data, err := codec.Encode(&snapshot)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}
