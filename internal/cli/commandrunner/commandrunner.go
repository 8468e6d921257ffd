// Package commandrunner implements the command line of knapweedspur, one file per
// command.
package commandrunner

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
)

// Exit codes of the process.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// root has the global flags and all commands.
type root struct {
	Level  string `help:"Least level of log lines: trace, debug, info, warn, error." env:"KNAPWEEDSPUR_LEVEL" default:"info" enum:"trace,debug,info,warn,error"`
	Format string `help:"Format of log lines: text or json." env:"KNAPWEEDSPUR_FORMAT" default:"text" enum:"text,json"`

	Entry   entryCommand   `cmd:"" help:"Run an entry."`
	Agent   agentCommand   `cmd:"" help:"Run the agent of a VM."`
	Site    siteCommand    `cmd:"" help:"Run a process on the users' platform."`
	Explain explainCommand `cmd:"" help:"Explain from logs what became of a job."`
	Losses  lossesCommand  `cmd:"" help:"Tell from logs what late jobs lost their time to."`
	Check   checkCommand   `cmd:"" help:"Check declaration files."`
	Publish publishCommand `cmd:"" help:"Publish declaration files."`
	Submit  submitCommand  `cmd:"" help:"Submit a run of a job."`
	Status  statusCommand  `cmd:"" help:"Show members, runs and refusals."`
	Why     whyCommand     `cmd:"" help:"Explain why a run, a VM or a declaration is as it is."`
	Where   whereCommand   `cmd:"" help:"Say where a job would go now and why, without sending it."`
	Drain   drainCommand   `cmd:"" help:"Take work off a VM and give it no more."`
	Cancel  cancelCommand  `cmd:"" help:"Cancel a run."`
	Gates   gatesCommand   `cmd:"" help:"List the mechanisms that --without switches off."`
	Audit   auditCommand   `cmd:"" help:"Show the audit trail of changes."`
	Version versionCommand `cmd:"" help:"Show the version."`
}

// environment has the output streams and the logger of a command.
type environment struct {
	stdout io.Writer
	stderr io.Writer
	logger hclog.Logger
}

// usageError is an error in the arguments of a command; its exit code is exitUsage.
type usageError struct{ error }

// Run runs one command and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	var r root
	parserExit := -1
	parser, err := kong.New(&r,
		kong.Name("knapweedspur"),
		kong.Description("A scheduler for latency-critical and batch work on the same VMs."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { parserExit = code }),
		kong.UsageOnError(),
		kong.Configuration(readSettings),
	)
	if err != nil {
		fmt.Fprintln(stderr, "knapweedspur:", err)
		return exitFailure
	}
	parsed, err := parser.Parse(args)
	if parserExit >= 0 {
		return parserExit
	}
	if err != nil {
		fmt.Fprintf(stderr, "knapweedspur: %v\nTry knapweedspur --help.\n", err)
		return exitUsage
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: "knapweedspur", Level: hclog.LevelFromString(r.Level), Output: stderr, JSONFormat: r.Format == "json"})
	return exitCode(parsed.Run(&environment{stdout: stdout, stderr: stderr, logger: logger}), stderr)
}

// exitCode prints the error, if any, and returns the exit code for it.
func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "knapweedspur:", trace.UserMessage(err))
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}
