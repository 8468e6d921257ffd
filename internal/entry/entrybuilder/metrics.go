package entrybuilder

import (
	"time"

	"knapweedspur/internal/entry/agenttracker"
	"knapweedspur/internal/entry/schedulerdriver"
	"knapweedspur/internal/link/framer"
	"knapweedspur/internal/log/appender"
	"knapweedspur/internal/metric/exporter"
	"knapweedspur/internal/route/forwarder"
	"knapweedspur/internal/route/retrybudgeter"
)

// export publishes the metrics of an entry. docs/OPERATIONS.md lists them.
func export(f *forwarder.Forwarder, b *retrybudgeter.Budget, d *schedulerdriver.Driver, t *agenttracker.Tracker) {
	exporter.Publish("knapweedspur", func() any {
		n := f.Counts()
		taken, denied := b.Totals()
		age, _ := d.ViewAge(time.Now())
		return map[string]any{
			"requests": n.Requests.Load(), "answered": n.Answered.Load(), "retries": taken, "denied": denied,
			"unrun": n.Unrun.Load(), "unknown": n.Unknown.Load(), "ran": n.Ran.Load(), "abandoned": n.Abandoned.Load(),
			"links": links(), "agents": len(t.List()), "age": age.Seconds(), "stalled": d.Appender.Stalled(), "log": counts(d.Appender.Counts()),
		}
	})
}

// links are the bytes and frames of the process's connections.
func links() map[string]int64 {
	sent, received, frames := framer.Traffic()
	return map[string]int64{"sent": sent, "received": received, "frames": frames}
}

func counts(c appender.Counts) map[string]int64 {
	return map[string]int64{"appends": c.Appends, "records": c.Records, "bytes": c.Bytes}
}
