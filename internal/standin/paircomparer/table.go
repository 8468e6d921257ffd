package paircomparer

import (
	"cmp"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"
)

// Table returns a comparison as a Markdown table. title says what the pairs are for.
func Table(title string, pairs []Pair) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d pairs, seeds %s\n\n", title, len(pairs), seedsOf(pairs))
	b.WriteString("| days | metric | base | with | difference (95 %) | pairs |\n|---|---|---|---|---|---|\n")
	for _, r := range Compare(pairs) {
		digits := 3
		if r.Metric == Over {
			digits = 0
		}
		fmt.Fprintf(&b, "| %s | %s | %.*f | %.*f | %+.*f ± %.*f | %d |\n", r.Group, r.Metric, digits, r.Base, digits, r.With,
			digits, r.Difference.Mean, digits, r.Difference.Half, r.Difference.Count)
	}
	b.WriteString(lossTable(pairs))
	fmt.Fprintf(&b, "\nBroken rules: base %s; with %s\n", brokenIn(pairs, func(p *Pair) *Outcome { return &p.Base }), brokenIn(pairs, func(p *Pair) *Outcome { return &p.With }))
	return b.String()
}

// lossTable returns what was lost by kind and cause, as shares of what a day owes.
func lossTable(pairs []Pair) string {
	base, with := meanLossesBy(pairs, func(p *Pair) *Outcome { return &p.Base }), meanLossesBy(pairs, func(p *Pair) *Outcome { return &p.With })
	keys := maps.Clone(base)
	maps.Copy(keys, with)
	if len(keys) == 0 {
		return ""
	}
	var b strings.Builder
	b.WriteString("\n| lost by | to | base | with |\n|---|---|---|---|\n")
	sorted := slices.SortedFunc(maps.Keys(keys), func(x, y LossKey) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(base[y], base[x]), cmp.Compare(x.Cause, y.Cause))
	})
	for _, k := range sorted {
		fmt.Fprintf(&b, "| %s | %s | %.4f | %.4f |\n", k.Kind, k.Cause, base[k], with[k])
	}
	return b.String()
}

// meanLossesBy returns the mean losses of one side by kind and cause.
func meanLossesBy(pairs []Pair, side func(*Pair) *Outcome) map[LossKey]float64 {
	means := map[LossKey]float64{}
	for i := range pairs {
		for k, lost := range side(&pairs[i]).LostBy {
			means[k] += lost / float64(len(pairs))
		}
	}
	return means
}

func seedsOf(pairs []Pair) string {
	seeds := map[uint64]bool{}
	for i := range pairs {
		seeds[pairs[i].Seed] = true
	}
	return strings.Trim(strings.ReplaceAll(fmt.Sprint(slices.Sorted(maps.Keys(seeds))), " ", ", "), "[]")
}

// brokenIn lists the broken rules of one side.
func brokenIn(pairs []Pair, side func(*Pair) *Outcome) string {
	var list []string
	for i := range pairs {
		for _, rule := range slices.Sorted(maps.Keys(side(&pairs[i]).Broken)) {
			list = append(list, fmt.Sprintf("%s %d (%s %s, seed %d)", rule, side(&pairs[i]).Broken[rule], pairs[i].Site, pairs[i].Day, pairs[i].Seed))
		}
	}
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

// Section is a part of a page: pairs that were played for one purpose.
type Section struct {
	Title string
	Pairs []Pair
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<meta charset="utf-8">
<title>{{.Title}}</title>
<h1>{{.Title}}</h1>
{{range .Sections}}<h2>{{.Title}}</h2>
{{.Points}}
{{.Losses}}
<pre>{{.Table}}</pre>
{{end}}`))

// WritePage writes a comparison as an HTML page with pictures.
func WritePage(out io.Writer, title string, sections []Section) error {
	type section struct {
		Title, Table   string
		Points, Losses template.HTML
	}
	var filled []section
	for _, s := range sections {
		points, err := DrawPairs(s.Pairs)
		if err != nil {
			return err
		}
		losses, err := DrawLosses(s.Pairs)
		if err != nil {
			return err
		}
		// The pictures are drawn here from numbers and names of causes.
		filled = append(filled, section{s.Title, Table(s.Title, s.Pairs), template.HTML(points), template.HTML(losses)}) //nolint:gosec
	}
	return page.Execute(out, map[string]any{"Title": title, "Sections": filled})
}
