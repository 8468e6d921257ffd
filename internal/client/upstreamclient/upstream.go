// Package upstreamclient is the client of the upstream on the agent's VM.
package upstreamclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/gravitational/trace"

	"knapweedspur/internal/wire/message"
)

// ErrNotSent means that the upstream never received the request.
var ErrNotSent = errors.New("the upstream did not take the connection")

// Response is the status and headers of a response, with its body still to be
// read. The caller must close Body.
type Response struct {
	Status int
	Header []message.Header
	Body   io.ReadCloser
}

// Upstream is the interface to the upstream. A different protocol needs only
// another implementation of it.
type Upstream interface {
	// Do sends a request. An error that wraps ErrNotSent means that the upstream
	// did not receive the request; after any other error the request may have
	// been executed.
	Do(ctx context.Context, r *message.Request) (*Response, error)
	// Healthy returns nil if the upstream accepts requests.
	Healthy(ctx context.Context) error
}

// HTTP is an upstream that is reached over HTTP.
type HTTP struct {
	// Address is the address of the upstream.
	Address netip.AddrPort
	// Client sends the requests. It must not follow redirects; see NewClient.
	Client *http.Client
}

// NewClient returns a client that returns redirect responses instead of
// following them.
func NewClient(transport http.RoundTripper) *http.Client {
	return &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// EndToEndHeaders returns the headers to forward, without hop-by-hop headers.
func EndToEndHeaders(h http.Header) []message.Header {
	list := make([]message.Header, 0, len(h))
	for name, values := range h {
		if hopByHopHeaders[name] {
			continue
		}
		for _, v := range values {
			list = append(list, message.Header{Name: name, Value: v})
		}
	}
	return list
}

// Do sends a request.
func (u *HTTP) Do(ctx context.Context, r *message.Request) (*Response, error) {
	target, err := url.Parse("http://" + u.Address.String() + r.Path)
	if err != nil {
		return nil, errors.Join(ErrNotSent, trace.BadParameter("path %q: %v", r.Path, err))
	}
	req := (&http.Request{Method: r.Method, URL: target, Host: target.Host, Header: make(http.Header, len(r.Header)), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	for _, h := range r.Header {
		req.Header.Add(h.Name, h.Value)
	}
	if len(r.Body) > 0 || r.NonIdempotent {
		// Without GetBody the transport cannot replay the request on a new
		// connection. This makes sure that a request that must run at most once
		// is sent only once, even if it has an empty body or an idempotency
		// header.
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	resp, err := u.Client.Do(req) //nolint:bodyclose // the caller of Do closes it
	if err != nil {
		return nil, classify(err)
	}
	return &Response{Status: resp.StatusCode, Header: EndToEndHeaders(resp.Header), Body: resp.Body}, nil
}

// classify marks a failure to connect as ErrNotSent. After any other error the
// request may have been executed.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Join(ErrNotSent, err)
	}
	return err
}

// Healthy queries the upstream's health check path.
func (u *HTTP) Healthy(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address.String()+"/healthz", nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := u.Client.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "check the upstream")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError {
		return trace.ConnectionProblem(nil, "upstream health: %s", resp.Status)
	}
	return nil
}
