package requestlimiter

import (
	"maps"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/link/budgeter"
)

// event is a reason why a request or a connection came to nothing.
type event string

// The events, as metrics and log lines name them.
const (
	longHead         event = "head_too_long"
	refusedHead      event = "head_refused"
	timedOut         event = "request_timeout"
	idle             event = "idle_timeout"
	unread           event = "answer_timeout"
	overBudget       event = "refused_over_budget"
	noConnection     event = "refused_connection"
	closedForMemory  event = "closed_for_memory"
	closedForConnect event = "closed_for_connections"
)

// shedEvents are the events of connections that are closed in a shortage.
var shedEvents = map[budgeter.Shortage]event{budgeter.Memory: closedForMemory, budgeter.Connections: closedForConnect}

// logInterval is the time between two log lines of an event at one listener.
const logInterval = time.Second

// eventCounter counts events, and writes a log line for the first of each kind in an
// interval with the number of those since the line before.
type eventCounter struct {
	logger hclog.Logger
	mu     sync.Mutex
	total  map[event]int64
	lines  map[lineKey]*line
}

type lineKey struct {
	listener string
	event    event
}

// line is what the next log line of an event will say.
type line struct {
	last  time.Time
	count int
	bytes int64
}

func newEventCounter(logger hclog.Logger) *eventCounter {
	return &eventCounter{logger: logger, total: map[event]int64{}, lines: map[lineKey]*line{}}
}

// add counts an event of a connection that held a number of bytes.
func (e *eventCounter) add(listener string, kind event, bytes int64) {
	count, held := e.record(listener, kind, bytes, time.Now())
	if count == 0 {
		return
	}
	level := hclog.Warn
	if kind == idle {
		level = hclog.Debug // as it should be
	}
	e.logger.Log(level, "requests limited", "listener", listener, "event", string(kind), "count", count, "bytes", held)
}

// record returns the number and bytes of the events that the log line tells of, 0 if none
// is due.
func (e *eventCounter) record(listener string, kind event, bytes int64, now time.Time) (count int, held int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.total[kind]++
	key := lineKey{listener, kind}
	l := e.lines[key]
	if l == nil {
		l = &line{}
		e.lines[key] = l
	}
	l.count++
	l.bytes += bytes
	if now.Sub(l.last) < logInterval {
		return 0, 0
	}
	count, held = l.count, l.bytes
	*l = line{last: now}
	return count, held
}

func (e *eventCounter) counts() map[event]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.total)
}
