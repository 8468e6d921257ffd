package parser

import (
	"math"
	"strconv"
	"strings"
	"time"

	"knapweedspur/internal/wire/message"
)

// memoryUnits are the accepted suffixes of amounts of memory.
var memoryUnits = []struct {
	suffix string
	bytes  float64
}{{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}}

// maxMemory is the largest amount of memory, in bytes.
const maxMemory = 1 << 50

func (b *specBuilder) build(d *message.Declaration) *Spec {
	s := &Spec{Kind: d.Kind, Name: d.Name, Team: d.Team, Replicas: d.Replicas, Tasks: d.Tasks, Weight: d.Weight, Routes: d.Routes}
	if !namePattern.MatchString(d.Name) {
		b.addProblem("$.name", "use a to z, 0 to 9 and -, beginning with a letter", "name %q is not a name", d.Name)
	}
	switch d.Kind {
	case KindService:
		b.service(d, s)
	case KindJob:
		b.job(d, s)
	case KindTeam:
		b.team(d, s)
	default:
		b.addProblem("$.kind", "write service, job or team", "kind %q is not known", d.Kind)
	}
	return s
}

func (b *specBuilder) service(d *message.Declaration, s *Spec) {
	b.setCommon(d, s)
	b.rejectKeys("service", keyPresence{"$.tasks", d.Tasks != 0}, keyPresence{"$.duration", d.Duration != ""}, keyPresence{"$.quota", d.Quota != nil})
	s.Deadline = b.duration("$.deadline", d.Deadline, defaultDeadline, MaxDeadline)
	if d.Replicas < 0 || d.Replicas > MaxReplicas {
		b.addProblem("$.replicas", "write 0 to 10000", "replicas %d is out of range", d.Replicas)
	}
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.Connections == 0 {
		s.Connections = max(defaultConnections, s.Slots)
	}
	if s.Connections < s.Slots {
		b.addProblem("$.needs.connections", "each slot needs a connection", "%d connections cannot carry %d slots", s.Connections, s.Slots)
	}
	b.routes(d.Routes)
}

func (b *specBuilder) routes(routes []message.Route) {
	if len(routes) > maxRoutes {
		b.addProblem("$.routes", "at most 256", "%d routes are too many", len(routes))
	}
	for i, route := range routes {
		path := "$.routes[" + strconv.Itoa(i) + "]"
		if !strings.HasPrefix(route.Path, "/") {
			b.addProblem(path+".path", "begin with /", "path %q is not a path", route.Path)
		}
		if len(route.Methods) > maxMethods {
			b.addProblem(path+".methods", "at most 16", "%d methods are too many", len(route.Methods))
		}
		for _, m := range route.Methods {
			if m != strings.ToUpper(m) || m == "" {
				b.addProblem(path+".methods", "write methods in capitals, such as POST", "method %q is not a method", m)
			}
		}
	}
}

func (b *specBuilder) job(d *message.Declaration, s *Spec) {
	b.setCommon(d, s)
	b.rejectKeys("job", keyPresence{"$.replicas", d.Replicas != 0}, keyPresence{"$.routes", len(d.Routes) > 0}, keyPresence{"$.deadline", d.Deadline != ""}, keyPresence{"$.quota", d.Quota != nil})
	if s.Tasks == 0 {
		s.Tasks = 1
	}
	if s.Tasks < 0 || s.Tasks > MaxTasks {
		b.addProblem("$.tasks", "write 1 to 100000", "tasks %d is out of range", d.Tasks)
	}
	s.ExpectedDuration = b.duration("$.duration", d.Duration, defaultTaskDuration, maxTaskDuration)
}

func (b *specBuilder) team(d *message.Declaration, s *Spec) {
	b.rejectKeys("team",
		keyPresence{"$.team", d.Team != ""}, keyPresence{"$.needs", d.Needs != nil}, keyPresence{"$.replicas", d.Replicas != 0}, keyPresence{"$.tasks", d.Tasks != 0},
		keyPresence{"$.routes", len(d.Routes) > 0}, keyPresence{"$.treat", d.AllowedActions != nil}, keyPresence{"$.deadline", d.Deadline != ""}, keyPresence{"$.duration", d.Duration != ""})
	if d.Quota == nil {
		b.addProblem("$.name", "add quota with processors, memory and accelerators", "a team needs a quota")
		return
	}
	s.Quota = b.size("$.quota", d.Quota)
}

