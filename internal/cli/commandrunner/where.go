package commandrunner

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"knapweedspur/internal/frontend/placementexplainer"
	"knapweedspur/internal/job/planner"
)

// whereCommand says where a job would go now and why, without sending it.
type whereCommand struct {
	entryClient
	Job  string `arg:"" help:"File with the body that a client would send, or ID of a job that waits."`
	Host string `help:"Host to which the client would send it; needed with a file."`
	Path string `help:"Path to which the client would send it; needed with a file."`
	JSON bool   `name:"json" help:"Print for programs."`
}

// Help shows examples.
func (c *whereCommand) Help() string {
	return `The entry is named by its address for agents and entries.
Examples:
  knapweedspur where job.json --host nony24.example --path /lohu930/ --entry 10.0.0.5:8443
  knapweedspur where 5c0e7a21d94b36f8 --entry 10.0.0.5:8443`
}

// Run asks an entry and prints the answer.
func (c *whereCommand) Run(env *environment) error {
	question, err := c.question()
	if err != nil {
		return err
	}
	var answer placementexplainer.Answer
	if err := c.call(http.MethodPost, placementexplainer.Path, question, &answer); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.stdout, answer)
	}
	printAnswer(env.stdout, &answer)
	return nil
}

// question returns a question about a file if there is one of the given name, and about
// the ID of a job otherwise.
func (c *whereCommand) question() (*placementexplainer.Question, error) {
	if c.Path == "" && c.Host == "" {
		return &placementexplainer.Question{ID: c.Job}, nil
	}
	body, err := os.ReadFile(c.Job)
	if err != nil {
		return nil, trace.Wrap(err, "read the job")
	}
	if !json.Valid(body) {
		return nil, usageError{trace.BadParameter("%s does not hold JSON", c.Job)}
	}
	return &placementexplainer.Question{Host: c.Host, Path: c.Path, Body: body}, nil
}

func milliseconds(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

func printAnswer(out io.Writer, a *placementexplainer.Answer) {
	switch {
	case a.State != "":
		fmt.Fprintf(out, "job %s of queue %s, pool %s: %s\n", a.Job, a.Queue, a.Pool, a.State)
	case a.Refused != "":
		fmt.Fprintf(out, "queue %s, pool %s: would be refused, come back after %s\n  %s\n", a.Queue, a.Pool, milliseconds(a.RetryAfterMs), a.Refused)
	default:
		fmt.Fprintf(out, "queue %s, pool %s: would be accepted\n", a.Queue, a.Pool)
	}
	fmt.Fprintf(out, "starts in %s and ends in %s at the earliest; objective %s, useful for %s\n", milliseconds(a.StartMs), milliseconds(a.EndMs), milliseconds(a.ObjectiveMs), milliseconds(a.UsefulMs))
	if a.ForecastAgeMs < 0 {
		fmt.Fprintln(out, "by no forecast of a lack of room")
	} else {
		fmt.Fprintf(out, "by a forecast up to %s old\n", milliseconds(a.ForecastAgeMs))
	}
	if a.Note != "" {
		fmt.Fprintln(out, a.Note)
	}
	if a.Leader != "" {
		fmt.Fprintf(out, "by the planner of %s, now, without jobs that go first:\n", a.Leader)
	}
	for i := range a.Steps {
		fmt.Fprintln(out, describeStep(&a.Steps[i]))
	}
	fmt.Fprintf(out, "the entry's view of the log is %s old\n", milliseconds(a.ViewAgeMs))
}

// describeStep returns lines about a step.
func describeStep(s *planner.StepExplanation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  step %d", s.Step)
	if s.Occurrence > 0 {
		fmt.Fprintf(&b, " of occurrence %d", s.Occurrence)
	}
	fmt.Fprintf(&b, ": %d tasks wait, %d run, %d are done", s.Waiting, s.Running, s.Done)
	if len(s.After) > 0 {
		fmt.Fprintf(&b, "; waits for steps %v", s.After)
		return b.String()
	}
	for _, vm := range slices.Sorted(maps.Keys(s.Starts)) {
		fmt.Fprintf(&b, "\n    %d would start on %s", s.Starts[vm], vm)
	}
	for _, reason := range slices.Sorted(maps.Keys(s.Against)) {
		fmt.Fprintf(&b, "\n    not: %d VMs %s", s.Against[reason], reason)
	}
	return b.String()
}
