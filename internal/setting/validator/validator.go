// Package validator collects the faults of settings, so that all are reported
// at once.
package validator

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Checker collects faults.
type Checker struct {
	faults []string
}

// Fault notes a fault of a flag: its value and what would be right.
func (c *Checker) AddProblem(flag string, value any, want string) {
	c.faults = append(c.faults, fmt.Sprintf("--%s %v: %s", flag, value, want))
}

// Err returns all faults as one error, or nil.
func (c *Checker) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return trace.BadParameter("wrong settings:\n  %s", strings.Join(c.faults, "\n  "))
}

// Address checks an address that others reach.
func (c *Checker) Address(flag string, a netip.AddrPort) {
	if !a.IsValid() || a.Port() == 0 {
		c.AddProblem(flag, a, "write an IP number and a port, such as 127.0.0.1:7070")
	}
}

// Listen checks an address to listen on. Port 0 lets the system choose.
func (c *Checker) ListenAddress(flag string, a netip.AddrPort) {
	if !a.IsValid() {
		c.AddProblem(flag, a, "write an IP number and a port, such as 127.0.0.1:7070")
	}
}

var name = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Name checks the name of a VM, a rack, a domain or a stream.
func (c *Checker) Name(flag, value string) {
	if !name.MatchString(value) {
		c.AddProblem(flag, fmt.Sprintf("%q", value), "write 1 to 63 letters, digits, dots, dashes or underscores")
	}
}

// Between checks that a time lies between two others.
func (c *Checker) DurationBetween(flag string, value, least, most time.Duration) {
	if value < least || value > most {
		c.AddProblem(flag, value, fmt.Sprintf("write a time from %v to %v", least, most))
	}
}

// Count checks that a number lies between two others.
func (c *Checker) IntBetween(flag string, value, least, most int) {
	if value < least || value > most {
		c.AddProblem(flag, value, fmt.Sprintf("write a number from %d to %d", least, most))
	}
}

// Token refuses to run without a token unless that was asked for.
func (c *Checker) Token(token string, insecure bool) {
	if token == "" && !insecure {
		c.AddProblem("token", `""`, "set a token (KNAPWEEDSPUR_TOKEN), or --insecure for a trial on loopback")
	}
}
