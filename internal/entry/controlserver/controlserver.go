// Package controlserver answers operators, agents and other entries on an
// entry's control address.
package controlserver

import (
	"context"
	"encoding/json"
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
	"knapweedspur/internal/route/forwarder"
	"knapweedspur/internal/state/configreducer"
	"knapweedspur/internal/task/scheduler"
	"knapweedspur/internal/wire/admin"
	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/message"
)

const (
	recordTimeout = 10 * time.Second
	// maxChange is the largest change, in bytes.
	maxChange = 4 << 20
	// heardSpan is how long ago a VM may have been heard to count as heard.
	heardSpan = 5 * time.Second
)

// Controller answers on the control address. Set the exported fields before
// Handler.
type Server struct {
	// Entry is this entry's incarnation.
	Entry string
	// Domain is its failure domain.
	Domain string
	// Authorizer checks the token of operators, agents and entries.
	Authorizer *authorizer.Authorizer
	// Link takes the connections of agents.
	AgentHandler http.Handler
	// Runs answers about runs.
	Runs *runserver.Server
	// Driver, Publisher, Tracker, Catalog and Forwarder are the entry's parts.
	Driver    *schedulerdriver.Driver
	Publisher *configpublisher.Publisher
	Tracker   *agenttracker.Tracker
	Catalog   *configcataloger.Cataloger
	Forwarder *forwarder.Forwarder
}

// Handler returns the routes.
func (c *Server) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.Use(c.Authorizer.Wrap)
	r.Handle(framer.AgentPath, c.AgentHandler)
	r.HandleFunc("/v1/status", c.status).Methods(http.MethodGet)
	r.HandleFunc("/v1/why/{name}", c.why).Methods(http.MethodGet)
	r.HandleFunc("/v1/declarations", c.declarations).Methods(http.MethodGet)
	c.Runs.Register(r, "/v1/runs")
	r.HandleFunc("/v1/changes", c.publish).Methods(http.MethodPost)
	r.HandleFunc("/v1/audit", c.audit).Methods(http.MethodGet)
	r.HandleFunc("/v1/vms/{vm}/drain", c.drain).Methods(http.MethodPost, http.MethodDelete)
	r.HandleFunc("/v1/vms/{vm}/heard", c.heard).Methods(http.MethodGet)
	r.HandleFunc("/v1/snapshots/{stream}", c.snapshot).Methods(http.MethodGet)
	r.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	return r
}

func send(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (c *Server) status(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	s := &admin.Status{Entry: c.Entry, Domain: c.Domain, Stalled: c.Driver.Appender.Stalled(), Counts: c.totals()}
	s.Age, _ = c.Driver.ViewAge(now)
	if current := c.Catalog.Current(); current != nil {
		s.Offset = current.Next
	}
	for _, m := range c.Tracker.List() {
		s.Agents = append(s.Agents, agent(m))
	}
	c.Driver.Read(func(k *scheduler.Scheduler) {
		s.Entries = c.entries(k)
		s.Runs = summarizer.Runs(k)
		for i := range s.Agents {
			if vm := k.State.VMs[s.Agents[i].VM]; vm != nil {
				s.Agents[i].Drained = vm.Drained
				s.Agents[i].Fenced = vm.Fence != 0
			}
		}
	})
	send(w, s)
}

// entries returns the entries alive by name.
func (c *Server) entries(k *scheduler.Scheduler) []admin.Entry {
	names := k.AliveEntries()
	sort.Strings(names)
	list := make([]admin.Entry, 0, len(names))
	for _, name := range names {
		e := admin.Entry{Entry: name, Address: k.State.Entries[name].Address}
		if name == c.Entry {
			e.Address = c.Driver.Address
		}
		list = append(list, e)
	}
	return list
}

func agent(m *agenttracker.Agent) admin.Agent {
	a := admin.Agent{VM: m.Hello.VM, Incarnation: m.Hello.Agent, Domain: m.Hello.Domain, Rack: m.Hello.Rack, Service: m.Hello.Service}
	if h := m.Heartbeat(); h != nil {
		a.Lease = h.Lease
		a.Offset = h.Offset
		a.Tasks = h.Tasks
		a.Running = h.Running
		a.AcceptsRequests = h.AcceptsRequests
		a.Leaving = h.Leaving
	}
	return a
}

func (c *Server) totals() admin.Counts {
	n := c.Forwarder.Counts()
	return admin.Counts{
		Requests: int(n.Requests.Load()), Answered: int(n.Answered.Load()), Retries: int(n.Retries.Load()),
		Unrun: int(n.Unrun.Load()), Unknown: int(n.Unknown.Load()), Ran: int(n.Ran.Load()),
	}
}

func (c *Server) why(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	var lines []string
	c.Driver.Read(func(k *scheduler.Scheduler) { lines = summarizer.Explain(k, name) })
	if current := c.Catalog.Current(); lines == nil && current != nil {
		lines = declared(current, name)
	}
	if lines == nil {
		missing("nothing is known of " + strconv.Quote(name) + "; name a run, a VM or a declaration").WriteResponse(w)
		return
	}
	send(w, &admin.Explanation{Name: name, Lines: lines})
}

func missing(reason string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.NotFound, Reason: reason}
}

