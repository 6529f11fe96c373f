package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/pimentohinge/pimentohinge/internal/headlimit"
	"github.com/pimentohinge/pimentohinge/internal/routing"
	"github.com/pimentohinge/pimentohinge/internal/sleep"
)

// frontend accepts callers' connections. As an http.Server cannot change its limits
// while it runs, each change of limits starts another one for new connections.
type frontend struct {
	handler http.Handler
	spawn   func(func())
	log     *log.Logger
	// limiter bounds the connections and the heads of the requests on them.
	limiter *headlimit.Limiter

	mu            sync.Mutex
	current       *connListener
	appliedLimits routing.Limits
	listeners     []*connListener
	closed        bool
}

// connListener is a net.Listener whose connections are accepted elsewhere and passed
// through a channel.
type connListener struct {
	server *http.Server
	conns  chan net.Conn
	done   chan struct{}
	once   sync.Once
}

func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (*connListener) Addr() net.Addr { return &net.TCPAddr{} }

const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

func newFrontend(handler http.Handler, spawn func(func()), logger *log.Logger, limiter *headlimit.Limiter) *frontend {
	f := &frontend{handler: handler, spawn: spawn, log: logger, limiter: limiter}
	f.startServer(routing.Limits{})
	return f
}

// setLimits applies limits to connections accepted from now on.
func (f *frontend) setLimits(limits routing.Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if limits.HeaderBytes == f.appliedLimits.HeaderBytes && limits.HeaderTimeout == f.appliedLimits.HeaderTimeout &&
		limits.IdleTimeout == f.appliedLimits.IdleTimeout {
		return
	}
	f.appliedLimits = limits
	f.startServer(limits)
}

// startServer starts an http.Server for new connections; 0 in limits selects the
// default. f.mu must be held once f is shared.
func (f *frontend) startServer(limits routing.Limits) {
	if f.closed {
		return
	}
	server := &http.Server{
		Handler: f.handler, MaxHeaderBytes: defaultHeaderBytes,
		ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		// net/http would respond to "OPTIONS *" with 200, but only a replica may report
		// success.
		DisableGeneralOptionsHandler: true,
	}
	f.limiter.Attach(server)
	if limits.HeaderBytes > 0 {
		server.MaxHeaderBytes = limits.HeaderBytes
	}
	if limits.HeaderTimeout > 0 {
		server.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		server.IdleTimeout = limits.IdleTimeout
	}
	f.current = &connListener{server: server, conns: make(chan net.Conn), done: make(chan struct{})}
	f.listeners = append(f.listeners, f.current)
	listener := f.current
	f.spawn(func() { _ = server.Serve(listener) })
}

const (
	// minAcceptBackoff is the delay after a failure to accept a connection, as when there are
	// no descriptors left. It doubles with each further failure up to maxAcceptBackoff.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 500 * time.Millisecond
)

// accept passes new connections to the server with the current limits until the listener
// is closed.
func (f *frontend) accept(ctx context.Context, ln net.Listener) {
	backoff := minAcceptBackoff
	for {
		conn, err := ln.Accept()
		switch {
		case err == nil:
			backoff = minAcceptBackoff
			f.passOn(conn)
		case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
			return
		default:
			f.log.Error().Str("event", "acceptFailed").Str("reason", err.Error()).Int64("retryMs", backoff.Milliseconds()).Msg("")
			sleep.For(ctx, backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
		}
	}
}

// passOn passes a connection to the server with the current limits.
func (f *frontend) passOn(conn net.Conn) {
	limited := f.limiter.Wrap(conn)
	if limited == nil {
		_ = conn.Close()
		return
	}
	f.mu.Lock()
	current := f.current
	f.mu.Unlock()
	select {
	case current.conns <- limited:
	case <-current.done:
		_ = limited.Close()
		f.limiter.State(limited, http.StateClosed)
	}
}

// shutdown closes the idle connections and waits until the context ends for the responses
// on the others. It returns false if some are left.
func (f *frontend) shutdown(ctx context.Context) bool {
	f.mu.Lock()
	f.closed = true
	listeners := f.listeners
	f.mu.Unlock()
	complete := true
	for _, listener := range listeners {
		complete = listener.server.Shutdown(ctx) == nil && complete
	}
	return complete
}

func (f *frontend) close() {
	f.mu.Lock()
	f.closed = true
	listeners := f.listeners
	f.mu.Unlock()
	for _, listener := range listeners {
		_ = listener.server.Close()
		_ = listener.Close()
	}
}
