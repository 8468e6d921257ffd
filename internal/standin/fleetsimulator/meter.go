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

// Usage is a sample of a process's resource usage. ResidentBytes and HeapBytes are
// current values, the other numbers count from the start of the process.
type Usage struct {
	At            time.Time
	CPUTime       time.Duration
	ResidentBytes int64
	HeapBytes     int64
	SentBytes     int64
	ReceivedBytes int64
	Frames        int64
	Appends       int64
	Records       int64
	LogBytes      int64
}

// clockTick is the unit of CPU times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// ReadUsage samples a process from /proc and from its metrics endpoint.
func ReadUsage(now time.Time, pid int, metrics netip.AddrPort, token string) (Usage, error) {
	u := Usage{At: now}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// The fields after the command name, which ends with the last parenthesis:
	// 11 and 12 are the user and system time, 21 is the number of resident pages.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	var user, system, pages int64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12]+" "+fields[21], &user, &system, &pages); err != nil {
		return u, err
	}
	u.CPUTime = time.Duration(user+system) * clockTick
	u.ResidentBytes = pages * int64(os.Getpagesize())
	return u, u.readMetrics(metrics, token)
}

// readMetrics fills in what the process exports at /debug/vars.
func (u *Usage) readMetrics(metrics netip.AddrPort, token string) error {
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
	u.HeapBytes = vars.Memstats.HeapInuse
	u.SentBytes, u.ReceivedBytes, u.Frames = vars.Main.Links.Sent, vars.Main.Links.Received, vars.Main.Links.Frames
	u.Appends, u.Records, u.LogBytes = vars.Main.Log.Appends, vars.Main.Log.Records, vars.Main.Log.Bytes
	return nil
}

// IntervalUsage is the resource usage over an interval, at one load size. It is
// written as a JSON object with these field names.
type IntervalUsage struct {
	// Size is the load size, such as a number of agents.
	Size float64
	// Processor is the CPU usage in cores.
	Processor float64
	// Resident and Heap are in bytes, at the end of the interval.
	Resident, Heap float64
	// Wire is bytes per second on links in both directions, Log bytes per second
	// appended to the log.
	Wire, Log float64
	// Appends and Records are per second.
	Appends, Records float64
}

// UsageBetween returns the usage between two samples.
func UsageBetween(size float64, before, after Usage) IntervalUsage {
	seconds := after.At.Sub(before.At).Seconds()
	return IntervalUsage{
		Size: size, Processor: (after.CPUTime - before.CPUTime).Seconds() / seconds, Resident: float64(after.ResidentBytes), Heap: float64(after.HeapBytes),
		Wire: float64(after.SentBytes+after.ReceivedBytes-before.SentBytes-before.ReceivedBytes) / seconds, Log: float64(after.LogBytes-before.LogBytes) / seconds,
		Appends: float64(after.Appends-before.Appends) / seconds, Records: float64(after.Records-before.Records) / seconds,
	}
}

// LinearFit is a line fitted to measured points.
type LinearFit struct {
	// Intercept and Slope describe the line. MaxResidual is the largest distance
	// of a point from it, as a share of the largest value.
	Intercept, Slope, MaxResidual float64
}

// FitLine fits a line by least squares.
func FitLine(x, y []float64) LinearFit {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	var fit LinearFit
	if denominator := n*sxx - sx*sx; denominator != 0 {
		fit.Slope = (n*sxy - sx*sy) / denominator
	}
	fit.Intercept = (sy - fit.Slope*sx) / n
	maxValue, maxDistance := 0.0, 0.0
	for i := range x {
		maxValue = max(maxValue, y[i])
		maxDistance = max(maxDistance, abs(y[i]-fit.Intercept-fit.Slope*x[i]))
	}
	if maxValue > 0 {
		fit.MaxResidual = maxDistance / maxValue
	}
	return fit
}

func abs(v float64) float64 {
	if v < 0 {
		return -v
	}
	return v
}
