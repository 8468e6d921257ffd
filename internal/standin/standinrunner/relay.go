package standinrunner

import (
	"context"
	"fmt"
	"sync"

	"github.com/gravitational/trace"

	"knapweedspur/internal/diagnostic/explainer"
	"knapweedspur/internal/diagnostic/losscounter"
	"knapweedspur/internal/job/jobmeasurer"
	"knapweedspur/internal/standin/clustersimulator"
	"knapweedspur/internal/standin/paircomparer"
	"knapweedspur/platform/benchplayer"
)

// relay plays days on several players, some at a time.
type relay struct {
	jobs int
	env  *environment
}

// play plays all days on all players, both sides of a pair one after the other. After an
// error it begins no further play.
func (r *relay) play(ctx context.Context, players []*benchplayer.Player, days []benchplayer.Day) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	semaphore := make(chan struct{}, r.jobs)
	var group sync.WaitGroup
	for i, d := range days {
		for _, p := range players {
			semaphore <- struct{}{}
			if ctx.Err() != nil {
				<-semaphore
				break
			}
			group.Go(func() {
				defer func() { <-semaphore }()
				if _, err := p.Play(ctx, d); err != nil {
					cancel(err)
				}
			})
		}
		if (i+1)%progressDays == 0 {
			fmt.Fprintf(r.env.stderr, "%d of %d days begun\n", i+1, len(days))
		}
	}
	group.Wait()
	return context.Cause(ctx)
}

// progressDays is the number of days between two lines about the progress.
const progressDays = 12

// outcomeOf returns the outcome of a play that was played.
func outcomeOf(p *benchplayer.Player, d benchplayer.Day) (paircomparer.Outcome, error) {
	r, err := p.Play(context.Background(), d)
	if err != nil {
		return paircomparer.Outcome{}, err
	}
	o := paircomparer.Outcome{Worth: r.Worth, Kinds: map[string]float64{}, Over: r.OverByOthers, Broken: r.Broken}
	if r.Fault != "" {
		o.Broken = map[string]int{"fault: " + r.Fault: 1}
	}
	for i := range r.Kinds {
		o.Kinds[r.Kinds[i].Name] = r.Kinds[i].Earned
	}
	losses, err := lossesOf(p, d, r)
	if err != nil {
		return o, err
	}
	o.Lost, o.LostBy = map[string]map[int]float64{}, map[paircomparer.LossKey]float64{}
	for _, l := range losses {
		if o.Lost[l.Cause] == nil {
			o.Lost[l.Cause] = map[int]float64{}
		}
		o.Lost[l.Cause][l.Second] += l.Worth
		o.LostBy[paircomparer.LossKey{Kind: l.Kind, Cause: l.Cause}] += l.Worth
	}
	return o, nil
}

// dayLoss is a part of what a day owes that was lost.
type dayLoss struct {
	Kind, Cause string
	Second      int
	Worth       float64
}

// Causes that only the report of the bench tells.
const (
	overObjective = "serving over its objective by fillers"
	unexplained   = "not explained"
)

// overPenalty is how many times a time over the objective counts if fillers cause it.
const overPenalty = 4

// lossesOf divides what a day lost, as the bench tells it by kind, by cause, as the logs of
// the entries tell it. What the logs do not explain has a cause of its own.
func lossesOf(p *benchplayer.Player, d benchplayer.Day, r *benchplayer.Report) ([]dayLoss, error) {
	site, err := benchplayer.ReadSite(d.Site)
	if err != nil {
		return nil, err
	}
	log, err := p.OpenLog(d)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	events, err := explainer.ReadEvents(log)
	if err != nil {
		return nil, trace.Wrap(err, "read the log of %s", d)
	}
	ledger := losscounter.Count(events)
	owed := 0.0
	for i := range r.Kinds {
		owed += site.Kinds[r.Kinds[i].Name].Worth * float64(r.Kinds[i].Requests)
	}
	var losses []dayLoss
	for i := range r.Kinds {
		k := &r.Kinds[i]
		kind := site.Kinds[k.Name]
		share := kind.Worth * float64(k.Requests) / max(owed, 1e-9)
		rest := share * (1 - k.Earned)
		for _, l := range ledger.Losses {
			if l.Kind == kindOf(kind) {
				losses = append(losses, dayLoss{k.Name, string(l.Cause), int(l.At.Seconds()), share * l.Worth})
				rest -= share * l.Worth
			}
		}
		if over := r.OverByOthers.Seconds() * overPenalty / ledger.ServingTime.Seconds(); kind.Serves && ledger.ServingTime > 0 {
			losses = append(losses, dayLoss{k.Name, overObjective, 0, share * over})
			rest -= share * over
		}
		losses = append(losses, dayLoss{k.Name, unexplained, 0, rest})
	}
	return losses, nil
}

// kindOf returns the kind of jobs that requests of a site are.
func kindOf(k benchplayer.KindSpec) jobmeasurer.Kind {
	switch {
	case k.Serves:
		return jobmeasurer.Serving
	case k.Lasts:
		return jobmeasurer.Lasting
	case k.Fills:
		return jobmeasurer.Filling
	default:
		return jobmeasurer.Plain
	}
}

func labOutcome(r *clustersimulator.Result) paircomparer.Outcome {
	return paircomparer.Outcome{Worth: r.Total, Kinds: r.Worth, Over: r.Over}
}
