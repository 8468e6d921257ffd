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

// Run sends the load and prints a row. It fails if an answer did not match its
// request, or if no request was answered.
func (c *loadCommand) Run(env *environment) error {
	generator := &loadgenerator.Generator{
		Targets: c.Targets, Path: c.Path, Rate: c.Rate, Duration: c.Span, PostShare: c.Once, BodySize: c.Body, Seed: c.Seed, IDPrefix: c.Name,
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}},
	}
	result := generator.Run(context.Background())
	if c.Fates != "" {
		data, err := json.Marshal(result.PostOutcomes)
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.Fates, data, 0o600); err != nil {
			return err
		}
	}
	if c.Header {
		fmt.Fprintf(env.stdout, "%-26s %7s %8s %5s %9s %9s %9s  %s\n", "load", "sent", "answered", "wrong", "p50", "p99", "p99.9", "not answered")
	}
	title := c.Title
	if title == "" {
		title = c.Path
	}
	fmt.Fprintf(env.stdout, "%-26s %7d %8d %5d %9s %9s %9s  %s\n", title, result.Sent, result.Answered, result.Mismatched,
		formatQuantile(result.Latency, 50), formatQuantile(result.Latency, 99), formatQuantile(result.Latency, 99.9), formatFailures(result))
	if result.Mismatched > 0 || result.Answered == 0 {
		return fmt.Errorf("%s: %d mismatched answers, %d requests answered", title, result.Mismatched, result.Answered)
	}
	return nil
}

func formatQuantile(h *hdrhistogram.Histogram, q float64) string {
	return time.Duration(h.ValueAtQuantile(q)).Round(10 * time.Microsecond).String()
}

func formatFailures(result *loadgenerator.Result) string {
	var parts []string
	for verdict, n := range result.Refused {
		parts = append(parts, fmt.Sprintf("%s %d", verdict, n))
	}
	sort.Strings(parts)
	if result.TransportErrors > 0 {
		parts = append(parts, fmt.Sprintf("broken %d", result.TransportErrors))
	}
	if result.Truncated > 0 {
		parts = append(parts, fmt.Sprintf("cut %d", result.Truncated))
	}
	if result.Skipped > 0 {
		parts = append(parts, fmt.Sprintf("skipped %d", result.Skipped))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}
