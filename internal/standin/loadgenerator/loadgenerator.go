// Package loadgenerator sends an open-loop load and checks each answer against its
// request. Latency is measured from the intended send time, to avoid coordinated
// omission.
package loadgenerator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/standin/upstreamemulator"
)

const (
	minLatency        = int64(time.Microsecond)
	maxLatency        = int64(time.Minute)
	significantDigits = 3
	// maxInFlight is the maximum number of requests in flight; requests beyond it
	// are counted as skipped.
	maxInFlight = 20_000
)

// Generator sends a stream of requests. Set the exported fields, then call Run.
type Generator struct {
	// Targets receive the requests in turn.
	Targets []netip.AddrPort
	// Path is the path of every request.
	Path string
	// Rate is the mean number of requests per second, Duration how long to send.
	Rate     float64
	Duration time.Duration
	// PostShare is the share of requests that are POSTs, which may run only once.
	PostShare float64
	// BodySize is the size of each request body in bytes.
	BodySize int
	// Seed makes the arrival times reproducible.
	Seed uint64
	// IDPrefix begins the ID of each request.
	IDPrefix string
	// Client sends the requests.
	Client *http.Client

	mu     sync.Mutex
	result Result
}

// Result counts the outcomes of the requests.
type Result struct {
	// Mismatched counts answers that do not belong to their request, Truncated
	// answers that ended early, Skipped requests that were not sent because
	// maxInFlight was reached.
	Sent, Answered, Mismatched, Truncated, Skipped int
	// Refused counts failures by verdict, TransportErrors those without one.
	Refused         map[string]int
	TransportErrors int
	// Latency covers answered requests, RefusalLatency refused ones, in
	// nanoseconds.
	Latency, RefusalLatency *hdrhistogram.Histogram
	// PostOutcomes is the outcome of each POST by request ID: "ok", "cut",
	// "broken", or a verdict.
	PostOutcomes map[string]string
}

// Run sends the load, waits for all answers and returns the result.
func (g *Generator) Run(ctx context.Context) *Result {
	g.result = Result{
		Refused: map[string]int{}, PostOutcomes: map[string]string{},
		Latency: hdrhistogram.New(minLatency, maxLatency, significantDigits), RefusalLatency: hdrhistogram.New(minLatency, maxLatency, significantDigits),
	}
	random := rand.New(rand.NewPCG(g.Seed, g.Seed))
	var group sync.WaitGroup
	inFlight := make(chan struct{}, maxInFlight)
	start := time.Now()
	nextSend := start
	for i := 0; nextSend.Sub(start) < g.Duration && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(nextSend))
		post := random.Float64() < g.PostShare
		intended := nextSend
		select {
		case inFlight <- struct{}{}:
			group.Go(func() {
				g.send(ctx, i, intended, post)
				<-inFlight
			})
		default:
			g.result.Skipped++
		}
		nextSend = nextSend.Add(time.Duration(random.ExpFloat64() / g.Rate * float64(time.Second)))
	}
	group.Wait()
	return &g.result
}

// send sends one request and records its outcome.
func (g *Generator) send(ctx context.Context, index int, intended time.Time, post bool) {
	id := fmt.Sprintf("%s-%d", g.IDPrefix, index)
	method := http.MethodGet
	if post {
		method = http.MethodPost
	}
	target := g.Targets[index%len(g.Targets)]
	body := bytes.Repeat([]byte("b"), g.BodySize)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target.String()+g.Path, bytes.NewReader(body))
	if err != nil {
		g.recordResult(id, post, "broken", 0, nil)
		return
	}
	if g.BodySize == 0 {
		req.Body = nil
	}
	req.Header.Set(upstreamemulator.IDHeader, id)
	resp, err := g.Client.Do(req)
	if err != nil {
		g.recordResult(id, post, "broken", 0, nil)
		return
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	latency := time.Since(intended)
	switch {
	case resp.Header.Get(verdict.Header) != "":
		g.recordResult(id, post, resp.Header.Get(verdict.Header), latency, nil)
	case err != nil:
		g.recordResult(id, post, "cut", latency, nil)
	default:
		matches := resp.Header.Get(upstreamemulator.IDHeader) == id && bytes.HasSuffix(answer, append([]byte(id+" "), body...))
		g.recordResult(id, post, "ok", latency, &matches)
	}
}

func (g *Generator) recordResult(id string, post bool, outcome string, latency time.Duration, matches *bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	result := &g.result
	result.Sent++
	if post {
		result.PostOutcomes[id] = outcome
	}
	switch outcome {
	case "ok":
		result.Answered++
		_ = result.Latency.RecordValue(int64(latency))
		if matches != nil && !*matches {
			result.Mismatched++
		}
	case "broken":
		result.TransportErrors++
	case "cut":
		result.Truncated++
	default:
		result.Refused[outcome]++
		_ = result.RefusalLatency.RecordValue(int64(latency))
	}
}
