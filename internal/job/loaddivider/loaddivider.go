// Package loaddivider divides the load that a serving task can take among the fillers
// beside it. Agents pace fillers by it, and the planner predicts by the same rule how
// fast a further filler would run.
package loaddivider

import (
	"cmp"
	"math"
	"slices"
)

const (
	// NegligibleWeight is the weight up to which a filler is not slowed.
	NegligibleWeight = 0.05
	// MinBudget is the load that fillers may add even if the serving task alone takes all
	// that it can, so that fillers with little interference go on.
	MinBudget = 0.05
)

// Part is a group of fillers that run at the same pace.
type Part struct {
	// Weight is the load that the fillers add to the serving task per VM that they fill.
	Weight float64
	// Share is the share of the VM that they use.
	Share float64
}

// Limit returns the limit on the weight of each part, as a paced one has it, at which
// all parts together add a load of at most budget. It is infinite if they do without.
// Limit sorts the parts.
func Limit(parts []Part, budget float64) float64 {
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a.Weight, b.Weight) })
	return limitSorted(parts, budget)
}

func limitSorted(parts []Part, budget float64) float64 {
	rest := 0.0
	for _, p := range parts {
		rest += p.Share
	}
	for _, p := range parts {
		if p.Weight*rest > budget {
			return max(budget, 0) / rest
		}
		budget -= p.Weight * p.Share
		rest -= p.Share
	}
	return math.Inf(1)
}

// Pace returns the pace, from 0 to 1, at which fillers of a weight keep to a limit.
func Pace(weight, limit float64) float64 {
	if weight <= NegligibleWeight {
		return 1
	}
	return min(1, limit/weight)
}

// Serving is a serving task as a further filler would find it.
type Serving struct {
	// Loads are its expected loads in the next seconds, without fillers.
	Loads []float64
	// Parts are the fillers beside it.
	Parts []Part
	// Weight is that of the further filler.
	Weight float64
}

// Predict returns the mean pace of a further filler that uses a share of the VM, if the
// load of no serving task may rise above maxLoad.
func Predict(servings []Serving, share, maxLoad float64, seconds int) float64 {
	paces := make([]float64, seconds)
	for i := range paces {
		paces[i] = 1
	}
	for i := range servings {
		s := &servings[i]
		parts := append(s.Parts, Part{s.Weight, share})
		slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a.Weight, b.Weight) })
		for second := range paces {
			budget := max(maxLoad-s.Loads[min(second, len(s.Loads)-1)], MinBudget)
			paces[second] = min(paces[second], Pace(s.Weight, limitSorted(parts, budget)))
		}
	}
	sum := 0.0
	for _, pace := range paces {
		sum += pace
	}
	return sum / float64(max(seconds, 1))
}
