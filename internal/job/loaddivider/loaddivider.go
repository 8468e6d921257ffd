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

// Limit returns the limit on weight times pace at which all parts together add a load of
// at most budget, infinite if they do so at full pace. It sorts the parts.
func Limit(parts []Part, budget float64) float64 {
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a.Weight, b.Weight) })
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
	// Load is its load without fillers.
	Load float64
	// Parts are the fillers beside it.
	Parts []Part
	// Weight is that of the further filler.
	Weight float64
}

// Predict returns the pace, from 0 to 1, of a further filler that uses a share of the VM,
// if the load of no serving task may rise above maxLoad.
func Predict(servings []Serving, share, maxLoad float64) float64 {
	pace := 1.0
	for i := range servings {
		s := &servings[i]
		limit := Limit(append(s.Parts, Part{s.Weight, share}), max(maxLoad-s.Load, MinBudget))
		pace = min(pace, Pace(s.Weight, limit))
	}
	return pace
}
