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
type Reading struct {
	At        time.Time
	Processor time.Duration
	Resident  int64
	Heap      int64
	Sent      int64
	Received  int64
	Frames    int64
	Appends   int64
	Records   int64
	Bytes     int64
}

// clockTick is the unit of /proc's processor times on Linux.
const clockTick = 10 * time.Millisecond

// Read reads a process's cost from /proc and from its metrics.
func Read(now time.Time, pid int, metrics netip.AddrPort, token string) (Reading, error) {
	r := Reading{At: now}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return r, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	var user, system, pages int64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12]+" "+fields[21], &user, &system, &pages); err != nil {
		return r, err
	}
	r.Processor = time.Duration(user+system) * clockTick
	r.Resident = pages * int64(os.Getpagesize())
	return r, r.vars(metrics, token)
}

// vars reads the metrics.
func (r *Reading) vars(metrics netip.AddrPort, token string) error {
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
	r.Heap = vars.Memstats.HeapInuse
	r.Sent, r.Received, r.Frames = vars.Main.Links.Sent, vars.Main.Links.Received, vars.Main.Links.Frames
	r.Appends, r.Records, r.Bytes = vars.Main.Log.Appends, vars.Main.Log.Records, vars.Main.Log.Bytes
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
func Between(size float64, a, b Reading) Row {
	s := b.At.Sub(a.At).Seconds()
	return Row{
		Size: size, Processor: (b.Processor - a.Processor).Seconds() / s, Resident: float64(b.Resident), Heap: float64(b.Heap),
		Wire: float64(b.Sent+b.Received-a.Sent-a.Received) / s, Log: float64(b.Bytes-a.Bytes) / s,
		Appends: float64(b.Appends-a.Appends) / s, Records: float64(b.Records-a.Records) / s,
	}
}

// Fit is a line through measured points.
type Fit struct {
	// Base and Slope are of the line; Residual is the largest distance of a
	// point from it, as a share of the largest value.
	Base, Slope, Residual float64
}

// Line fits a line by least squares.
func Line(x, y []float64) Fit {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	var f Fit
	if d := n*sxx - sx*sx; d != 0 {
		f.Slope = (n*sxy - sx*sy) / d
	}
	f.Base = (sy - f.Slope*sx) / n
	most, worst := 0.0, 0.0
	for i := range x {
		most = max(most, y[i])
		worst = max(worst, abs(y[i]-f.Base-f.Slope*x[i]))
	}
	if most > 0 {
		f.Residual = worst / most
	}
	return f
}

func abs(v float64) float64 {
	if v < 0 {
		return -v
	}
	return v
}
