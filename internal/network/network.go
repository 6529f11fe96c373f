// Package network opens listeners and connections, so that the same code runs
// over TCP and, in tests, over pipes in memory.
package network

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Network opens listeners and connections by address.
type Network interface {
	// Listen accepts connections at an IP and port.
	Listen(addr string) (net.Listener, error)
	// Dial connects to an IP and port.
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

const (
	dialTimeout    = time.Second
	bufferBytes    = 1024
	maxIdlePerHost = 64
	idleTimeout    = 30 * time.Second
)

// TCP is the network of the operating system.
type TCP struct{}

// Listen accepts TCP connections.
func (TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial connects by TCP.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// SecureClient is Client with TLS for https and wss.
func SecureClient(n Network, config *tls.Config) *http.Client {
	c := Client(n)
	if t, ok := c.Transport.(*http.Transport); ok {
		t.TLSClientConfig = config
	}
	return c
}

// Client returns an HTTP client over a network. It follows no redirects and no
// proxies, and its buffers are small because streams are many.
func Client(n Network) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
				return n.Dial(ctx, addr)
			},
			MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleTimeout,
			ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
