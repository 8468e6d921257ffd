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

// maxPageBytes limits the size of the answer to a read.
const maxPageBytes = 32 << 20

// HTTP is a client of the log service over HTTP.
type HTTP struct {
	// Address is the address of the log service.
	Address netip.AddrPort
	Client  *http.Client
}

func (h *HTTP) url(stream string, query url.Values) string {
	u := url.URL{Scheme: "http", Host: h.Address.String(), Path: "/streams/" + stream, RawQuery: query.Encode()}
	return u.String()
}

// Append appends one value to a stream.
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, 64))
	if err != nil {
		return 0, trace.ConnectionProblem(err, "append to %s", stream)
	}
	if resp.StatusCode == http.StatusTooManyRequests {
		return 0, ErrRefused
	}
	if resp.StatusCode != http.StatusOK {
		return 0, trace.ConnectionProblem(nil, "append to %s: %s", stream, resp.Status)
	}
	offset, err := strconv.ParseUint(string(answer), 10, 64)
	if err != nil {
		return 0, trace.BadParameter("append to %s: invalid offset %q", stream, answer)
	}
	return offset, nil
}

// Read returns values starting at an offset.
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
		return Page{}, readTruncatedError(resp.Body)
	}
	if resp.StatusCode != http.StatusOK {
		return Page{}, trace.ConnectionProblem(nil, "read %s: %s", stream, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		return Page{}, trace.ConnectionProblem(err, "read %s", stream)
	}
	var page Page
	if err := codec.Decode(body, &page); err != nil {
		return Page{}, trace.Wrap(err)
	}
	return page, nil
}

// readTruncatedError reads the lowest kept offset from an answer.
func readTruncatedError(body io.Reader) error {
	answer, err := io.ReadAll(io.LimitReader(body, 64))
	if err != nil {
		return trace.ConnectionProblem(err, "read the oldest kept offset")
	}
	oldest, err := strconv.ParseUint(string(answer), 10, 64)
	if err != nil {
		return trace.BadParameter("invalid oldest offset %q", answer)
	}
	return &TruncatedError{OldestOffset: oldest}
}
