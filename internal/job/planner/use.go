package planner

import (
	"cmp"
	"slices"

	"knapweedspur/internal/wire/work"
)

// processorUse is the processor use of the runs of a VM.
type processorUse struct {
	// known is set until a run, its pace, the load of its step or the VM changes.
	known bool
	// unused is what the serving runs are expected to leave of their reservations, fillers
	// the use of the fillers at their current pace, in millicores.
	unused  float64
	fillers int
	// fillerShares holds, by image, the shares of the VM that fillers use when all run at
	// full pace, of at most maxImages images.
	fillerShares map[string]float64
	// serving holds a run of each serving step, at most maxServingSteps, those with the
	// highest load.
	serving []*placement
}

const (
	// maxImages bounds the images of fillers on a VM that are told apart, maxServingSteps
	// the serving steps whose interference with them is considered.
	maxImages       = 24
	maxServingSteps = 16
	// otherImages is the image of all fillers beyond them.
	otherImages = ""
)

// addShare adds the share of an image, that of otherImages if there are too many.
func addShare(shares map[string]float64, image string, share float64) {
	if _, known := shares[image]; !known && len(shares) >= maxImages {
		image = otherImages
	}
	shares[image] += share
}

// expectedUse returns the processor use expected of the runs that reserve
// processors, in millicores.
func (v *vm) expectedUse() int {
	v.measureUse()
	return v.reserved.Millicores - int(v.use.unused)
}

// fillerUse returns the processor use of the fillers at their current pace, in
// millicores.
func (v *vm) fillerUse() int {
	v.measureUse()
	return v.use.fillers
}

// adjustUse follows a change of the runs, where it is known what that changes.
func (v *vm) adjustUse(spec *work.Step, sign int) {
	switch {
	case spec.LatencyTarget > 0 || spec.Filler && sign < 0:
		v.use.known = false
	case !v.use.known:
	case spec.Filler:
		v.use.fillers += spec.Size.Millicores
		addShare(v.use.fillerShares, spec.Image, float64(spec.Size.Millicores)/float64(max(v.workerStatus.Capacity.Millicores, 1)))
	}
}

// addServing follows a new serving run.
func (u *processorUse) addServing(p *placement, firstOfStep bool) {
	u.unused += p.step.unusedMillicores()
	if firstOfStep && len(u.serving) < maxServingSteps {
		u.serving = append(u.serving, p)
	}
}

// unusedMillicores returns what a run of a serving step is expected to leave of its
// reservation.
func (s *step) unusedMillicores() float64 {
	load := s.load
	if load == 0 {
		load = assumedServingLoad
	}
	return (1 - min(load+loadMargin, 1)) * float64(s.spec.Size.Millicores)
}

func (v *vm) measureUse() {
	if v.use.known {
		return
	}
	unused, fillers := 0.0, 0
	shares, serving, seen := map[string]float64{}, []*placement(nil), map[*step]bool{}
	for _, p := range v.runs {
		if p.step.spec.LatencyTarget > 0 {
			unused += p.step.unusedMillicores()
			if !seen[p.step] {
				seen[p.step] = true
				serving = append(serving, p)
			}
		}
		if p.step.spec.Filler {
			fillers += p.step.spec.Size.Millicores * p.pace / fullPace
			addShare(shares, p.step.spec.Image, float64(p.step.spec.Size.Millicores)/float64(max(v.workerStatus.Capacity.Millicores, 1)))
		}
	}
	if len(serving) > maxServingSteps {
		slices.SortFunc(serving, func(a, b *placement) int { return cmp.Compare(b.expectedLoad(), a.expectedLoad()) })
		serving = serving[:maxServingSteps]
	}
	v.use = processorUse{known: true, unused: unused, fillers: fillers, fillerShares: shares, serving: serving}
}

// loadMargin is added to the current load of a serving task because the load
// varies.
const loadMargin = 0.05

// adjustReserved adds what a run reserves, or takes it off.
func (v *vm) adjustReserved(spec *work.Step, sign int) {
	v.adjustUse(spec, sign)
	v.reserved.Memory += sign * spec.Size.Memory
	v.reserved.Accelerators += sign * spec.Size.Accelerators
	if spec.Filler {
		v.fillerMillicores += sign * spec.Size.Millicores
	} else {
		v.reserved.Millicores += sign * spec.Size.Millicores
	}
	if reservesForLong(spec) {
		v.longRunningMillicores += sign * spec.Size.Millicores
	}
	if spec.LatencyTarget > 0 {
		v.servingRuns += sign
		v.servingImages[spec.Image] += sign
		if v.servingImages[spec.Image] == 0 {
			delete(v.servingImages, spec.Image)
		}
	}
}
