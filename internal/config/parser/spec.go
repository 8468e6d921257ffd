package parser

import (
	"math"
	"strconv"
	"strings"
	"time"

	"knapweedspur/internal/wire/message"
)

// The units of memory.
var units = []struct {
	suffix string
	bytes  float64
}{{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}}

// maxMemory is the largest amount of memory, in bytes.
const maxMemory = 1 << 50

func (r *reader) spec(d *message.Declaration) *Spec {
	s := &Spec{Kind: d.Kind, Name: d.Name, Team: d.Team, Replicas: d.Replicas, Tasks: d.Tasks, Weight: d.Weight, Routes: d.Routes}
	if !namePattern.MatchString(d.Name) {
		r.fault("$.name", "use a to z, 0 to 9 and -, beginning with a letter", "name %q is not a name", d.Name)
	}
	switch d.Kind {
	case KindService:
		r.service(d, s)
	case KindJob:
		r.job(d, s)
	case KindTeam:
		r.team(d, s)
	default:
		r.fault("$.kind", "write service, job or team", "kind %q is not known", d.Kind)
	}
	return s
}

func (r *reader) service(d *message.Declaration, s *Spec) {
	r.owned(d, s)
	r.without("service", key{"$.tasks", d.Tasks != 0}, key{"$.duration", d.Duration != ""}, key{"$.quota", d.Quota != nil})
	s.Deadline = r.duration("$.deadline", d.Deadline, defaultDeadline, MaxDeadline)
	if d.Replicas < 0 || d.Replicas > MaxReplicas {
		r.fault("$.replicas", "write 0 to 10000", "replicas %d is out of range", d.Replicas)
	}
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.Connections == 0 {
		s.Connections = max(defaultConnections, s.Slots)
	}
	if s.Connections < s.Slots {
		r.fault("$.needs.connections", "each slot needs a connection", "%d connections cannot carry %d slots", s.Connections, s.Slots)
	}
	r.routes(d.Routes)
}

func (r *reader) routes(routes []message.Route) {
	if len(routes) > maxRoutes {
		r.fault("$.routes", "at most 256", "%d routes are too many", len(routes))
	}
	for i, route := range routes {
		path := "$.routes[" + strconv.Itoa(i) + "]"
		if !strings.HasPrefix(route.Path, "/") {
			r.fault(path+".path", "begin with /", "path %q is not a path", route.Path)
		}
		if len(route.Methods) > maxMethods {
			r.fault(path+".methods", "at most 16", "%d methods are too many", len(route.Methods))
		}
		for _, m := range route.Methods {
			if m != strings.ToUpper(m) || m == "" {
				r.fault(path+".methods", "write methods in capitals, such as POST", "method %q is not a method", m)
			}
		}
	}
}

func (r *reader) job(d *message.Declaration, s *Spec) {
	r.owned(d, s)
	r.without("job", key{"$.replicas", d.Replicas != 0}, key{"$.routes", len(d.Routes) > 0}, key{"$.deadline", d.Deadline != ""}, key{"$.quota", d.Quota != nil})
	if s.Tasks == 0 {
		s.Tasks = 1
	}
	if s.Tasks < 0 || s.Tasks > MaxTasks {
		r.fault("$.tasks", "write 1 to 100000", "tasks %d is out of range", d.Tasks)
	}
	s.ExpectedDuration = r.duration("$.duration", d.Duration, defaultExpect, maxDuration)
}

func (r *reader) team(d *message.Declaration, s *Spec) {
	r.without("team",
		key{"$.team", d.Team != ""}, key{"$.needs", d.Needs != nil}, key{"$.replicas", d.Replicas != 0}, key{"$.tasks", d.Tasks != 0},
		key{"$.routes", len(d.Routes) > 0}, key{"$.treat", d.AllowedActions != nil}, key{"$.deadline", d.Deadline != ""}, key{"$.duration", d.Duration != ""})
	if d.Quota == nil {
		r.fault("$.name", "add quota with processors, memory and accelerators", "a team needs a quota")
		return
	}
	s.Quota = r.size("$.quota", d.Quota)
}

