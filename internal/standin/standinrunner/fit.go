package standinrunner

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"knapweedspur/internal/standin/fleetsimulator"
)

// fitCommand fits lines through the rows of slopeCommand and prints a table.
type fitCommand struct {
	Title string `arg:"" help:"What grows, for the table."`
	Unit  string `arg:"" help:"The unit of size, for the table."`
}

// Run reads rows from standard input.
func (c *fitCommand) Run(env *environment) error {
	var rows []fleetsimulator.Row
	decoder := json.NewDecoder(os.Stdin)
	for {
		var line struct{ Row fleetsimulator.Row }
		err := decoder.Decode(&line)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		rows = append(rows, line.Row)
	}
	if len(rows) < 3 {
		return fmt.Errorf("%d sizes are too few for a line", len(rows))
	}
	fmt.Fprintf(env.out, "\n%s\n\n| size (%s) | core %% | heap MB | resident MB | links KB/s | appends/s | records/s | log KB/s |\n|---|---|---|---|---|---|---|---|\n", c.Title, c.Unit)
	for _, r := range rows {
		fmt.Fprintf(env.out, "| %.4g | %.2f | %.1f | %.1f | %.2f | %.1f | %.1f | %.2f |\n", r.Size, 100*r.Processor, r.Heap/1e6, r.Resident/1e6, r.Wire/1e3, r.Appends, r.Records, r.Log/1e3)
	}
	fmt.Fprintf(env.out, "\n| slope per %s | base | per unit | largest residual |\n|---|---|---|---|\n", c.Unit)
	c.line(env, rows, "core us/s", 1e6, func(r fleetsimulator.Row) float64 { return r.Processor })
	c.line(env, rows, "heap KB", 1e-3, func(r fleetsimulator.Row) float64 { return r.Heap })
	c.line(env, rows, "resident KB", 1e-3, func(r fleetsimulator.Row) float64 { return r.Resident })
	c.line(env, rows, "links B/s", 1, func(r fleetsimulator.Row) float64 { return r.Wire })
	c.line(env, rows, "log B/s", 1, func(r fleetsimulator.Row) float64 { return r.Log })
	return nil
}

func (c *fitCommand) line(env *environment, rows []fleetsimulator.Row, name string, scale float64, value func(fleetsimulator.Row) float64) {
	var x, y []float64
	for _, r := range rows {
		x = append(x, r.Size)
		y = append(y, value(r)*scale)
	}
	f := fleetsimulator.FitLine(x, y)
	fmt.Fprintf(env.out, "| %s | %.4g | %.4g | %.0f%% |\n", name, f.Intercept, f.Slope, 100*f.MaxResidual)
}