// setCommon sets what services and jobs have in common.
func (b *specBuilder) setCommon(d *message.Declaration, s *Spec) {
	if !namePattern.MatchString(d.Team) {
		b.addProblem("$.team", "name the team that owns this", "team %q is not a name", d.Team)
	}
	s.Size = message.Size{Millicores: defaultMillicores, Memory: defaultMemory}
	if d.Needs != nil {
		s.Size = b.size("$.needs", d.Needs)
		s.Slots = b.count("$.needs.slots", d.Needs.Slots)
		s.Connections = b.count("$.needs.connections", d.Needs.Connections)
	}
	switch d.Urgency {
	case "", "normal":
	case "urgent":
		s.Urgent = true
	default:
		b.addProblem("$.urgency", "write normal or urgent", "urgency %q is not known", d.Urgency)
	}
	if d.AllowedActions != nil {
		s.AllowThrottle = d.AllowedActions.Throttle
		s.AllowCheckpoint = d.AllowedActions.Checkpoint
		s.AllowEvict = d.AllowedActions.Evict
	}
	if d.Weight < 0 || d.Weight > 1 || math.IsNaN(d.Weight) {
		b.addProblem("$.weight", "write 0 to 1", "weight %v is out of range", d.Weight)
	}
	if d.Weight == 0 {
		s.Weight = defaultWeight
	}
}

// keyPresence tells whether a declaration has a key.
type keyPresence struct {
	path    string
	present bool
}

// rejectKeys adds a problem for each key that is present though its kind of
// declaration does not have it.
func (b *specBuilder) rejectKeys(kind string, keys ...keyPresence) {
	for _, k := range keys {
		if k.present {
			b.addProblem(k.path, "leave it out", "a %s has no %s", kind, strings.TrimPrefix(k.path, "$."))
		}
	}
}

const (
	maxCount          = 1 << 20
	maxProcessors     = 1 << 20
	millicoresPerCore = 1000
)

func (b *specBuilder) count(path string, n int) int {
	if n < 0 || n > maxCount {
		b.addProblem(path, "write 0 to 1048576", "%d is out of range", n)
		return 0
	}
	return n
}

func (b *specBuilder) size(path string, n *message.Resources) message.Size {
	s := message.Size{Millicores: defaultMillicores, Memory: defaultMemory, Accelerators: b.count(path+".accelerators", n.Accelerators)}
	if n.Processors < 0 || n.Processors > maxProcessors || math.IsNaN(n.Processors) {
		b.addProblem(path+".processors", "write cores, such as 2 or 0.5", "processors %v is out of range", n.Processors)
	} else if n.Processors > 0 {
		s.Millicores = int(math.Ceil(n.Processors * millicoresPerCore))
	}
	if n.Memory != "" {
		s.Memory = b.memory(path+".memory", n.Memory)
	}
	return s
}

func (b *specBuilder) memory(path, text string) int {
	for _, u := range memoryUnits {
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
	b.addProblem(path, "write it like 512MiB or 4GiB", "memory %q is not an amount", text)
	return defaultMemory
}

func (b *specBuilder) duration(path, text string, fallback, maximum time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maximum {
		b.addProblem(path, "write it like 800ms, 5s or 40m, up to "+maximum.String(), "%q is not a time", text)
		return fallback
	}
	return d
}

// Idempotent reports whether a request may be repeated. The route with the longest
// matching path decides; without one, all methods but POST and PATCH are
// idempotent.
func (s *Spec) Idempotent(method, path string) bool {
	longest := -1
	idempotent := method != "POST" && method != "PATCH"
	for _, route := range s.Routes {
		if len(route.Path) > longest && strings.HasPrefix(path, route.Path) && matchesMethod(route.Methods, method) {
			longest = len(route.Path)
			idempotent = route.Idempotent
		}
	}
	return idempotent
}

func matchesMethod(methods []string, method string) bool {
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
