package commandrunner

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/gravitational/trace"

	"knapweedspur/internal/diagnostic/explainer"
	"knapweedspur/internal/diagnostic/losscounter"
)

// lossesCommand tells from logs what late jobs lost their time to.
type lossesCommand struct {
	Logs []string `arg:"" optional:"" type:"existingfile" help:"Logs of all entries; standard input without any."`
	JSON bool     `name:"json" help:"Print for programs."`
}

// Help shows an example.
func (c *lossesCommand) Help() string {
	return `Run the entries with --lines high enough that no lines are folded.
Example:
  knapweedspur losses entry-*.log`
}

// Run prints the lost share of the worth of each kind of job, by cause.
func (c *lossesCommand) Run(env *environment) error {
	sources := []io.Reader{}
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer f.Close()
		sources = append(sources, f)
	}
	if len(sources) == 0 {
		sources = append(sources, os.Stdin)
	}
	events, err := explainer.ReadEvents(sources...)
	if err != nil {
		return trace.Wrap(err, "read the logs")
	}
	ledger := losscounter.Count(events)
	if c.JSON {
		return printJSON(env.stdout, ledger)
	}
	printTable(env.stdout, "KIND\tJOBS\tLATE\tUNFINISHED\tLOST TO\tSHARE OF THE KIND'S WORTH", lossRows(ledger))
	return nil
}

// lossRows returns a row for each kind and cause, the greatest loss first.
func lossRows(l *losscounter.Ledger) []string {
	sums := l.Sums()
	slices.SortStableFunc(sums, func(a, b losscounter.Loss) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(b.Worth, a.Worth))
	})
	var rows []string
	for _, s := range sums {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%d\t%s\t%.3f", s.Kind, l.Jobs[s.Kind], l.Late[s.Kind], l.Unfinished[s.Kind], s.Cause, s.Worth))
	}
	return rows
}
