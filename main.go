// Command knapweedspur schedules latency-critical and batch work on the same
// VMs.
package main

import (
	"os"

	"knapweedspur/internal/cli/runner"
)

func main() {
	os.Exit(runner.Run(os.Args[1:], os.Stdout, os.Stderr))
}
