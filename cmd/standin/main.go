// Command standin emulates the platform in tests and the demo, and runs load,
// measurement and verification tools. It is not part of a release.
package main

import (
	"os"

	"knapweedspur/internal/standin/standinrunner"
)

func main() {
	os.Exit(standinrunner.Run(os.Args[1:], os.Stdout, os.Stderr))
}