// declared explains a declaration.
func declared(current *configcataloger.Catalog, name string) []string {
	if broken, ok := current.Unreadable[name]; ok {
		return []string{"in force at version " + strconv.FormatUint(current.Versions[name], 10) + ", but this entry cannot read it: " + broken}
	}
	spec := current.Specs[name]
	if spec == nil {
		return nil
	}
	return []string{"a " + spec.Kind + " in force at version " + strconv.FormatUint(current.Versions[name], 10)}
}

func (c *Server) declarations(w http.ResponseWriter, _ *http.Request) {
	var list []admin.DeclarationVersion
	broken := map[string]string{}
	if current := c.Catalog.Current(); current != nil {
		broken = current.Unreadable
	}
	ok := c.Publisher.Read(func(s *configreducer.State) {
		for name, item := range s.Declarations {
			list = append(list, admin.DeclarationVersion{Name: name, Version: item.Version, Who: item.Who, Body: item.Body, Broken: broken[name]})
		}
	})
	if !ok {
		(&verdict.Error{Verdict: verdict.Unrun, Cause: verdict.LogUnavailable, Reason: "this entry has no configuration yet", RetryAfter: time.Second}).WriteResponse(w)
		return
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	send(w, list)
}

func (c *Server) publish(w http.ResponseWriter, r *http.Request) {
	var change message.Change
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChange))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		(&verdict.Error{Verdict: verdict.Unrun, Cause: verdict.Invalid, Reason: "the change is not JSON with id, who and edits: " + err.Error()}).WriteResponse(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), recordTimeout)
	defer cancel()
	version, e := c.Publisher.Publish(ctx, &change)
	if e != nil {
		e.WriteResponse(w)
		return
	}
	send(w, &admin.ChangeResult{Version: version})
}

// audit sends the lines of both streams in the order of their times.
func (c *Server) audit(w http.ResponseWriter, _ *http.Request) {
	list := []message.Audit{}
	c.Publisher.Read(func(s *configreducer.State) { list = append(list, s.Audit...) })
	c.Driver.Read(func(k *scheduler.Scheduler) { list = append(list, k.State.Audit...) })
	sort.SliceStable(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
	send(w, list)
}

func (c *Server) drain(w http.ResponseWriter, r *http.Request) {
	vm := mux.Vars(r)["vm"]
	on := r.Method == http.MethodPost
	ctx, cancel := context.WithTimeout(r.Context(), recordTimeout)
	defer cancel()
	record := &message.Drain{VM: vm, On: on, Who: r.URL.Query().Get("who")}
	e := c.Driver.AppendAndWait(ctx, message.Record{Drain: record}, func(other *message.Record) bool {
		return other.Drain != nil && other.Drain.VM == vm && other.Drain.On == on
	})
	if e != nil {
		e.WriteResponse(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// heard tells another entry whether this one hears a VM that holds its lease.
func (c *Server) heard(w http.ResponseWriter, r *http.Request) {
	m := c.Tracker.Get(mux.Vars(r)["vm"])
	answer := &admin.Heard{}
	if m != nil && m.Heartbeat() != nil {
		answer.Heard = m.Heartbeat().Lease > 0 && time.Since(m.LastHeard()) < heardSpan
	}
	send(w, answer)
}

// snapshot sends a stream's state to an entry that cannot get it from the log.
func (c *Server) snapshot(w http.ResponseWriter, r *http.Request) {
	take := c.Publisher.Snapshot
	if mux.Vars(r)["stream"] != c.Publisher.Stream {
		take = c.Driver.Snapshot
	}
	s, err := take()
	if err != nil {
		missing(err.Error()).WriteResponse(w)
		return
	}
	data, err := codec.Encode(&s)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}
