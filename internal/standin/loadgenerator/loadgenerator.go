// Package loadgenerator sends an open-loop load and checks each answer against its
// request. Latency counts from the time a request was meant to be sent.
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
	lowest  = int64(time.Microsecond)
	highest = int64(time.Minute)
	digits  = 3
	// maxOpen is the most requests in flight; more are counted as skipped.
	maxOpen = 20_000
)

// Load is a stream of requests. Set the exported fields, then Run.
type Generator struct {
	// Targets are where requests go, in turn.
	Targets []netip.AddrPort
	// Path is the path of every request.
	Path string
	// Rate is requests a second, Span for how long.
	Rate float64
	Duration time.Duration
	// Once is the share of requests that are POSTs, which may run only once.
	PostShare float64
	// Body is the size of the body in bytes.
	Body int
	// Seed makes arrivals the same each time.
	Seed uint64
	// Name begins the name of each request.
	IDPrefix string
	// Client sends the requests.
	Client *http.Client

	mu     sync.Mutex
	result Result
}

// Result is what became of a load.
type Result struct {
	// Sent, Answered and Wrong count requests; Wrong answers did not match.
	Sent, Answered, Mismatched, Truncated, Skipped int
	// Refused counts failures by verdict, Broken those without one.
	Refused map[string]int
	TransportErrors  int
	// Latency holds answered requests, Refusal refused ones, in nanoseconds.
	Latency, RefusalLatency *hdrhistogram.Histogram
	// Fate is the verdict of each POST by name: "ok", a verdict, or "broken".
	PostOutcomes map[string]string
}

// Run sends the load and returns what became of it.
func (l *Generator) Run(ctx context.Context) *Result {
	l.result = Result{
		Refused: map[string]int{}, PostOutcomes: map[string]string{},
		Latency: hdrhistogram.New(lowest, highest, digits), RefusalLatency: hdrhistogram.New(lowest, highest, digits),
	}
	random := rand.New(rand.NewPCG(l.Seed, l.Seed))
	var group sync.WaitGroup
	open := make(chan struct{}, maxOpen)
	begin := time.Now()
	next := begin
	for i := 0; next.Sub(begin) < l.Duration && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(next))
		once := random.Float64() < l.PostShare
		intended := next
		select {
		case open <- struct{}{}:
			group.Go(func() {
				l.send(ctx, i, intended, once)
				<-open
			})
		default:
			l.result.Skipped++
		}
		next = next.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
	}
	group.Wait()
	return &l.result
}

// send sends one request and notes what became of it.
func (l *Generator) send(ctx context.Context, i int, intended time.Time, once bool) {
	id := fmt.Sprintf("%s-%d", l.IDPrefix, i)
	method := http.MethodGet
	if once {
		method = http.MethodPost
	}
	target := l.Targets[i%len(l.Targets)]
	body := bytes.Repeat([]byte("b"), l.Body)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target.String()+l.Path, bytes.NewReader(body))
	if err != nil {
		l.note(id, once, "broken", 0, nil)
		return
	}
	if l.Body == 0 {
		req.Body = nil
	}
	req.Header.Set(upstreamemulator.IDHeader, id)
	resp, err := l.Client.Do(req)
	if err != nil {
		l.note(id, once, "broken", 0, nil)
		return
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	took := time.Since(intended)
	switch {
	case resp.Header.Get(verdict.Header) != "":
		l.note(id, once, resp.Header.Get(verdict.Header), took, nil)
	case err != nil:
		l.note(id, once, "cut", took, nil)
	default:
		right := resp.Header.Get(upstreamemulator.IDHeader) == id && bytes.HasSuffix(answer, append([]byte(id+" "), body...))
		l.note(id, once, "ok", took, &right)
	}
}

func (l *Generator) note(id string, once bool, fate string, took time.Duration, right *bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.result
	r.Sent++
	if once {
		r.PostOutcomes[id] = fate
	}
	switch fate {
	case "ok":
		r.Answered++
		_ = r.Latency.RecordValue(int64(took))
		if right != nil && !*right {
			r.Mismatched++
		}
	case "broken":
		r.TransportErrors++
	case "cut":
		r.Truncated++
	default:
		r.Refused[fate]++
		_ = r.RefusalLatency.RecordValue(int64(took))
	}
}
