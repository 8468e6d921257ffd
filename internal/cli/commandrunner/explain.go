package commandrunner

import (
	"encoding/json"
	"io"
	"os"

	"github.com/gravitational/trace"

	"knapweedspur/internal/diagnostic/explainer"
)

// explainCommand prints the timeline of one job or task from the logs of all
// processes.
type explainCommand struct {
	ID   string   `arg:"" help:"Id of a job, or name of a task."`
	Logs []string `arg:"" optional:"" help:"Log files of all processes; standard input where none is named."`
	JSON bool     `help:"Print the story as JSON."`
}

// Help shows an example.
func (c *explainCommand) Help() string {
	return `Example:
  knapweedspur explain 5c0e7a21d94b36f8 entry-*.log agent-*.log`
}

// Run reads the logs and prints the timeline.
func (c *explainCommand) Run(env *environment) error {
	sources := []io.Reader{os.Stdin}
	if len(c.Logs) > 0 {
		sources = nil
	}
	for _, name := range c.Logs {
		file, err := os.Open(name)
		if err != nil {
			return trace.Wrap(err, "open the log %s", name)
		}
		defer file.Close()
		sources = append(sources, file)
	}
	timeline, err := explainer.Read(c.ID, sources...)
	if err != nil {
		return trace.Wrap(err, "read the logs")
	}
	if c.JSON {
		encoder := json.NewEncoder(env.stdout)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(timeline))
	}
	timeline.Print(env.stdout)
	return nil
}
