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
	requestTimeout   = 20 * time.Second
	maxResponseBytes = 64 << 20
)

// entryClient is the HTTP client of the control API of an entry, with the flags
// that operators' commands share.
type entryClient struct {
	Entry netip.AddrPort `name:"entry" help:"Control address of an entry." env:"KNAPWEEDSPUR_ENTRY" default:"127.0.0.1:7071"`
	Token string         `help:"Token to show to the entry." env:"KNAPWEEDSPUR_TOKEN"`
	Who   string         `help:"Who asks, for the audit trail." env:"KNAPWEEDSPUR_WHO"`
}

// auditName returns the operator's name for the audit trail: the flag, else the
// environment variable USER, else "operator".
func (c *entryClient) auditName() string {
	if c.Who != "" {
		return c.Who
	}
	if user := os.Getenv("USER"); user != "" {
		return user
	}
	return "operator"
}

// call sends a request to the entry and decodes the response into result, unless
// that is nil.
func (c *entryClient) call(method, path string, body, result any) error {
	return c.callAt(c.Entry, method, path, body, result)
}

// callAt is like call, but for an entry other than that of the --entry flag.
func (c *entryClient) callAt(entry netip.AddrPort, method, path string, body, result any) error {
	var requestBody io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return trace.Wrap(err)
		}
		requestBody = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+entry.String()+path, requestBody)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	resp, err := (&http.Client{Timeout: requestTimeout}).Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "no entry answers at %s; set --entry or KNAPWEEDSPUR_ENTRY", entry)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return trace.ConnectionProblem(err, "the response of %s is incomplete", entry)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return responseError(resp, data)
	}
	if result == nil || len(data) == 0 {
		return nil
	}
	return trace.Wrap(json.Unmarshal(data, result))
}

// responseError returns the error for a response with an error status, with the
// verdict and the time to wait before a retry.
func responseError(resp *http.Response, data []byte) error {
	text := strings.TrimSpace(string(data))
	if v := resp.Header.Get(verdict.Header); v != "" {
		text += " (" + v + ")"
	}
	if after := resp.Header.Get("Retry-After"); after != "" {
		text += "; try again in " + after + " s"
	}
	return trace.Errorf("%s", text)
}

// printJSON prints a value as indented JSON.
func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// printTable prints rows of tab-separated cells in aligned columns.
func printTable(out io.Writer, header string, rows []string) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, row := range rows {
		fmt.Fprintln(w, row)
	}
	_ = w.Flush()
}
