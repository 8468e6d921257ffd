package standinrunner

import (
	"net/netip"
	"time"

	"knapweedspur/internal/standin/upstreamemulator"
)

type upstreamCommand struct {
	Listen  netip.AddrPort `help:"Address to listen on." default:"127.0.0.1:8080"`
	Service time.Duration  `help:"How long a request takes." default:"5ms"`
	Spread  float64        `help:"Share by which requests differ, 0 to 1." default:"0.5"`
}

// Run serves the emulated upstream.
func (c *upstreamCommand) Run() error {
	u := &upstreamemulator.Upstream{ServiceTime: c.Service, Jitter: c.Spread}
	return serve(c.Listen, u.Handler())
}
