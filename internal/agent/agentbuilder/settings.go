// Package agentbuilder builds an agent from its components.
package agentbuilder

import (
	"net/netip"
	"time"

	"knapweedspur/internal/link/requestlimiter"
	"knapweedspur/internal/setting/validator"
)

// Settings are the settings of an agent.
type Settings struct {
	Entries  []netip.AddrPort `help:"Control addresses of entries; the agent learns further ones." env:"KNAPWEEDSPUR_ENTRIES" required:""`
	VM       string           `name:"vm" help:"Name of this VM, unique in its region." env:"KNAPWEEDSPUR_VM" required:""`
	Rack     string           `help:"Rack of this VM." env:"KNAPWEEDSPUR_RACK" default:"none"`
	Domain   string           `help:"Failure domain of this VM." env:"KNAPWEEDSPUR_DOMAIN" required:""`
	Service  string           `help:"Service of the upstream on this VM." env:"KNAPWEEDSPUR_SERVICE"`
	Upstream netip.AddrPort   `help:"Address of the upstream on this VM." env:"KNAPWEEDSPUR_UPSTREAM"`
	Worker   netip.AddrPort   `help:"Address of the worker on this VM." env:"KNAPWEEDSPUR_WORKER"`
	Metrics  netip.AddrPort   `help:"Address for metrics and the health check." env:"KNAPWEEDSPUR_METRICS"`
	Token    string           `help:"Token to show to entries." env:"KNAPWEEDSPUR_TOKEN"`
	Insecure bool             `help:"Run without a token, for a trial on loopback." env:"KNAPWEEDSPUR_INSECURE"`
	Links    int              `help:"Entries to stay connected to." env:"KNAPWEEDSPUR_LINKS" default:"3"`
	Beat     time.Duration    `help:"Time between heartbeats; the same as the entries'." env:"KNAPWEEDSPUR_BEAT" default:"1s"`
	Probe    time.Duration    `help:"Time between probes for the lease." env:"KNAPWEEDSPUR_PROBE" default:"2s"`
	Grace    time.Duration    `help:"How long a planned stop may take." env:"KNAPWEEDSPUR_GRACE" default:"30s"`

	Requests requestlimiter.Settings `embed:""`
	Limits   requestlimiter.VM       `embed:""`
}

// Validate returns all problems in the settings as one error.
func (s *Settings) Validate() error {
	var c validator.Checker
	for _, e := range s.Entries {
		c.Address("entries", e)
	}
	c.Name("vm", s.VM)
	c.Name("rack", s.Rack)
	c.Name("domain", s.Domain)
	c.Token(s.Token, s.Insecure)
	if s.Service != "" {
		c.Name("service", s.Service)
		c.Address("upstream", s.Upstream)
	}
	if s.Service == "" && s.Upstream.IsValid() {
		c.AddProblem("service", `""`, "name the service that the upstream serves")
	}
	if s.Worker.IsValid() {
		c.Address("worker", s.Worker)
	}
	if s.Service == "" && !s.Worker.IsValid() {
		c.AddProblem("worker", `""`, "give an upstream with its service, a worker, or both")
	}
	c.IntBetween("links", s.Links, 1, 64)
	c.DurationBetween("beat", s.Beat, 50*time.Millisecond, time.Minute)
	c.DurationBetween("probe", s.Probe, 50*time.Millisecond, 10*time.Minute)
	c.DurationBetween("grace", s.Grace, time.Second, time.Hour)
	s.Requests.Check(&c)
	s.Limits.Check(&c)
	return c.Err()
}
