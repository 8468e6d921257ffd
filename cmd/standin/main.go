// Command standin stands in for the platform in tests and the demo. It never
// ships.
package main

import (
	"os"

	"knapweedspur/internal/standin/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
