// Command standin stands in for the platform in tests and the demo. It never
// ships.
package main

import (
	"os"

	"knapweedspur/internal/standin/standinrunner"
)

func main() {
	os.Exit(standinrunner.Run(os.Args[1:], os.Stdout, os.Stderr))
}
