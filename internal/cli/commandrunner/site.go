package commandrunner

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"

	"knapweedspur/internal/diagnostic/asyncwriter"
	"knapweedspur/internal/link/requestlimiter"
	"knapweedspur/internal/metric/exporter"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/setting/validator"
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
	Settings kong.ConfigFlag `help:"File with these settings (YAML); flags go before it." placeholder:"FILE"`
	Lines    int             `help:"Most log lines a second, warnings and a quarter as many of rare messages aside." env:"KNAPWEEDSPUR_LOG_LINES" default:"150"`
	Without  []string        `help:"Mechanisms to switch off, separated by commas; 'gates' lists them." env:"KNAPWEEDSPUR_WITHOUT" placeholder:"NAME"`
	Unsafe   bool            `help:"Let --without switch off mechanisms on which a promise rests." env:"KNAPWEEDSPUR_UNSAFE"`

	Requests requestlimiter.Settings `embed:""`
}

// Validate checks the flags.
func (f *siteFlags) Validate() error {
	if f.Lines < 1 {
		return trace.BadParameter("--lines is %d, must be at least 1", f.Lines)
	}
	var c validator.Checker
	f.Requests.Check(&c)
	if err := c.Err(); err != nil {
		return err
	}
	_, err := f.gates()
	return err
}

func (f *siteFlags) gates() (gatekeeper.Gates, error) { return gatekeeper.Parse(f.Without, f.Unsafe) }

type siteEntryCommand struct{ siteFlags }

type siteAgentCommand struct{ siteFlags }

// Run runs the entry until it gets a signal to stop.
func (c *siteEntryCommand) Run(env *environment) error {
	return runSite(env, &c.siteFlags, sitebuilder.EntryOptions)
}

// Run runs the agent until it gets a signal to stop.
func (c *siteAgentCommand) Run(env *environment) error {
	return runSite(env, &c.siteFlags, sitebuilder.AgentOptions)
}

// runSite loads the platform's settings file and runs the application with them.
// Log lines are written asynchronously and limited in number.
func runSite(env *environment, flags *siteFlags, options func(*platform.Settings, gatekeeper.Gates, *requestlimiter.Limiter, hclog.Logger) fx.Option) error {
	gates, err := flags.gates()
	if err != nil {
		return usageError{err}
	}
	settings, err := platform.LoadSettings()
	if err != nil {
		return usageError{err}
	}
	writer := asyncwriter.New(env.stdout, flags.Lines)
	exporter.Publish("log_lines", func() any { return writer.Written() })
	exporter.Publish("log_lines_dropped", func() any { return writer.Dropped() })
	defer writer.Close()
	logger := hclog.New(&hclog.LoggerOptions{Name: settings.VMName, Level: env.logger.GetLevel(), Output: writer, JSONFormat: true, DisableTime: false})
	vm := limitsOf(settings)
	limitMemory(vm)
	limiter := requestlimiter.New(flags.Requests, vm, logger)
	go reloadOnHangup(limiter, logger)
	return runApp(options(settings, gates, limiter, logger), settings.Grace)
}

func limitsOf(s *platform.Settings) requestlimiter.VM {
	return requestlimiter.VM{MemoryMB: s.MemoryMB, Descriptors: s.Descriptors}
}

// reloadOnHangup reads the settings file on each SIGHUP, which the platform sends when the
// file has changed. Limits of the VM are taken over. The other settings include addresses
// that are already bound, so their changes take effect at the next start.
func reloadOnHangup(limiter *requestlimiter.Limiter, logger hclog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		settings, err := platform.LoadSettings()
		if err != nil {
			logger.Error("reload: the settings file is invalid; keeping the settings in use", "error", err.Error())
			continue
		}
		vm := limitsOf(settings)
		limitMemory(vm)
		limiter.Resize(vm)
		logger.Info("reload: the settings file is valid; limits of the VM are in effect, the rest at the next start")
	}
}
