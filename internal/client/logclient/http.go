package logclient

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"knapweedspur/internal/wire/codec"
)

// maxPage is the largest answer to a read, in bytes.
const maxPage = 32 << 20

// HTTP is the log service over HTTP.
type HTTP struct {
	// Address is where the log service listens.
	Address netip.AddrPort
	// Client sends the requests.
	Client *http.Client
}

func (h *HTTP) url(stream string, query url.Values) string {
	u := url.URL{Scheme: "http", Host: h.Address.String(), Path: "/streams/" + stream, RawQuery: query.Encode()}
	return u.String()
}

// Append adds one value to a stream.
func (h *HTTP) Append(ctx context.Context, stream string, value []byte) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url(stream, nil), bytes.NewReader(value))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	resp, err := h.Client.Do(req)
	if err != nil {
		return 0, trace.ConnectionProblem(err, "append to %s", stream)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 64))
	if err != nil {
		return 0, trace.ConnectionProblem(err, "append to %s", stream)
	}
	if resp.StatusCode == http.StatusTooManyRequests {
		return 0, ErrRejected
	}
	if resp.StatusCode != http.StatusOK {
		return 0, trace.ConnectionProblem(nil, "append to %s: %s", stream, resp.Status)
	}
	offset, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return 0, trace.BadParameter("append to %s: offset %q", stream, text)
	}
	return offset, nil
}

// Read returns values from an offset on.
func (h *HTTP) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error) {
	query := url.Values{"from": {fmt.Sprint(from)}, "wait": {wait.String()}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url(stream, query), nil)
	if err != nil {
		return Page{}, trace.Wrap(err)
	}
	resp, err := h.Client.Do(req)
	if err != nil {
		return Page{}, trace.ConnectionProblem(err, "read %s", stream)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusGone {
		return Page{}, cut(resp.Body)
	}
	if resp.StatusCode != http.StatusOK {
		return Page{}, trace.ConnectionProblem(nil, "read %s: %s", stream, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPage))
	if err != nil {
		return Page{}, trace.ConnectionProblem(err, "read %s", stream)
	}
	var page Page
	if err := codec.Decode(body, &page); err != nil {
		return Page{}, trace.Wrap(err)
	}
	return page, nil
}

// cut reads the lowest offset kept.
func cut(body io.Reader) error {
	text, err := io.ReadAll(io.LimitReader(body, 64))
	if err != nil {
		return trace.ConnectionProblem(err, "read the oldest offset")
	}
	oldest, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return trace.BadParameter("oldest offset %q", text)
	}
	return &TruncatedError{OldestOffset: oldest}
}
