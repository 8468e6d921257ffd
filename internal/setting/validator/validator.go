// Package validator collects all problems in the settings, so that they are
// reported together.
package validator

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Checker collects problems in settings.
type Checker struct {
	problems []string
}

// AddProblem records that the value of a flag is invalid, and what to set
// instead.
func (c *Checker) AddProblem(flag string, value any, want string) {
	c.problems = append(c.problems, fmt.Sprintf("--%s %v: %s", flag, value, want))
}

// Err returns all problems as one error, or nil if there are none.
func (c *Checker) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return trace.BadParameter("invalid settings:\n  %s", strings.Join(c.problems, "\n  "))
}

// Address checks an address that other processes connect to.
func (c *Checker) Address(flag string, a netip.AddrPort) {
	if !a.IsValid() || a.Port() == 0 {
		c.AddProblem(flag, a, "write an IP number and a port, such as 127.0.0.1:7070")
	}
}

// ListenAddress checks an address to listen on. With port 0 the system chooses
// the port.
func (c *Checker) ListenAddress(flag string, a netip.AddrPort) {
	if !a.IsValid() {
		c.AddProblem(flag, a, "write an IP number and a port, such as 127.0.0.1:7070")
	}
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Name checks the name of a VM, a rack, a domain or a stream.
func (c *Checker) Name(flag, value string) {
	if !namePattern.MatchString(value) {
		c.AddProblem(flag, fmt.Sprintf("%q", value), "write 1 to 63 letters, digits, dots, dashes or underscores")
	}
}

// DurationBetween checks that a duration is within the given bounds, inclusive.
func (c *Checker) DurationBetween(flag string, value, minimum, maximum time.Duration) {
	if value < minimum || value > maximum {
		c.AddProblem(flag, value, fmt.Sprintf("write a time from %v to %v", minimum, maximum))
	}
}

// IntBetween checks that a number is within the given bounds, inclusive.
func (c *Checker) IntBetween(flag string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		c.AddProblem(flag, value, fmt.Sprintf("write a number from %d to %d", minimum, maximum))
	}
}

// Token checks that a token is set, unless the process was explicitly started
// as insecure.
func (c *Checker) Token(token string, insecure bool) {
	if token == "" && !insecure {
		c.AddProblem("token", `""`, "set a token (KNAPWEEDSPUR_TOKEN), or --insecure for a trial on loopback")
	}
}
