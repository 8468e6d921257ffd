// Package gatekeeper holds the table of mechanisms that operators can switch off one
// by one. All are on by default.
package gatekeeper

import (
	"math"
	"slices"
	"strings"

	"github.com/agext/levenshtein"
	"github.com/gravitational/trace"
)

// Mechanism is a part of the decisions that can be switched off.
type Mechanism int

// The mechanisms; the table says what each does and what runs without it.
const (
	Sequence Mechanism = iota
	Durations
	Speeds
	Copies
	Promises
	Yields
	Moves
	Pacing
	Trend
	Weights
	Grouping
	Batching
	Gaps
	Refusals
	Retries
	Quarantine
	Lastresort
)

// Row describes a mechanism.
type Row struct {
	Name string
	// Does says what the mechanism does, Instead what happens without it.
	Does, Instead string
	// Guards names the promise that rests on the mechanism, empty if none does.
	Guards string
}

// table describes the mechanisms, in their order.
var table = [...]Row{
	Sequence:   {Name: "sequence", Does: "orders jobs by who can still be in time", Instead: "least remaining work first"},
	Durations:  {Name: "durations", Does: "learns how long tasks take", Instead: "declared durations are trusted"},
	Speeds:     {Name: "speeds", Does: "learns which VMs are slow or fail often", Instead: "all VMs count as equally good"},
	Copies:     {Name: "copies", Does: "starts a second run of a late task", Instead: "a late task runs once"},
	Promises:   {Name: "promises", Does: "keeps room for large tasks that wait", Instead: "whoever fits starts"},
	Yields:     {Name: "yields", Does: "stops less urgent runs for tasks without room", Instead: "tasks wait for runs to end"},
	Moves:      {Name: "moves", Does: "moves slow fillers to better VMs", Instead: "fillers stay where they began"},
	Pacing:     {Name: "pacing", Does: "slows fillers beside serving tasks", Instead: "fillers run at full pace", Guards: "the latency objectives of serving tasks"},
	Trend:      {Name: "trend", Does: "extrapolates rising loads when it paces", Instead: "paces follow the last measured load"},
	Weights:    {Name: "weights", Does: "learns which fillers slow which serving tasks", Instead: "all pairs count the same"},
	Grouping:   {Name: "grouping", Does: "places serving tasks of one image together", Instead: "they go to the fullest VM"},
	Batching:   {Name: "batching", Does: "places new serving tasks in batches", Instead: "each is placed as it comes"},
	Gaps:       {Name: "gaps", Does: "keeps room for short jobs", Instead: "long-running tasks may fill VMs"},
	Refusals:   {Name: "refusals", Does: "refuses jobs that would surely end too late", Instead: "all jobs are accepted"},
	Retries:    {Name: "retries", Does: "starts tasks that have failed before others", Instead: "tasks start in their order"},
	Quarantine: {Name: "quarantine", Does: "finds tasks that crash their workers", Instead: "they are retried without end", Guards: "the bound on crashes by one task"},
	Lastresort: {Name: "lastresort", Does: "starts idle jobs at any cost while there is room", Instead: "they wait for a good VM", Guards: "that no job is idle beside free room"},
}

// String returns the name of the mechanism.
func (m Mechanism) String() string { return table[m].Name }

// Rows returns the whole table.
func Rows() []Row { return slices.Clone(table[:]) }

// Gates says which mechanisms are switched off. The zero value has all on.
type Gates struct{ off uint32 }

// Without returns gates with the given mechanisms off.
func Without(mechanisms ...Mechanism) Gates {
	var g Gates
	for _, m := range mechanisms {
		g.off |= 1 << m
	}
	return g
}

// On reports whether a mechanism is on.
func (g Gates) On(m Mechanism) bool { return g.off&(1<<m) == 0 }

// Off returns the names of the mechanisms that are off, in the order of the table.
func (g Gates) Off() []string {
	var names []string
	for m := range table {
		if !g.On(Mechanism(m)) {
			names = append(names, table[m].Name)
		}
	}
	return names
}

// String returns the names of the mechanisms that are off, separated by commas.
func (g Gates) String() string { return strings.Join(g.Off(), ",") }

// Parse returns gates with the named mechanisms off. Mechanisms that guard a promise
// are refused unless unsafe is set. The error, a trace.BadParameter, lists all faults.
func Parse(names []string, unsafe bool) (Gates, error) {
	var g Gates
	var problems []string
	for _, name := range names {
		m := find(name)
		switch {
		case m < 0:
			problems = append(problems, "there is no mechanism "+quote(name)+"; did you mean "+quote(nearest(name))+"?")
		case table[m].Guards != "" && !unsafe:
			problems = append(problems, quote(name)+" guards "+table[m].Guards+"; switching it off also needs --unsafe")
		default:
			g.off |= 1 << m
		}
	}
	if len(problems) > 0 {
		return Gates{}, trace.BadParameter("--without: %s", strings.Join(problems, "; "))
	}
	return g, nil
}

func quote(name string) string { return `"` + name + `"` }

// find returns the mechanism of the given name, or -1.
func find(name string) int {
	return slices.IndexFunc(table[:], func(r Row) bool { return r.Name == name })
}

// nearest returns the name in the table with the least edits from the given one.
func nearest(name string) string {
	best, distance := "", math.MaxInt
	for _, r := range table {
		if d := levenshtein.Distance(strings.ToLower(name), r.Name, nil); d < distance {
			best, distance = r.Name, d
		}
	}
	return best
}
