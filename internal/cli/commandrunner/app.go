package commandrunner

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/fx"
)

const (
	startTimeout = 15 * time.Second
	// stopSlack is added to the grace for ending what is left.
	stopSlack = 5 * time.Second
)

// runApp runs an application until a signal or itself ends it.
func runApp(options fx.Option, grace time.Duration) error {
	app := fx.New(options, fx.NopLogger)
	if err := app.Err(); err != nil {
		return trace.Wrap(err)
	}
	start, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(start); err != nil {
		return trace.Wrap(err)
	}
	signal := <-app.Wait()
	stop, cancel := context.WithTimeout(context.Background(), grace+stopSlack)
	defer cancel()
	if err := app.Stop(stop); err != nil {
		return trace.Wrap(err)
	}
	if signal.ExitCode != 0 {
		return trace.Errorf("ended by itself; see the log lines above")
	}
	return nil
}
