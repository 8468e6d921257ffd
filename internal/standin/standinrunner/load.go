package standinrunner

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"knapweedspur/internal/standin/loadgenerator"
)

type loadCommand struct {
	Targets []netip.AddrPort `help:"Where requests go, in turn." required:""`
	Path    string           `help:"Path of every request." required:""`
	Rate    float64          `help:"Requests a second." default:"100"`
	Span    time.Duration    `help:"For how long." default:"5s"`
	Once    float64          `help:"Share of POSTs, which may run only once." default:"0.1"`
	Body    int              `help:"Size of the body in bytes." default:"0"`
	Seed    uint64           `help:"Seed of the arrivals." default:"1"`
	Name    string           `help:"Begins the name of each request." default:"load"`
	Title   string           `help:"Title of the row that is printed." default:""`
	Fates   string           `help:"File for the fate of each POST." default:""`
	Header  bool             `help:"Print the header of the table too."`
}

// Run sends the load, prints a row, and fails if an answer was wrong.
func (c *loadCommand) Run(env *environment) error {
	l := &loadgenerator.Generator{
		Targets: c.Targets, Path: c.Path, Rate: c.Rate, Duration: c.Span, PostShare: c.Once, Body: c.Body, Seed: c.Seed, IDPrefix: c.Name,
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}},
	}
	r := l.Run(context.Background())
	if c.Fates != "" {
		data, err := json.Marshal(r.PostOutcomes)
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.Fates, data, 0o600); err != nil {
			return err
		}
	}
	if c.Header {
		fmt.Fprintf(env.out, "%-26s %7s %8s %5s %9s %9s %9s  %s\n", "load", "sent", "answered", "wrong", "p50", "p99", "p99.9", "not answered")
	}
	title := c.Title
	if title == "" {
		title = c.Path
	}
	fmt.Fprintf(env.out, "%-26s %7d %8d %5d %9s %9s %9s  %s\n", title, r.Sent, r.Answered, r.Mismatched,
		quantile(r.Latency, 50), quantile(r.Latency, 99), quantile(r.Latency, 99.9), refusals(r))
	if r.Mismatched > 0 || r.Answered == 0 {
		return fmt.Errorf("%s: %d wrong answers, %d answered", title, r.Mismatched, r.Answered)
	}
	return nil
}

func quantile(h *hdrhistogram.Histogram, q float64) string {
	return time.Duration(h.ValueAtQuantile(q)).Round(10 * time.Microsecond).String()
}

func refusals(r *loadgenerator.Result) string {
	var parts []string
	for v, n := range r.Refused {
		parts = append(parts, fmt.Sprintf("%s %d", v, n))
	}
	sort.Strings(parts)
	if r.TransportErrors > 0 {
		parts = append(parts, fmt.Sprintf("broken %d", r.TransportErrors))
	}
	if r.Truncated > 0 {
		parts = append(parts, fmt.Sprintf("cut %d", r.Truncated))
	}
	if r.Skipped > 0 {
		parts = append(parts, fmt.Sprintf("skipped %d", r.Skipped))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}
