package planner

import "time"

// summaryInterval is the interval at which the load of the VMs is logged.
const summaryInterval = time.Second

// logLoad logs what an operator needs to see why tasks wait: how many tasks
// wait, and how much of the processors and memory is in use.
func (pl *Planner) logLoad(queue []candidate, now time.Time) {
	if now.Sub(pl.lastSummary) < summaryInterval {
		return
	}
	pl.lastSummary = now
	var usable, withoutServing, millis, memory, reserved, reservedMemory, busy, fillers, slowed int
	var fillerUse float64
	for _, v := range pl.sortedVMs {
		if !v.usable(now) {
			continue
		}
		usable++
		if v.servingRuns == 0 {
			withoutServing++
		}
		millis += v.vitals.Capacity.Millicores
		memory += v.vitals.Capacity.Memory
		reserved += v.reserved.Millicores
		reservedMemory += v.reserved.Memory
		busy += v.expectedUse()
		for _, p := range v.runs {
			if !p.step.spec.Filler {
				continue
			}
			fillers++
			fillerUse += p.gauge
			if p.pace <= slowPace {
				slowed++
			}
		}
	}
	waiting, waitingFillers := 0, 0
	for i := range queue {
		if s := queue[i].step; s.spec.Filler {
			waitingFillers += s.waiting
		} else {
			waiting += s.waiting
		}
	}
	pl.logDecision("load", "vms", usable, "without_serving", withoutServing, "millis", millis, "reserved", reserved, "busy", busy,
		"memory", memory, "held", reservedMemory, "fillers", fillers, "slowed", slowed, "filled", int(fillerUse),
		"waiting", waiting, "waiting_fillers", waitingFillers)
}
