// Package entrybuilder builds an entry from its components, and starts and stops
// it.
package entrybuilder

import (
	"net/netip"
	"time"

	"knapweedspur/internal/link/requestlimiter"
	"knapweedspur/internal/policy/placer"
	"knapweedspur/internal/policy/upstreamselector"
	"knapweedspur/internal/setting/validator"
)

// Settings are the settings of an entry.
type Settings struct {
	Listen    netip.AddrPort   `help:"Address for callers." env:"KNAPWEEDSPUR_LISTEN" default:"127.0.0.1:7070"`
	Control   netip.AddrPort   `help:"Address for agents, operators and other entries." env:"KNAPWEEDSPUR_CONTROL" default:"127.0.0.1:7071"`
	Advertise netip.AddrPort   `help:"Control address that others reach; --control where empty." env:"KNAPWEEDSPUR_ADVERTISE"`
	Log       netip.AddrPort   `help:"Address of the platform's log service." env:"KNAPWEEDSPUR_LOG" required:""`
	Peers     []netip.AddrPort `help:"Control addresses of entries to take the configuration from while the log is down." env:"KNAPWEEDSPUR_PEERS"`
	Domain    string           `help:"Failure domain of this VM." env:"KNAPWEEDSPUR_DOMAIN" required:""`
	Region    string           `help:"Region of this VM; it names the task stream." env:"KNAPWEEDSPUR_REGION" default:"main"`
	Token     string           `help:"Token that agents and operators must show." env:"KNAPWEEDSPUR_TOKEN"`
	Insecure  bool             `help:"Run without a token, for a trial on loopback." env:"KNAPWEEDSPUR_INSECURE"`

	Hold    time.Duration `help:"Hold time of leases; the same on all entries." env:"KNAPWEEDSPUR_HOLD" default:"2m"`
	Suspect time.Duration `help:"Silence after which a VM is fenced." env:"KNAPWEEDSPUR_SUSPECT" default:"20s"`
	Beat    time.Duration `help:"Time between heartbeats of agents." env:"KNAPWEEDSPUR_BEAT" default:"1s"`
	Group   time.Duration `help:"Least time between two appends." env:"KNAPWEEDSPUR_GROUP" default:"20ms"`
	Pace    time.Duration `help:"Least time between two reads of a stream." env:"KNAPWEEDSPUR_PACE" default:"50ms"`
	Appends int           `help:"Appends a second to the task stream that the region's entries share." env:"KNAPWEEDSPUR_APPENDS" default:"100"`
	Grace   time.Duration `help:"How long a planned stop may take." env:"KNAPWEEDSPUR_GRACE" default:"30s"`
	Settle  time.Duration `help:"How long the balancer may take to see that an entry stops." env:"KNAPWEEDSPUR_SETTLE" default:"3s"`

	Routing   string `help:"Routing policy." env:"KNAPWEEDSPUR_ROUTING" default:"sampled"`
	Placement string `help:"Placement policy." env:"KNAPWEEDSPUR_PLACEMENT" default:"spread"`

	Requests requestlimiter.Settings `embed:""`
	Limits   requestlimiter.VM       `embed:""`

	SnapshotEvery   time.Duration `help:"Most time between two snapshots; well below the log's retention." env:"KNAPWEEDSPUR_SNAPSHOT_EVERY" default:"10m"`
	SnapshotRecords int           `help:"Most appends between two snapshots." env:"KNAPWEEDSPUR_SNAPSHOT_RECORDS" default:"20000"`
}

// Validate checks all settings and reports every invalid one in one error.
func (s *Settings) Validate() error {
	var c validator.Checker
	c.ListenAddress("listen", s.Listen)
	c.ListenAddress("control", s.Control)
	c.Address("log", s.Log)
	for _, p := range s.Peers {
		c.Address("peers", p)
	}
	c.Name("domain", s.Domain)
	c.Name("region", s.Region)
	c.Token(s.Token, s.Insecure)
	c.DurationBetween("hold", s.Hold, time.Second, 24*time.Hour)
	c.DurationBetween("suspect", s.Suspect, time.Second, time.Hour)
	c.DurationBetween("beat", s.Beat, 50*time.Millisecond, time.Minute)
	c.DurationBetween("group", s.Group, 0, time.Second)
	c.DurationBetween("pace", s.Pace, 0, time.Second)
	c.IntBetween("appends", s.Appends, 1, 100_000)
	c.DurationBetween("grace", s.Grace, time.Second, time.Hour)
	c.DurationBetween("settle", s.Settle, 0, time.Minute)
	s.Requests.Check(&c)
	s.Limits.Check(&c)
	c.DurationBetween("snapshot-every", s.SnapshotEvery, time.Second, 24*time.Hour)
	c.IntBetween("snapshot-records", s.SnapshotRecords, 10, 1<<24)
	if _, err := upstreamselector.Lookup(s.Routing); err != nil {
		c.AddProblem("routing", s.Routing, err.Error())
	}
	if _, err := placer.Lookup(s.Placement); err != nil {
		c.AddProblem("placement", s.Placement, err.Error())
	}
	return c.Err()
}

// advertisedAddress returns the control address that agents and other entries use.
func (s *Settings) advertisedAddress() netip.AddrPort {
	if s.Advertise.IsValid() {
		return s.Advertise
	}
	return s.Control
}
