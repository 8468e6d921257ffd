package runner

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"

	"knapweedspur/internal/site/assembler"
	"knapweedspur/internal/trail/scribe"
	"knapweedspur/platform"
)

// siteCommand runs a process on the users' platform.
type siteCommand struct {
	Entry siteEntryCommand `cmd:"" help:"Run an entry by the platform's settings file."`
	Agent siteAgentCommand `cmd:"" help:"Run the agent of a VM by the platform's settings file."`
}

type siteEntryCommand struct{}

type siteAgentCommand struct{}

// Run runs the entry until it is told to stop.
func (*siteEntryCommand) Run(env *environment) error {
	return runSite(env, assembler.EntryOptions)
}

// Run runs the agent until it is told to stop.
func (*siteAgentCommand) Run(env *environment) error {
	return runSite(env, assembler.AgentOptions)
}

func runSite(env *environment, options func(*platform.Settings, hclog.Logger) fx.Option) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return usageError{err}
	}
	lines := scribe.New(env.out)
	defer lines.Close()
	logger := hclog.New(&hclog.LoggerOptions{Name: settings.Name, Level: env.logger.GetLevel(), Output: lines, JSONFormat: true, DisableTime: false})
	go watchSettings(logger)
	return runApp(options(settings, logger), settings.Grace)
}

// watchSettings takes the signal that the settings file has changed. Settings
// that are in use bind addresses, so a change takes effect at the next start.
func watchSettings(logger hclog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		if _, err := platform.LoadSettings(); err != nil {
			logger.Error("reload: the settings file is faulty; the old settings stay", "error", err.Error())
			continue
		}
		logger.Info("reload: the settings file is sound")
	}
}
