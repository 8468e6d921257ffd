package runner

import (
	"net/http"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/entry/assembler"
	"knapweedspur/internal/platform/logclient"
)

// entryCommand runs an entry.
type entryCommand struct {
	assembler.Settings
}

// Help shows an example.
func (c *entryCommand) Help() string {
	return `Example:
  knapweedspur entry --listen 10.0.0.5:80 --control 10.0.0.5:7071 \
    --log 10.0.9.1:9000 --domain alpha --token "$TOKEN"`
}

// Run runs the entry until it is told to stop.
func (c *entryCommand) Run(env *environment) error {
	if err := c.Validate(); err != nil {
		return usageError{err}
	}
	log := &logclient.HTTP{Address: c.Log, Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	logger := env.logger.With("domain", c.Domain)
	hclog.SetDefault(logger)
	return runApp(assembler.Options(&c.Settings, logger, log), c.Grace)
}
