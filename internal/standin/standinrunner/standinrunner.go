// Package standinrunner is the command line of the emulators and measurement
// tools, with one file per command.
package standinrunner

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/alecthomas/kong"
)

type root struct {
	Log      logCommand      `cmd:"" help:"Stand in for the log service."`
	Worker   workerCommand   `cmd:"" help:"Stand in for a worker."`
	Upstream upstreamCommand `cmd:"" help:"Stand in for an upstream."`
	Load     loadCommand     `cmd:"" help:"Send a load and check the answers."`
	Slope    slopeCommand    `cmd:"" help:"Measure what a process spends at one size."`
	State    stateCommand    `cmd:"" help:"Measure the folded state of many tasks."`
	Fit      fitCommand      `cmd:"" help:"Fit lines through measured sizes."`
	Soak     soakCommand     `cmd:"" help:"Run the real programs on loopback under faults by a seed, and check the promises."`
	Lab      labCommand      `cmd:"" help:"Try decisions in virtual time, without a network."`
	Compare  compareCommand  `cmd:"" help:"Compare two versions, or one without a mechanism, by pairs of plays."`
	Verify   verifyCommand   `cmd:"" help:"Check what workers and upstreams saw against the promises."`
}

type environment struct{ stdout, stderr io.Writer }

// Run runs one command and returns the exit code: 1 for a failed command, 2 for
// wrong arguments.
func Run(args []string, stdout, stderr io.Writer) int {
	var r root
	exitCode := -1
	parser, err := kong.New(&r, kong.Name("standin"), kong.Writers(stdout, stderr), kong.Exit(func(code int) { exitCode = code }))
	if err != nil {
		fmt.Fprintln(stderr, "standin:", err)
		return 1
	}
	parsed, err := parser.Parse(args)
	if exitCode >= 0 {
		return exitCode
	}
	if err != nil {
		fmt.Fprintln(stderr, "standin:", err)
		return 2
	}
	if err := parsed.Run(&environment{stdout: stdout, stderr: stderr}); err != nil {
		fmt.Fprintln(stderr, "standin:", err)
		return 1
	}
	return 0
}

const headerTimeout = 5 * time.Second

// serve listens and serves until the process is terminated.
func serve(address netip.AddrPort, handler http.Handler) error {
	s := &http.Server{Addr: address.String(), Handler: handler, ReadHeaderTimeout: headerTimeout}
	return s.ListenAndServe()
}
