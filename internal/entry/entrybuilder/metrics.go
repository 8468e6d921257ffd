package entrybuilder

import (
	"time"

	"knapweedspur/internal/entry/agenttracker"
	"knapweedspur/internal/entry/schedulerdriver"
	"knapweedspur/internal/link/framer"
	"knapweedspur/internal/link/requestlimiter"
	"knapweedspur/internal/log/appender"
	"knapweedspur/internal/metric/exporter"
	"knapweedspur/internal/route/forwarder"
	"knapweedspur/internal/route/retrybudgeter"
)

// exportMetrics exports the metrics of an entry. docs/OPERATIONS.md lists them.
func exportMetrics(l *requestlimiter.Limiter, f *forwarder.Forwarder, b *retrybudgeter.Budget, d *schedulerdriver.Driver, t *agenttracker.Tracker) {
	exporter.Publish("limited", l.Report)
	exporter.Publish("knapweedspur", func() any {
		n := f.Counts()
		taken, denied := b.Totals()
		age, _ := d.ViewAge(time.Now())
		return map[string]any{
			"requests": n.Requests.Load(), "answered": n.Answered.Load(), "retries": taken, "denied": denied,
			"unrun": n.Unrun.Load(), "unknown": n.Unknown.Load(), "ran": n.Ran.Load(), "abandoned": n.Abandoned.Load(),
			"links": trafficMetrics(), "agents": len(t.List()), "age": age.Seconds(), "stalled": d.Appender.Stalled(), "log": appendMetrics(d.Appender.Counts()),
		}
	})
}

// trafficMetrics returns the bytes and frames on all connections with agents.
func trafficMetrics() map[string]int64 {
	sent, received, frames := framer.Traffic()
	return map[string]int64{"sent": sent, "received": received, "frames": frames}
}

func appendMetrics(c appender.Counts) map[string]int64 {
	return map[string]int64{"appends": c.Appends, "records": c.Records, "bytes": c.Bytes}
}
