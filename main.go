// Command knapweedspur schedules latency-critical and batch work on the same
// VMs.
package main

import (
	"os"

	"knapweedspur/internal/cli/commandrunner"
)

func main() {
	os.Exit(commandrunner.Run(os.Args[1:], os.Stdout, os.Stderr))
}
