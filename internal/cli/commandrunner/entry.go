package commandrunner

import (
	"net/http"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"

	"knapweedspur/internal/client/logclient"
	"knapweedspur/internal/entry/entrybuilder"
	"knapweedspur/internal/link/connector"
)

// entryCommand runs an entry.
type entryCommand struct {
	entrybuilder.Settings
}

// Help shows an example.
func (c *entryCommand) Help() string {
	return `Example:
  knapweedspur entry --listen 10.0.0.5:80 --control 10.0.0.5:7071 \
    --log 10.0.9.1:9000 --domain alpha --token "$TOKEN"`
}

// Run runs the entry until it gets a signal to stop.
func (c *entryCommand) Run(env *environment) error {
	if err := c.Validate(); err != nil {
		return usageError{err}
	}
	limitMemory(c.Limits)
	network := connector.HostNetwork{}
	logClient := &logclient.HTTP{Address: c.Log, Client: &http.Client{Transport: connector.NewTransport(network)}}
	logger := env.logger.With("domain", c.Domain)
	hclog.SetDefault(logger)
	options := entrybuilder.Options(&c.Settings, logger, entrybuilder.Dependencies{Log: logClient, Network: network})
	return runApp(fx.Options(options, fx.Invoke(entrybuilder.RegisterLifecycle)), c.Grace)
}
