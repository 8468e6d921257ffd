package commandrunner

import (
	"go.uber.org/fx"

	"knapweedspur/internal/agent/agentbuilder"
	"knapweedspur/internal/link/connector"
)

// agentCommand runs an agent.
type agentCommand struct {
	agentbuilder.Settings
}

// Help shows an example.
func (c *agentCommand) Help() string {
	return `Example:
  knapweedspur agent --entries 10.0.0.5:7071,10.0.1.5:7071 --vm vm-17 --domain alpha \
    --service thumbnails --upstream 127.0.0.1:8080 --worker 127.0.0.1:9100 --token "$TOKEN"`
}

// Run runs the agent until it gets a signal to stop.
func (c *agentCommand) Run(env *environment) error {
	if err := c.Validate(); err != nil {
		return usageError{err}
	}
	limitMemory(c.Limits)
	logger := env.logger.With("vm", c.VM)
	options := agentbuilder.Options(&c.Settings, logger, agentbuilder.HTTPDependencies(&c.Settings, connector.HostNetwork{}))
	return runApp(fx.Options(options, fx.Invoke(agentbuilder.RegisterLifecycle)), c.Grace)
}
