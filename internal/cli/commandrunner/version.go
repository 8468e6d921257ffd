package commandrunner

import (
	"fmt"
	"runtime/debug"
)

// Release is the version of knapweedspur.
const Release = "0.1.0"

// versionCommand shows the version.
type versionCommand struct{}

// Run prints the version, and the VCS revision if the build recorded it.
func (c *versionCommand) Run(env *environment) error {
	revision := "unknown revision"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	fmt.Fprintf(env.stdout, "knapweedspur %s (%s)\n", Release, revision)
	return nil
}
