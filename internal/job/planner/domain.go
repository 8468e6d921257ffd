package planner

import (
	"slices"
	"time"

	"knapweedspur/internal/wire/work"
)

// evacuation holds the failure domains that the operators want to get no new work.
type evacuation struct {
	domains []string
	// knownAt is when these were all of them, zero while they are not known.
	knownAt time.Time
}

// SetEvacuation replaces the evacuated failure domains. They stay as they are while
// the present ones are not known, which is nil.
func (pl *Planner) SetEvacuation(e *work.Evacuation, now time.Time) {
	if e != nil {
		pl.evacuation = evacuation{domains: e.Domains, knownAt: now.Add(-e.Age)}
	}
}

// evacuated reports whether the failure domain of the VM is to get no new work.
func (pl *Planner) evacuated(v *vm) bool {
	return slices.Contains(pl.evacuation.domains, v.workerStatus.Zone)
}

// domainOpen reports whether a task may start on the VM as far as the operators'
// requests go.
func (pl *Planner) domainOpen(v *vm, now time.Time) bool {
	limit := pl.Settings.MaxRequestAge
	return !pl.evacuated(v) && (limit == 0 || now.Sub(pl.evacuation.knownAt) <= limit)
}

// stopUnstarted stops a run that has not started on a VM whose failure domain is
// evacuated, so that its task goes elsewhere, and reports whether it did. The members
// of a gang are stopped together, since they work only together.
func (pl *Planner) stopUnstarted(p *placement, now time.Time) bool {
	s := p.step
	if i := runIndex(&s.tasks[p.index], p.run); !pl.evacuated(p.vm) || i < 0 || s.tasks[p.index].Runs[i].StopReason != "" {
		return false
	}
	for index := range s.tasks {
		if i := runIndex(&s.tasks[index], p.run); i >= 0 && (s.spec.Gang || index == p.index) {
			pl.stopRun(s, index, i, "its failure domain is evacuated", now)
		}
	}
	p.startCommandsNumber = p.vm.lastCommandsNumber
	return true
}