// owned reads what services and jobs have in common.
func (r *reader) owned(d *message.Declaration, s *Spec) {
	if !namePattern.MatchString(d.Team) {
		r.fault("$.team", "name the team that owns this", "team %q is not a name", d.Team)
	}
	s.Size = message.Size{Millicores: defaultMillis, Memory: defaultMemory}
	if d.Needs != nil {
		s.Size = r.size("$.needs", d.Needs)
		s.Slots = r.count("$.needs.slots", d.Needs.Slots)
		s.Connections = r.count("$.needs.connections", d.Needs.Connections)
	}
	switch d.Urgency {
	case "", "normal":
	case "urgent":
		s.Urgent = true
	default:
		r.fault("$.urgency", "write normal or urgent", "urgency %q is not known", d.Urgency)
	}
	if d.AllowedActions != nil {
		s.AllowThrottle = d.AllowedActions.Throttle
		s.AllowCheckpoint = d.AllowedActions.Checkpoint
		s.AllowEvict = d.AllowedActions.Evict
	}
	if d.Weight < 0 || d.Weight > 1 || math.IsNaN(d.Weight) {
		r.fault("$.weight", "write 0 to 1", "weight %v is out of range", d.Weight)
	}
	if d.Weight == 0 {
		s.Weight = defaultWeight
	}
}

// key is a key of a declaration and whether it is there.
type key struct {
	path string
	set  bool
}

// without notes keys that a kind does not have.
func (r *reader) without(kind string, keys ...key) {
	for _, k := range keys {
		if k.set {
			r.fault(k.path, "leave it out", "a %s has no %s", kind, strings.TrimPrefix(k.path, "$."))
		}
	}
}

const (
	maxCount      = 1 << 20
	maxProcessors = 1 << 20
	millis        = 1000
)

func (r *reader) count(path string, n int) int {
	if n < 0 || n > maxCount {
		r.fault(path, "write 0 to 1048576", "%d is out of range", n)
		return 0
	}
	return n
}

func (r *reader) size(path string, n *message.Resources) message.Size {
	s := message.Size{Millicores: defaultMillis, Memory: defaultMemory, Accelerators: r.count(path+".accelerators", n.Accelerators)}
	if n.Processors < 0 || n.Processors > maxProcessors || math.IsNaN(n.Processors) {
		r.fault(path+".processors", "write cores, such as 2 or 0.5", "processors %v is out of range", n.Processors)
	} else if n.Processors > 0 {
		s.Millicores = int(math.Ceil(n.Processors * millis))
	}
	if n.Memory != "" {
		s.Memory = r.memory(path+".memory", n.Memory)
	}
	return s
}

func (r *reader) memory(path, text string) int {
	for _, u := range units {
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(number, 64)
		if err != nil || v <= 0 || v*u.bytes > maxMemory || math.IsNaN(v) {
			break
		}
		return int(v * u.bytes)
	}
	r.fault(path, "write it like 512MiB or 4GiB", "memory %q is not an amount", text)
	return defaultMemory
}

func (r *reader) duration(path, text string, otherwise, most time.Duration) time.Duration {
	if text == "" {
		return otherwise
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > most {
		r.fault(path, "write it like 800ms, 5s or 40m, up to "+most.String(), "%q is not a time", text)
		return otherwise
	}
	return d
}

// Idempotent reports whether a request may be repeated. POST and PATCH may not,
// unless a route of the service says so; the longest matching path counts.
func (s *Spec) Idempotent(method, path string) bool {
	longest := -1
	idempotent := method != "POST" && method != "PATCH"
	for _, route := range s.Routes {
		if len(route.Path) > longest && strings.HasPrefix(path, route.Path) && hasMethod(route.Methods, method) {
			longest = len(route.Path)
			idempotent = route.Idempotent
		}
	}
	return idempotent
}

func hasMethod(methods []string, method string) bool {
	if len(methods) == 0 {
		return true
	}
	for _, m := range methods {
		if m == method {
			return true
		}
	}
	return false
}
