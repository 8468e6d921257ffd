package commandrunner

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/fx"

	"knapweedspur/internal/link/requestlimiter"
)

const (
	startTimeout = 15 * time.Second
	// stopMargin is added to the grace period, for closing what is still open
	// when it ends.
	stopMargin = 5 * time.Second
)

// limitMemory sets the soft memory limit of the Go runtime, so that garbage does not exceed
// the memory of the VM. GOMEMLIMIT goes before it.
func limitMemory(vm requestlimiter.VM) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(vm.MemoryLimit())
	}
}

// runApp runs an application until it gets a signal or shuts itself down, and
// then stops it within the grace period and stopMargin.
func runApp(options fx.Option, grace time.Duration) error {
	app := fx.New(options, fx.NopLogger)
	if err := app.Err(); err != nil {
		return trace.Wrap(err)
	}
	startCtx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return trace.Wrap(err)
	}
	signal := <-app.Wait()
	stopCtx, cancel := context.WithTimeout(context.Background(), grace+stopMargin)
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		return trace.Wrap(err)
	}
	if signal.ExitCode != 0 {
		return trace.Errorf("the process shut itself down; see the log lines above")
	}
	return nil
}
