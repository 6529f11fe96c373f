// Package network abstracts listening and dialling, so that the same code runs
// over TCP and, in tests, over in-memory pipes.
package network

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"syscall"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/responsehead"
)

// Network opens listeners and connections. Addresses consist of an IP and a port.
type Network interface {
	// Listen opens a listener at addr.
	Listen(addr string) (net.Listener, error)
	// Dial opens a connection to addr.
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

const (
	dialTimeout    = time.Second
	bufferBytes    = 1024 // small, because many streams are open at once
	maxIdlePerHost = 64
	idleTimeout    = 30 * time.Second
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 64 << 10
)

// TCP is the operating system's TCP network.
type TCP struct {
	// readBuffer is the size of the receive buffers of opened connections; 0 means the system's.
	readBuffer int
}

// Listen opens a TCP listener.
func (TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial opens a TCP connection.
func (n TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	if n.readBuffer > 0 {
		// Before the connection announces how much it receives.
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			// A connection that keeps its buffer works too.
			_ = setReadBuffer(raw, n.readBuffer)
			return nil
		}
	}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

// Client returns an HTTP client over a network. It does not follow redirects, use
// proxies or decompress responses. It returns an error for responses whose heads are not valid.
func Client(n Network) *http.Client { return SecureClient(n, nil) }

// SecureClient returns a client like Client that uses config for https and wss URLs.
func SecureClient(n Network, config *tls.Config) *http.Client {
	return &http.Client{
		Transport: transport{&http.Transport{
			DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
				return n.Dial(ctx, addr)
			},
			MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleTimeout,
			ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
			DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes, TLSClientConfig: config,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// transport checks the heads of responses, also of interim ones.
type transport struct{ *http.Transport }

// RoundTrip sends a request and returns its response.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			return responsehead.CheckNames(http.Header(header))
		},
	})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := responsehead.Check(resp); err != nil {
		_ = resp.Body.Close()
		// The connection of a response without a body is idle already.
		t.CloseIdleConnections()
		return nil, err
	}
	return resp, nil
}

// SetReadBuffer sets the size in bytes of the buffers in which the connections of a listener receive
// what has not been read; 0 leaves them as they are. Only listeners of TCP have such buffers.
func SetReadBuffer(ln net.Listener, bytes int) error {
	socket, ok := ln.(syscall.Conn)
	if !ok || bytes == 0 {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return setReadBuffer(raw, bytes)
}

// WithReadBuffer returns a network whose opened connections have receive buffers of the given size in
// bytes; 0 leaves them as they are. Only TCP has such buffers.
func WithReadBuffer(n Network, bytes int) Network {
	if _, ok := n.(TCP); !ok || bytes == 0 {
		return n
	}
	return TCP{readBuffer: bytes}
}

func setReadBuffer(raw syscall.RawConn, bytes int) error {
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	}); err != nil {
		return err
	}
	return optionErr
}
