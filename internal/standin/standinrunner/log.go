package standinrunner

import (
	"net/netip"

	"knapweedspur/internal/standin/logemulator"
)

type logCommand struct {
	Listen netip.AddrPort `help:"Address to listen on." default:"127.0.0.1:9000"`
	Rate   int            `help:"Most appends a second." default:"300"`
	Keep   int            `help:"Values of a stream that are kept, 0 for all."`
}

// Run serves the emulated log service.
func (c *logCommand) Run() error {
	log := &logemulator.Log{AppendRate: c.Rate, RetainedValues: c.Keep}
	return serve(c.Listen, log.Handler())
}
