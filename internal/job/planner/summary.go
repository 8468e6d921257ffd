package planner

import "time"

// summaryEvery is the interval of the line that tells how full the VMs are.
const summaryEvery = time.Second

// summarize writes what an operator needs to see why tasks wait: how many
// there are, and what of processors and memory is left.
func (b *Planner) summarize(queue []candidate, now time.Time) {
	if now.Sub(b.summarized) < summaryEvery {
		return
	}
	b.summarized = now
	var usable, open, size, memory, reserved, held, busy, fills, slowed int
	var worked float64
	for _, v := range b.sorted {
		if !v.usable(now) {
			continue
		}
		usable++
		if v.serving == 0 {
			open++
		}
		size += v.vitals.Size.Millis
		memory += v.vitals.Size.Memory
		reserved += v.used.Millis
		held += v.used.Memory
		busy += v.busy()
		for _, p := range v.runs {
			if !p.step.spec.Fills {
				continue
			}
			fills++
			worked += p.gauge
			if p.pace <= slowPace {
				slowed++
			}
		}
	}
	waiting, waitingFills := 0, 0
	for i := range queue {
		if s := queue[i].step; s.spec.Fills {
			waitingFills += s.free
		} else {
			waiting += s.free
		}
	}
	b.log("load", "vms", usable, "without_serving", open, "millis", size, "reserved", reserved, "busy", busy,
		"memory", memory, "held", held, "fillers", fills, "slowed", slowed, "filled", int(worked),
		"waiting", waiting, "waiting_fillers", waitingFills)
}
