// Package statusreporter shows operators what an entry on the users' platform knows.
package statusreporter

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/frontend/queuecataloger"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/leader"
	"knapweedspur/internal/job/logfollower"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/admin"
)

// Path is the URL path of the status, on the address for agents and entries.
const Path = "/v1/status"

// stalledAfter is how long the log may leave an entry without an answer before the
// status says so. A slow log answers within half a second.
const stalledAfter = time.Second

// Reporter answers requests for the status of an entry.
type Reporter struct {
	// Entry and Domain name the entry and its failure domain.
	Entry, Domain string
	Follower      *logfollower.Follower
	Cataloger     *queuecataloger.Cataloger
	Gates         gatekeeper.Gates
	Logger        hclog.Logger
}

// ServeHTTP answers a request.
func (r *Reporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(r.Status(time.Now())); err != nil {
		r.Logger.Info("status not sent", "error", err.Error())
	}
}

// Status returns the entries that are alive, the sessions of VMs with their runs, the
// version of the configuration in force, and the mechanisms that are switched off.
func (r *Reporter) Status(now time.Time) *admin.Status {
	s := &admin.Status{
		Entry: r.Entry, Domain: r.Domain, Age: r.Follower.Age(), Stalled: r.Follower.Unanswered() > stalledAfter, Without: r.Gates.Off(),
		Entries: []admin.Entry{}, Agents: []admin.Agent{}, Runs: []admin.Run{},
	}
	if c := r.Cataloger.Current(); c != nil {
		s.Offset = uint64(max(c.Version, 0))
	}
	r.Follower.View(func(state *jobreducer.State, _ time.Duration) {
		for _, m := range state.Members {
			if now.Sub(m.AnnouncedAt) < leader.MemberTTL {
				s.Entries = append(s.Entries, admin.Entry{Entry: m.Incarnation, Address: m.Address})
			}
		}
		tasks := countRuns(state)
		for _, session := range state.Sessions {
			s.Agents = append(s.Agents, admin.Agent{
				VM: session.VM, Incarnation: session.AgentIncarnation, Lease: int(session.Fence), Fenced: session.Revoked, Tasks: tasks[session.VM],
			})
		}
	})
	slices.SortFunc(s.Entries, func(a, b admin.Entry) int { return a.Address.Compare(b.Address) })
	slices.SortFunc(s.Agents, func(a, b admin.Agent) int { return cmp.Compare(a.VM, b.VM) })
	return s
}

// countRuns counts the runs on each VM.
func countRuns(state *jobreducer.State) map[string]int {
	runs := map[string]int{}
	for _, j := range state.Jobs {
		for _, t := range j.Tasks {
			for _, run := range t.Runs {
				runs[run.VM]++
			}
		}
	}
	return runs
}
