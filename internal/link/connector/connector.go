// Package connector opens and takes connections for a process. Tests put a
// network in memory in its place.
package connector

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

// Connector is how a process reaches the network.
type Connector interface {
	// Listen takes connections at an address.
	Listen(address netip.AddrPort) (net.Listener, error)
	// Dial opens a connection.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	dialTimeout = 3 * time.Second
	keepAlive   = 15 * time.Second
	// idleConnections are kept to each address.
	idleConnections = 64
	idleTimeout     = 30 * time.Second
)

// System is the network of the machine.
type HostNetwork struct{}

// Listen takes connections at an address.
func (HostNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, trace.Wrap(err, "listen on %s; is another process there?", address)
	}
	return listener, nil
}

// Dial opens a connection.
func (HostNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return d.DialContext(ctx, network, address)
}

// Transport returns an HTTP transport over a connector.
func NewTransport(c Connector) *http.Transport {
	return &http.Transport{
		DialContext: c.Dial, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}
