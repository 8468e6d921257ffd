package planner

import (
	"time"

	"knapweedspur/internal/job/sequencer"
)

// loadLogInterval is the interval at which the load of the VMs is logged.
const loadLogInterval = time.Second

// logLoad logs what an operator needs to see why tasks wait: how many tasks
// wait, and how much of the processors and memory is in use.
func (pl *Planner) logLoad(candidates []candidate, now time.Time) {
	if now.Sub(pl.lastLoadLog) < loadLogInterval {
		return
	}
	pl.lastLoadLog = now
	var usable, evacuated, withoutServing, millicores, memory, reserved, reservedMemory, busy, fillers, slowed int
	var fillerUse float64
	for _, v := range pl.sortedVMs {
		if !v.usable(now) {
			continue
		}
		usable++
		if pl.evacuated(v) {
			evacuated++
		}
		if v.servingRuns == 0 {
			withoutServing++
		}
		millicores += v.workerStatus.Capacity.Millicores
		memory += v.workerStatus.Capacity.Memory
		reserved += v.reserved.Millicores
		reservedMemory += v.reserved.Memory
		busy += v.expectedUse()
		for _, p := range v.runs {
			if !p.step.spec.Filler {
				continue
			}
			fillers++
			fillerUse += p.measurement
			if p.pace <= slowPace {
				slowed++
			}
		}
	}
	waiting, waitingFillers := 0, 0
	for i := range candidates {
		if s := candidates[i].step; s.spec.Filler {
			waitingFillers += s.waiting
		} else {
			waiting += s.waiting
		}
	}
	classes := pl.countClasses()
	pl.logDecision("load", "vms", usable, "evacuated", evacuated, "without_serving", withoutServing, "millis", millicores, "reserved", reserved, "busy", busy,
		"memory", memory, "held", reservedMemory, "fillers", fillers, "slowed", slowed, "filled", int(fillerUse),
		"waiting", waiting, "waiting_fillers", waitingFillers, "in_time", classes[sequencer.InTime], "late", classes[sequencer.Late], "rest", classes[sequencer.Rest],
		"promised", pl.promises.count.given, "promises_kept", pl.promises.count.kept, "held_back", pl.promises.count.heldBack, "gave_way", pl.yields,
		"suspects", len(pl.crashes.suspects), "kept", pl.countKeptVMs())
	pl.promises.count, pl.yields = promiseCount{}, 0
	pl.logIdle(candidates, now)
}
