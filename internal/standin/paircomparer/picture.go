package paircomparer

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	pictureWidth  = 26 * vg.Centimeter
	pictureHeight = 11 * vg.Centimeter
	barWidth      = 5 * vg.Millimeter
	// windowSeconds is the width of a bar of lost worth.
	windowSeconds = 2
)

// intervals are means with error bars.
type intervals struct {
	plotter.XYs
	plotter.YErrors
}

// DrawPairs draws the difference in worth of each pair and, for each day, the mean with
// its interval. The picture is in SVG.
func DrawPairs(pairs []Pair) ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "difference in worth by pair, with means and 95 % intervals", "with less base"
	p.Add(plotter.NewGrid())
	var points plotter.XYs
	var means intervals
	var names []string
	for _, row := range Compare(pairs) {
		if row.Metric != Worth {
			continue
		}
		x := float64(len(names))
		names = append(names, fmt.Sprintf("%s (%d)", row.Group, row.Difference.Count))
		for i := range pairs {
			if q := &pairs[i]; row.Group == All || row.Group == q.Site || row.Group == q.Site+" "+q.Day {
				points = append(points, plotter.XY{X: x, Y: q.With.Worth - q.Base.Worth})
			}
		}
		half := row.Difference.Half
		if row.Difference.Count < 2 {
			half = 0
		}
		means.XYs = append(means.XYs, plotter.XY{X: x + 0.2, Y: row.Difference.Mean})
		means.YErrors = append(means.YErrors, struct{ Low, High float64 }{half, half})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	bars, err := plotter.NewYErrorBars(means)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	marks, err := plotter.NewScatter(means.XYs)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	marks.Shape = draw.BoxGlyph{}
	p.Add(scatter, bars, marks)
	p.NominalX(names...)
	p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign = 0.5, draw.XRight
	return svg(p)
}

// DrawLosses draws the mean lost worth over the day, stacked by cause: for each time the
// base on the left and the other side on the right. The picture is in SVG.
func DrawLosses(pairs []Pair) ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "lost worth by cause (left: base, right: with)", "seconds", "share of what a day owes"
	causes, last := causesOf(pairs)
	for side, outcome := range []func(*Pair) *Outcome{func(q *Pair) *Outcome { return &q.Base }, func(q *Pair) *Outcome { return &q.With }} {
		var below *plotter.BarChart
		for i, cause := range causes {
			bars, err := plotter.NewBarChart(meanLosses(pairs, outcome, cause, last), barWidth/2)
			if err != nil {
				return nil, trace.Wrap(err)
			}
			bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
			bars.Offset = vg.Length(side)*barWidth/2 - barWidth/4
			if below != nil {
				bars.StackOn(below)
			}
			below = bars
			p.Add(bars)
			if side == 0 {
				p.Legend.Add(cause, bars)
			}
		}
	}
	p.Legend.Top = true
	p.X.Tick.Marker = plot.TickerFunc(func(low, high float64) []plot.Tick {
		var ticks []plot.Tick
		for i := 0; float64(i) <= high; i += 5 {
			ticks = append(ticks, plot.Tick{Value: float64(i), Label: fmt.Sprint(i * windowSeconds)})
		}
		return ticks
	})
	return svg(p)
}

// meanLosses returns the mean lost worth of one side to a cause, by window.
func meanLosses(pairs []Pair, outcome func(*Pair) *Outcome, cause string, last int) plotter.Values {
	values := make(plotter.Values, last/windowSeconds+1)
	for i := range pairs {
		for second, lost := range outcome(&pairs[i]).Lost[cause] {
			if second >= 0 {
				values[second/windowSeconds] += lost / float64(len(pairs))
			}
		}
	}
	return values
}

// causesOf returns the causes of lost worth, and the last second with any.
func causesOf(pairs []Pair) (causes []string, last int) {
	seen := map[string]bool{}
	for i := range pairs {
		for _, o := range []*Outcome{&pairs[i].Base, &pairs[i].With} {
			for cause, lost := range o.Lost {
				seen[cause] = true
				for second := range lost {
					last = max(last, second)
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(seen)), last
}

func svg(p *plot.Plot) ([]byte, error) {
	canvas := vgsvg.New(pictureWidth, pictureHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, trace.Wrap(err)
	}
	return b.Bytes(), nil
}
