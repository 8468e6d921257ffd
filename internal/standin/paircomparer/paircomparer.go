// Package paircomparer compares two versions of the program by pairs of plays: both
// sides of a pair play the same day under the same seed.
package paircomparer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Outcome is what one play was worth.
type Outcome struct {
	Worth float64
	// Kinds is the share of the owed worth that each kind of request earned.
	Kinds map[string]float64
	// Over is for how long serving tasks missed their objective because of fillers.
	Over time.Duration
	// Broken counts broken rules by name.
	Broken map[string]int
	// Lost is the lost worth, as a share of what the day owes, by cause and by the second
	// from which the request came.
	Lost map[string]map[int]float64
	// LostBy is the same by kind of request and cause.
	LostBy map[LossKey]float64
}

// LossKey is a kind of request and a cause of its lost worth.
type LossKey struct{ Kind, Cause string }

// Pair is a day that both sides have played.
type Pair struct {
	Site, Day  string
	Seed       uint64
	Base, With Outcome
}

// Interval is a mean with its 95% confidence interval.
type Interval struct {
	Mean float64
	// Half is half the width of the interval, infinite for a single value.
	Half  float64
	Count int
}

// confidence is the probability with which an interval covers the true mean.
const confidence = 0.95

// NewInterval returns the mean of values and its interval by Student's t distribution.
func NewInterval(values []float64) Interval {
	n := len(values)
	if n < 2 {
		return Interval{Mean: stat.Mean(values, nil), Half: math.Inf(1), Count: n}
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	t := distuv.StudentsT{Sigma: 1, Nu: float64(n - 1)}
	return Interval{Mean: mean, Half: t.Quantile((1+confidence)/2) * stat.StdErr(deviation, float64(n)), Count: n}
}

// Row is a line of a comparison: the difference of a metric over a group of pairs.
type Row struct {
	Group, Metric string
	Base, With    float64
	Difference    Interval
}

// Names of metrics beside the kinds of requests, and of the group of all pairs.
const (
	Worth = "worth"
	Over  = "seconds over"
	All   = "all"
)

// Compare returns the rows of a comparison: for all pairs, then by site and day, the
// worth, each kind and the time over the objective.
func Compare(pairs []Pair) []Row {
	groups := map[string][]Pair{}
	var names []string
	add := func(name string, p *Pair) {
		if groups[name] == nil {
			names = append(names, name)
		}
		groups[name] = append(groups[name], *p)
	}
	sorted := slices.Clone(pairs)
	slices.SortFunc(sorted, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Day, b.Day), cmp.Compare(a.Seed, b.Seed))
	})
	sites := map[string]bool{}
	for i := range sorted {
		sites[sorted[i].Site] = true
		add(All, &sorted[i])
	}
	for i := range sorted {
		if p := &sorted[i]; len(sites) > 1 {
			add(p.Site, p)
		}
		add(sorted[i].Site+" "+sorted[i].Day, &sorted[i])
	}
	var rows []Row
	for _, name := range names {
		rows = append(rows, compareGroup(name, groups[name])...)
	}
	return rows
}

func compareGroup(group string, pairs []Pair) []Row {
	rows := []Row{compareMetric(group, Worth, pairs, func(o *Outcome) float64 { return o.Worth })}
	for _, kind := range kindsOf(pairs) {
		rows = append(rows, compareMetric(group, kind, pairs, func(o *Outcome) float64 { return o.Kinds[kind] }))
	}
	return append(rows, compareMetric(group, Over, pairs, func(o *Outcome) float64 { return o.Over.Seconds() }))
}

// kindsOf returns the kinds of requests that all plays of a group have.
func kindsOf(pairs []Pair) []string {
	var kinds []string
	for kind := range pairs[0].Base.Kinds {
		inAll := !slices.ContainsFunc(pairs, func(p Pair) bool {
			_, inBase := p.Base.Kinds[kind]
			_, inWith := p.With.Kinds[kind]
			return !inBase || !inWith
		})
		if inAll {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

func compareMetric(group, metric string, pairs []Pair, value func(*Outcome) float64) Row {
	var base, with, differences []float64
	for i := range pairs {
		b, w := value(&pairs[i].Base), value(&pairs[i].With)
		base, with, differences = append(base, b), append(with, w), append(differences, w-b)
	}
	return Row{Group: group, Metric: metric, Base: stat.Mean(base, nil), With: stat.Mean(with, nil), Difference: NewInterval(differences)}
}
