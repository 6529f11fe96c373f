package ingress

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/migration"
	"github.com/pimentohinge/pimentohinge/internal/replica"
)

// stopConnRetryDelay is the delay after the connection for the request to stop a run has
// closed, or could not be opened, before another one is opened.
const stopConnRetryDelay = 400 * time.Millisecond

// stopDialTimeout bounds opening a connection for a request to stop a run while another one is
// kept for it.
const stopDialTimeout = 150 * time.Millisecond

// connKind is the kind of a connection, for log lines.
type connKind string

// Kinds of connections. A new one was opened to the address of a server, which another process
// may have taken over.
const (
	connNone     connKind = "none"
	connNew      connKind = "new"
	connReserved connKind = "reserved"
)

// keepStopConn keeps a connection to the server of a migrating stream open until the stream
// breaks, for the request to stop its run: a server that leaves may take no new connections
// and continue its runs.
func (s *Server) keepStopConn(st *stream, from backend.Server) {
	broken, ok := st.beginKeepingStopConn(from)
	if !ok {
		return
	}
	for {
		conn, err := s.pool.Reserve(st.req.ctx, from.Instance())
		if err == nil {
			if !st.setStopConn(broken, conn) {
				conn.Close()
				return
			}
			select {
			case <-conn.Closed():
			case <-broken:
				return
			case <-st.req.ctx.Done():
				return
			}
		}
		if !st.waitWhileRunning(time.Now().Add(stopConnRetryDelay)) {
			return
		}
	}
}

// beginKeepingStopConn reports whether the stream runs on the given server and has no
// connection for the request to stop it yet. It also returns st.broken.
func (st *stream) beginKeepingStopConn(from backend.Server) (<-chan struct{}, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended || st.keepsStopConn || !st.runningOn.SameInstance(from) {
		return nil, false
	}
	st.keepsStopConn = true
	return st.broken, true
}

// setStopConn records the connection for the request to stop the run. It reports false if the
// stream has ended, or has moved since st.broken was the given channel.
func (st *stream) setStopConn(broken <-chan struct{}, conn *replica.Reserved) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended || st.broken != broken {
		return false
	}
	st.stopConn = conn
	return true
}

// releaseStopConn closes the connection for the request to stop the run. st.mu must be held.
func (st *stream) releaseStopConn() {
	if st.stopConn != nil {
		st.stopConn.Close()
	}
	st.stopConn, st.keepsStopConn = nil, false
}

// sendStop returns a function that sends a request to stop the run of the stream: on a new
// connection or, if none is opened soon, on the one that was kept for it.
func (st *stream) sendStop(pool *replica.Pool) sendFunc {
	return func(ctx context.Context, server backend.Instance, req *replica.Request) (*replica.Response, error) {
		st.mu.Lock()
		kept := st.stopConn
		st.stopSentOn = connNew
		st.mu.Unlock()
		if kept == nil || kept.IsClosed() {
			resp, err := pool.Send(ctx, server, req)
			if eris.Is(err, replica.ErrNotSent) {
				st.noteStopSentOn(connNone)
			}
			return resp, err
		}
		dialCtx, cancel := context.WithTimeout(ctx, stopDialTimeout)
		defer cancel()
		fresh, dialErr := pool.Reserve(dialCtx, server)
		if dialErr == nil {
			return fresh.Send(ctx, req)
		}
		st.noteStopSentOn(connNone)
		if kept.AwaitClose(ctx, migration.MaxCloseSkew) {
			return nil, dialErr
		}
		repeatable := *req
		// Only requests to stop this run use the connection, so that a late copy of a response
		// says nothing wrong.
		repeatable.OwnConnection = false
		resp, err := kept.Send(ctx, &repeatable)
		if eris.Is(err, replica.ErrNotSent) {
			return nil, dialErr
		}
		st.noteStopSentOn(connReserved)
		return resp, err
	}
}

func (st *stream) noteStopSentOn(kind connKind) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.stopSentOn = kind
}

// connections returns what is known of the connections to the server of a stream.
func (s *Server) connections(st *stream, server backend.Server) migration.Connections {
	connections := migration.Connections{OthersOpen: s.pool.OpenInUse(server.Instance())}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.isBroken() {
		connections.StreamClosedAt = st.brokenAt
	}
	if st.stopConn != nil {
		connections.ReservedClosedAt = st.stopConn.ClosedAt()
	}
	return connections
}
