package commandrunner

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"

	"knapweedspur/internal/diagnostic/asyncwriter"
	"knapweedspur/internal/metric/exporter"
	"knapweedspur/internal/site/sitebuilder"
	"knapweedspur/platform"
)

// siteCommand runs an entry or an agent on the users' platform.
type siteCommand struct {
	Entry siteEntryCommand `cmd:"" help:"Run an entry by the platform's settings file."`
	Agent siteAgentCommand `cmd:"" help:"Run the agent of a VM by the platform's settings file."`
}

// siteFlags are the settings that are not in the platform's settings file.
type siteFlags struct {
	Lines int `help:"Most log lines a second, warnings and a quarter as many of rare messages aside." env:"KNAPWEEDSPUR_LOG_LINES" default:"150"`
}

// Validate checks the flags.
func (f *siteFlags) Validate() error {
	if f.Lines < 1 {
		return trace.BadParameter("--lines is %d, must be at least 1", f.Lines)
	}
	return nil
}

type siteEntryCommand struct{ siteFlags }

type siteAgentCommand struct{ siteFlags }

// Run runs the entry until it gets a signal to stop.
func (c *siteEntryCommand) Run(env *environment) error {
	return runSite(env, c.Lines, sitebuilder.EntryOptions)
}

// Run runs the agent until it gets a signal to stop.
func (c *siteAgentCommand) Run(env *environment) error {
	return runSite(env, c.Lines, sitebuilder.AgentOptions)
}

// runSite loads the platform's settings file and runs the application with them.
// Log lines are written asynchronously and limited to linesPerSecond.
func runSite(env *environment, linesPerSecond int, options func(*platform.Settings, hclog.Logger) fx.Option) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return usageError{err}
	}
	writer := asyncwriter.New(env.stdout, linesPerSecond)
	exporter.Publish("log_lines", func() any { return writer.Written() })
	exporter.Publish("log_lines_dropped", func() any { return writer.Dropped() })
	defer writer.Close()
	logger := hclog.New(&hclog.LoggerOptions{Name: settings.VMName, Level: env.logger.GetLevel(), Output: writer, JSONFormat: true, DisableTime: false})
	go checkSettingsOnHangup(logger)
	return runApp(options(settings, logger), settings.Grace)
}

// checkSettingsOnHangup validates the settings file on each SIGHUP, which the
// platform sends when the file has changed. The settings include addresses that
// are already bound, so a change takes effect at the next start.
func checkSettingsOnHangup(logger hclog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		if _, err := platform.LoadSettings(); err != nil {
			logger.Error("reload: the settings file is invalid; keeping the settings in use", "error", err.Error())
			continue
		}
		logger.Info("reload: the settings file is valid; it takes effect at the next start")
	}
}
