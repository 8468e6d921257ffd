// Package connector opens and accepts network connections. Tests replace it by
// an in-memory network.
package connector

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

// Connector listens on and dials network addresses.
type Connector interface {
	// Listen accepts connections at an address.
	Listen(address netip.AddrPort) (net.Listener, error)
	// Dial opens a connection.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	dialTimeout       = 3 * time.Second
	keepAliveInterval = 15 * time.Second
	// maxIdleConnsPerHost is the number of idle connections kept to each
	// address.
	maxIdleConnsPerHost = 64
	idleConnTimeout     = 30 * time.Second
)

// HostNetwork is the TCP network of the host.
type HostNetwork struct{}

// Listen accepts TCP connections at an address.
func (HostNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, trace.Wrap(err, "listen on %s; another process may be using the address", address)
	}
	return listener, nil
}

// Dial opens a connection with a timeout and TCP keep-alive.
func (HostNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return d.DialContext(ctx, network, address)
}

// NewTransport returns an HTTP transport that dials through a connector.
func NewTransport(c Connector) *http.Transport {
	return &http.Transport{
		DialContext: c.Dial, MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
	}
}
