package commandrunner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"knapweedspur/internal/fault/verdict"
)

const (
	callTimeout = 20 * time.Second
	maxAnswer   = 64 << 20
)

// reach is how operators' commands reach an entry.
type reach struct {
	Entry netip.AddrPort `name:"entry" help:"Control address of an entry." env:"KNAPWEEDSPUR_ENTRY" default:"127.0.0.1:7071"`
	Token string         `help:"Token to show to the entry." env:"KNAPWEEDSPUR_TOKEN"`
	Who   string         `help:"Who asks, for the audit trail." env:"KNAPWEEDSPUR_WHO"`
}

// who returns the name for the audit trail.
func (r *reach) who() string {
	if r.Who != "" {
		return r.Who
	}
	if user := os.Getenv("USER"); user != "" {
		return user
	}
	return "operator"
}

// call calls the entry and reads its answer into a value, if one is given.
func (r *reach) call(method, path string, body, into any) error {
	return r.callAt(r.Entry, method, path, body, into)
}

func (r *reach) callAt(entry netip.AddrPort, method, path string, body, into any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return trace.Wrap(err)
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+entry.String()+path, reader)
	if err != nil {
		return trace.Wrap(err)
	}
	if r.Token != "" {
		req.Header.Set("Authorization", "Bearer "+r.Token)
	}
	resp, err := (&http.Client{Timeout: callTimeout}).Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "no entry answers at %s; set --entry or KNAPWEEDSPUR_ENTRY", entry)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return trace.ConnectionProblem(err, "the answer of %s broke off", entry)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return refusal(resp, data)
	}
	if into == nil || len(data) == 0 {
		return nil
	}
	return trace.Wrap(json.Unmarshal(data, into))
}

// refusal turns an entry's refusal into an error.
func refusal(resp *http.Response, data []byte) error {
	text := strings.TrimSpace(string(data))
	if v := resp.Header.Get(verdict.Header); v != "" {
		text += " (" + v + ")"
	}
	if after := resp.Header.Get("Retry-After"); after != "" {
		text += "; try again in " + after + " s"
	}
	return trace.Errorf("%s", text)
}

// printJSON prints a value for programs.
func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// table prints rows for people.
func table(out io.Writer, header string, rows []string) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, row := range rows {
		fmt.Fprintln(w, row)
	}
	_ = w.Flush()
}
