package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/pimentohinge/pimentohinge/internal/headlimit"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/problem"
	"github.com/pimentohinge/pimentohinge/internal/routing"
	"github.com/pimentohinge/pimentohinge/internal/settings"
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
	f := &frontend{handler: abortEvicted(handler), spawn: spawn, log: logger, limiter: limiter}
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
		ConnState:                    f.limiter.State, ConnContext: withConn,
	}
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

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// abortEvicted ends a request whose connection was closed just as its head became complete.
func abortEvicted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*headlimit.Conn); ok && conn.Evicted() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

const (
	// headMemoryDivisor limits the heads of requests to one eighth of the VM's memory.
	headMemoryDivisor = 8
	// connBytes is the memory of one connection without its requests; connMemoryDivisor limits all
	// connections of callers to one fourth of the VM's memory.
	connBytes         = 32 << 10
	connMemoryDivisor = 4
	// fileDescriptors are the descriptors that are not available for connections. Callers get half
	// of the others: a request in progress takes a second one.
	fileDescriptors     = 200
	callersShareOfConns = 2
	minCallerConns      = 8
)

// newHeadLimiter returns the limiter for the callers of a VM.
func newHeadLimiter(config settings.Gateway) *headlimit.Limiter {
	memory := int64(config.MemoryMb) << 20
	conns := int(memory / connMemoryDivisor / connBytes)
	if config.MaxDescriptors > 0 {
		conns = min(conns, max(minCallerConns, (config.MaxDescriptors-fileDescriptors)/callersShareOfConns))
	}
	return headlimit.New(headlimit.Options{
		MaxConns: conns, MemoryBytes: memory / headMemoryDivisor, Refusal: headRefusal(),
	})
}

// headRefusal returns the response to a head for which there is no memory.
func headRefusal() []byte {
	result := outcome.Refuse(outcome.HeadsFull, "")
	body, err := json.Marshal(problem.New("", result))
	if err != nil {
		body = nil
	}
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: %s\r\nRetry-After: %g\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		problem.ContentType, longRetryDelay.Seconds(), len(body), body)
}

// reportLimits logs and counts what the limiter has refused or closed since the last report, and
// returns the counts so far.
func (s *Server) reportLimits(last headlimit.Counts) headlimit.Counts {
	counts := s.frontend.limiter.Counts()
	if counts == last {
		return last
	}
	since := map[string]int64{
		"headRefused": counts.RefusedHeads - last.RefusedHeads, "headClosed": counts.EvictedHeads - last.EvictedHeads,
		"idleClosed": counts.IdleClosed - last.IdleClosed, "connectionRefused": counts.RefusedConns - last.RefusedConns,
	}
	for action, n := range since {
		s.metrics.callerLimits.WithLabelValues(action).Add(float64(n))
	}
	s.log.Warn().Str("event", "callersLimited").Int64("headsRefused", since["headRefused"]).Int64("headsClosed", since["headClosed"]).
		Int64("idleClosed", since["idleClosed"]).Int64("connectionsRefused", since["connectionRefused"]).
		Int64("headBytes", s.frontend.limiter.Used()).Msg("")
	return counts
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
