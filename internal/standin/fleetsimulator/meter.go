package fleetsimulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"
)

// Reading is what a process has spent up to a time.
type Usage struct {
	At        time.Time
	CPUTime time.Duration
	ResidentBytes  int64
	HeapBytes      int64
	SentBytes      int64
	ReceivedBytes  int64
	Frames    int64
	Appends   int64
	Records   int64
	LogBytes     int64
}

// clockTick is the unit of /proc's processor times on Linux.
const clockTick = 10 * time.Millisecond

// Read reads a process's cost from /proc and from its metrics.
func ReadUsage(now time.Time, pid int, metrics netip.AddrPort, token string) (Usage, error) {
	r := Usage{At: now}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return r, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	var user, system, pages int64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12]+" "+fields[21], &user, &system, &pages); err != nil {
		return r, err
	}
	r.CPUTime = time.Duration(user+system) * clockTick
	r.ResidentBytes = pages * int64(os.Getpagesize())
	return r, r.vars(metrics, token)
}

// vars reads the metrics.
func (r *Usage) vars(metrics netip.AddrPort, token string) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+metrics.String()+"/debug/vars", nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var vars struct {
		Memstats struct{ HeapAlloc, HeapInuse int64 }
		Main     struct {
			Links struct{ Sent, Received, Frames int64 }
			Log   struct{ Appends, Records, Bytes int64 }
		} `json:"knapweedspur"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return err
	}
	r.HeapBytes = vars.Memstats.HeapInuse
	r.SentBytes, r.ReceivedBytes, r.Frames = vars.Main.Links.Sent, vars.Main.Links.Received, vars.Main.Links.Frames
	r.Appends, r.Records, r.LogBytes = vars.Main.Log.Appends, vars.Main.Log.Records, vars.Main.Log.Bytes
	return nil
}

// Row is the cost of a span, at a size.
type Row struct {
	// Size is the size at which the cost was measured.
	Size float64
	// Processor is the share of a core, 1 for a whole one.
	Processor float64
	// Resident and Heap are in bytes, at the end of the span.
	Resident, Heap float64
	// Wire is bytes a second on links, both ways; Log bytes a second appended.
	Wire, Log float64
	// Appends and Records are a second.
	Appends, Records float64
}

// Between returns the cost between two readings.
func UsageBetween(size float64, a, b Usage) Row {
	s := b.At.Sub(a.At).Seconds()
	return Row{
		Size: size, Processor: (b.CPUTime - a.CPUTime).Seconds() / s, Resident: float64(b.ResidentBytes), Heap: float64(b.HeapBytes),
		Wire: float64(b.SentBytes+b.ReceivedBytes-a.SentBytes-a.ReceivedBytes) / s, Log: float64(b.LogBytes-a.LogBytes) / s,
		Appends: float64(b.Appends-a.Appends) / s, Records: float64(b.Records-a.Records) / s,
	}
}

// Fit is a line through measured points.
type LinearFit struct {
	// Base and Slope are of the line; Residual is the largest distance of a
	// point from it, as a share of the largest value.
	Intercept, Slope, MaxResidual float64
}

// Line fits a line by least squares.
func FitLine(x, y []float64) LinearFit {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	var f LinearFit
	if d := n*sxx - sx*sx; d != 0 {
		f.Slope = (n*sxy - sx*sy) / d
	}
	f.Intercept = (sy - f.Slope*sx) / n
	most, worst := 0.0, 0.0
	for i := range x {
		most = max(most, y[i])
		worst = max(worst, abs(y[i]-f.Intercept-f.Slope*x[i]))
	}
	if most > 0 {
		f.MaxResidual = worst / most
	}
	return f
}

func abs(v float64) float64 {
	if v < 0 {
		return -v
	}
	return v
}
