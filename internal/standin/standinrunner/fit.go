package standinrunner

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"knapweedspur/internal/standin/fleetsimulator"
)

// fitCommand fits lines to the rows that slopeCommand prints, and prints the rows
// and the fits as tables.
type fitCommand struct {
	Title string `arg:"" help:"What grows, for the table."`
	Unit  string `arg:"" help:"The unit of size, for the table."`
}

// Run reads rows from standard input.
func (c *fitCommand) Run(env *environment) error {
	var rows []fleetsimulator.IntervalUsage
	decoder := json.NewDecoder(os.Stdin)
	for {
		var input struct{ Row fleetsimulator.IntervalUsage }
		err := decoder.Decode(&input)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		rows = append(rows, input.Row)
	}
	if len(rows) < 3 {
		return fmt.Errorf("need rows of at least 3 sizes to fit a line, got %d", len(rows))
	}
	fmt.Fprintf(env.stdout, "\n%s\n\n| size (%s) | core %% | heap MB | resident MB | links KB/s | appends/s | records/s | log KB/s |\n|---|---|---|---|---|---|---|---|\n", c.Title, c.Unit)
	for _, r := range rows {
		fmt.Fprintf(env.stdout, "| %.4g | %.2f | %.1f | %.1f | %.2f | %.1f | %.1f | %.2f |\n", r.Size, 100*r.Processor, r.Heap/1e6, r.Resident/1e6, r.Wire/1e3, r.Appends, r.Records, r.Log/1e3)
	}
	fmt.Fprintf(env.stdout, "\n| slope per %s | base | per unit | largest residual |\n|---|---|---|---|\n", c.Unit)
	c.printFit(env, rows, "core us/s", 1e6, func(r fleetsimulator.IntervalUsage) float64 { return r.Processor })
	c.printFit(env, rows, "heap KB", 1e-3, func(r fleetsimulator.IntervalUsage) float64 { return r.Heap })
	c.printFit(env, rows, "resident KB", 1e-3, func(r fleetsimulator.IntervalUsage) float64 { return r.Resident })
	c.printFit(env, rows, "links B/s", 1, func(r fleetsimulator.IntervalUsage) float64 { return r.Wire })
	c.printFit(env, rows, "log B/s", 1, func(r fleetsimulator.IntervalUsage) float64 { return r.Log })
	return nil
}

func (c *fitCommand) printFit(env *environment, rows []fleetsimulator.IntervalUsage, name string, scale float64, value func(fleetsimulator.IntervalUsage) float64) {
	var x, y []float64
	for _, r := range rows {
		x = append(x, r.Size)
		y = append(y, value(r)*scale)
	}
	fit := fleetsimulator.FitLine(x, y)
	fmt.Fprintf(env.stdout, "| %s | %.4g | %.4g | %.0f%% |\n", name, fit.Intercept, fit.Slope, 100*fit.MaxResidual)
}
