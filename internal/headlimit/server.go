package headlimit

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// unreadBodyTimeout bounds the time in which the rest of the body of a refused request arrives.
const unreadBodyTimeout = 500 * time.Millisecond

// Serve serves HTTP on the connections of a listener until the listener fails or the server is
// closed. It sets the hooks of the server and wraps its handler. The connections use TLS if config is
// not nil.
func (l *Limiter) Serve(server *http.Server, ln net.Listener, config *tls.Config) error {
	l.Attach(server)
	if config != nil {
		l.minWait = minHandshakeWait
	}
	return server.Serve(&listener{Listener: ln, limiter: l, config: config})
}

// Attach sets the hooks of a server that serves connections of the limiter and wraps its handler.
func (l *Limiter) Attach(server *http.Server) {
	server.ConnState, server.ConnContext = l.State, withConn
	server.Handler = abortEvicted(server.Handler)
}

// listener limits the connections of a net.Listener.
type listener struct {
	net.Listener
	limiter *Limiter
	config  *tls.Config // nil for none
}

// Accept returns the next connection that is not refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limited := l.limiter.Wrap(conn)
		switch {
		case limited == nil:
			_ = conn.Close()
		case l.config != nil:
			return limited.secure(l.config), nil
		default:
			return limited, nil
		}
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, limitedConn(conn))
}

// FromContext returns the connection of a request. It is nil if there is no limiter: AwaitBody,
// BodyRead, Established and Evicted may be called on it nevertheless.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// BoundUnreadBody bounds the time in which the rest of a refused request's body arrives. Without it an
// http.Server waits for it before it closes the connection or reads the next request.
func BoundUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.Body != nil && r.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// abortEvicted ends a request whose connection was closed just as its head became complete.
func abortEvicted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if FromContext(r.Context()).Evicted() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
