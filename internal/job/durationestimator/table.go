package durationestimator

import (
	"cmp"
	"math"
	"slices"

	"knapweedspur/internal/wire/work"
)

const (
	// maxQueues and maxKinds bound the table. The kinds are bounded for each queue, so
	// that a client with many images does not displace those of others.
	maxQueues = 64
	maxKinds  = 16
	// MaxRecordBytes bounds the encoded table, entryBytes is the most that an entry
	// takes there without its names.
	MaxRecordBytes = 4096
	entryBytes     = 106
	// unit is that of stored logarithms: a hundredth.
	unit = 100
)

// shrink drops the kinds and queues that ended longest ago beyond the bounds.
func (e *Estimator) shrink(queue string) {
	var oldest *Kind
	count := 0
	for kind, l := range e.kinds {
		if kind.Queue != queue {
			continue
		}
		count++
		if oldest == nil || l.changed < e.kinds[*oldest].changed {
			oldest = &kind
		}
	}
	if count > maxKinds {
		delete(e.kinds, *oldest)
	}
	if len(e.queues) <= maxQueues {
		return
	}
	drop := queue
	for name, l := range e.queues {
		if l.changed < e.queues[drop].changed {
			drop = name
		}
	}
	delete(e.queues, drop)
	for kind := range e.kinds {
		if kind.Queue == drop {
			delete(e.kinds, kind)
		}
	}
}

// Table returns what was learned, for the log, in a fixed order: queues before kinds,
// the newest first, as many as fit into MaxRecordBytes.
func (e *Estimator) Table() *work.LearnedDurations {
	type entry struct {
		kind    Kind
		ofQueue bool
		learned *learned
	}
	entries := make([]entry, 0, len(e.queues)+len(e.kinds))
	for name, l := range e.queues {
		entries = append(entries, entry{Kind{Queue: name, Step: allSteps}, true, l})
	}
	for kind, l := range e.kinds {
		entries = append(entries, entry{kind, false, l})
	}
	slices.SortFunc(entries, func(a, b entry) int {
		if a.ofQueue != b.ofQueue {
			if a.ofQueue {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.learned.changed, a.learned.changed), cmp.Compare(a.kind.Queue, b.kind.Queue), cmp.Compare(a.kind.Image, b.kind.Image), cmp.Compare(a.kind.Step, b.kind.Step))
	})
	table := &work.LearnedDurations{}
	size := 0
	for _, x := range entries {
		size += entryBytes + len(x.kind.Queue) + len(x.kind.Image)
		if size > MaxRecordBytes {
			break
		}
		l := x.learned
		table.Kinds = append(table.Kinds, work.LearnedDuration{
			Queue: x.kind.Queue, Image: x.kind.Image, Step: x.kind.Step, Count: round(l.ratio.count),
			RatioMean: round(l.ratio.mean), RatioVariance: round(l.ratio.variance),
			DurationMean: round(l.duration.mean), DurationVariance: round(l.duration.variance), TaskVariance: round(l.uneven.mean),
		})
	}
	return table
}

// allSteps is the step of an entry for a whole queue.
const allSteps = -1

// Restore sets what Table returned.
func (e *Estimator) Restore(table *work.LearnedDurations) {
	for i := len(table.Kinds) - 1; i >= 0; i-- {
		d := &table.Kinds[i]
		l := e.queue(d.Queue)
		if d.Step != allSteps {
			l = e.kind(Kind{d.Queue, d.Image, d.Step})
		}
		count := value(d.Count)
		e.changes++
		l.changed = e.changes
		l.ratio = moments{count, clip(value(d.RatioMean)), value(d.RatioVariance)}
		l.duration = moments{count, value(d.DurationMean), value(d.DurationVariance)}
		if d.Step == allSteps {
			l.uneven = moments{count: count, mean: value(d.TaskVariance)}
		}
	}
}

func round(x float64) int { return int(math.Round(x * unit)) }
func value(x int) float64 { return float64(x) / unit }
