package ingress

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/migration"
	"github.com/pimentohinge/pimentohinge/internal/replica"
	"github.com/pimentohinge/pimentohinge/platform"
)

// stopDialTimeout bounds opening a connection for a request to stop a run while another one is
// kept for it.
const stopDialTimeout = 150 * time.Millisecond

// connKind is the kind of a connection, for log lines.
type connKind string

// Kinds of connections. A new one was opened to the address of a server, which another process
// may have taken over.
const (
	connNone connKind = "none"
	connNew  connKind = "new"
	connKept connKind = "kept"
)

// runConn is a connection to the server of a migrating stream. It is kept idle for requests to
// the process that runs the stream: a server that leaves may take no new connections, or another
// process may listen at its address, while it continues its runs.
type runConn struct {
	// conn is nil if there is no connection.
	conn *replica.Reserved
	// answer is the answer on the connection which showed that the process at its other end has
	// the run; nil if there was none.
	answer *platform.MoveResponse
}

func (c runConn) usable() bool { return c.conn != nil && !c.conn.IsClosed() }

func (c runConn) close() {
	if c.conn != nil {
		c.conn.Close()
	}
}

// keptRunConn returns the connection that is kept for the stream.
func (st *stream) keptRunConn() runConn {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.runConn
}

// keepRunConn keeps a connection in place of an earlier one. It reports false if the connection
// is closed, or the stream has ended or does not run on the given server any more.
func (st *stream) keepRunConn(server backend.Server, conn runConn) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended || !st.runningOn.SameInstance(server) || !conn.usable() {
		return false
	}
	if st.runConn.conn != conn.conn {
		st.runConn.close()
	}
	st.runConn = conn
	return true
}

// takeRunConn returns the connection to the process that ran the stream on a server, if there is
// one. It is not kept any more.
func (st *stream) takeRunConn(server backend.Server) (*replica.Reserved, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.runningOn.SameInstance(server) || !st.runConn.usable() || st.runConn.answer == nil {
		return nil, false
	}
	conn := st.runConn.conn
	st.runConn = runConn{}
	return conn, true
}

// ensureRunConn opens a connection to the server of a stream in the background if none is kept:
// a server may close the one on which it answered.
func (s *Server) ensureRunConn(st *stream, server backend.Server) {
	if st.keptRunConn().usable() {
		return
	}
	s.spawn(func() {
		conn, err := s.pool.Reserve(st.req.ctx, server.Instance())
		if err == nil && !st.keepRunConn(server, runConn{conn: conn}) {
			conn.Close()
		}
	})
}

// sendOn returns a function that sends a request on a reserved connection and keeps it open.
func sendOn(conn *replica.Reserved) sendFunc {
	return func(ctx context.Context, _ backend.Instance, req *replica.Request) (*replica.Response, error) {
		shared := *req
		shared.OwnConnection = false
		return conn.Send(ctx, &shared)
	}
}

// sendOnNew is sendOn with a connection that it opens and stores in *conn.
func (s *Server) sendOnNew(conn **replica.Reserved) sendFunc {
	return func(ctx context.Context, server backend.Instance, req *replica.Request) (*replica.Response, error) {
		opened, err := s.pool.Reserve(ctx, server)
		if err != nil {
			return nil, err
		}
		*conn = opened
		return sendOn(opened)(ctx, server, req)
	}
}

// stopReply is what came of a request to stop the run of a stream.
type stopReply struct {
	result migration.StopResult
	move   platform.MoveResponse
	// sentOn is the connection on which the request was sent.
	sentOn connKind
}

// requestStop asks the server of a stream to stop its run and to copy the rest of its KV cache:
// on a new connection and, if that can't be opened or the process at its other end is not known to
// be the one that runs the stream, on the connection that is kept.
func (s *Server) requestStop(ctx context.Context, st *stream, source, target backend.Server) stopReply {
	kept := st.keptRunConn()
	reply := s.requestStopOnNew(ctx, st, source, target, kept.usable())
	switch reply.result {
	case migration.ServerRefuses, migration.ServerUnreachable, migration.NoRunUnconfirmed:
	default:
		return reply
	}
	// A request on a connection that closes just now would hide when it closed.
	if !kept.usable() || kept.conn.AwaitClose(ctx, st.closeSkewLeft(time.Now())) {
		return reply
	}
	move, err := s.callMove(ctx, st, moveCall{source: source, target: target, final: true, sentOn: connKept}, sendOn(kept.conn))
	if eris.Is(err, replica.ErrNotSent) {
		return reply
	}
	result := stopResult(move, err)
	switch {
	case kept.answer != nil && result.ShowsRun() && move == *kept.answer:
		// A late second copy of the earlier response can't be told from the response.
		result = migration.StopUnknown
	case result.ShowsRun():
		st.keepRunConn(source, runConn{conn: kept.conn, answer: &move})
	case kept.answer == nil && result == migration.NoRun && !s.isProcessOf(ctx, source, kept.conn):
		result = migration.NoRunUnconfirmed
	}
	return stopReply{result: result, move: move, sentOn: connKept}
}

// requestStopOnNew is requestStop on a new connection. It has to be opened soon if another
// connection is kept.
func (s *Server) requestStopOnNew(ctx context.Context, st *stream, source, target backend.Server, otherKept bool) stopReply {
	dialCtx := ctx
	if otherKept {
		var cancel context.CancelFunc
		dialCtx, cancel = context.WithTimeout(ctx, stopDialTimeout)
		defer cancel()
	}
	conn, err := s.pool.Reserve(dialCtx, source.Instance())
	if err != nil {
		return stopReply{result: stopResult(platform.MoveResponse{Result: platform.MoveFailed}, err), sentOn: connNone}
	}
	move, err := s.callMove(ctx, st, moveCall{source: source, target: target, final: true, sentOn: connNew}, sendOn(conn))
	result := stopResult(move, err)
	if result.ShowsRun() && st.keepRunConn(source, runConn{conn: conn, answer: &move}) {
		return stopReply{result: result, move: move, sentOn: connNew}
	}
	defer conn.Close()
	if result == migration.NoRun && !s.isProcessOf(ctx, source, conn) {
		result = migration.NoRunUnconfirmed
	}
	return stopReply{result: result, move: move, sentOn: connNew}
}

// closeSkewLeft is how long the kept connection may still be open at a time if the server ended
// when the connection of the stream broke.
func (st *stream) closeSkewLeft(now time.Time) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.isBroken() {
		return 0
	}
	return max(0, st.brokenAt.Add(migration.MaxCloseSkew).Sub(now))
}

// isProcessOf reports whether a connection certainly leads to the process of a server, by the
// start that it reports on the connection.
func (s *Server) isProcessOf(ctx context.Context, server backend.Server, conn *replica.Reserved) bool {
	// The end of writing the request before may not have been recorded yet.
	if !conn.AwaitIdle(ctx) {
		return false
	}
	_, body, err := s.callReplica(ctx, server, platform.ReportCall(), callTimeout, sendOn(conn))
	if err != nil {
		return false
	}
	report, err := platform.DecodeReport(body)
	return err == nil && server.StartedAs(report.StartedAt)
}

// stopResult classifies the response to a request to stop a run.
func stopResult(move platform.MoveResponse, err error) migration.StopResult {
	switch {
	case eris.Is(err, replica.ErrRefused):
		return migration.ServerRefuses
	case eris.Is(err, replica.ErrNotSent):
		return migration.ServerUnreachable
	case err != nil:
		return migration.StopUnknown
	}
	switch move.Result {
	case platform.Copied:
		return migration.StoppedAndCopied
	case platform.RunNotFound:
		return migration.NoRun
	case platform.OtherInstance:
		return migration.NoRunUnconfirmed
	case platform.MoveInProgress:
		return migration.StopBusy
	case platform.TargetUnavailable:
		if move.Handle != "" {
			return migration.StoppedInPlace
		}
	}
	return migration.StopUnknown
}

// connections returns what is known of the connections to the server of a stream.
func (s *Server) connections(st *stream, server backend.Server) migration.Connections {
	connections := migration.Connections{
		OthersOpen: s.pool.OpenInUse(server.Instance()), OthersOpenUntil: s.pool.InUseUntil(server.Instance()),
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.isBroken() {
		connections.StreamClosedAt = st.brokenAt
	}
	if st.runConn.conn != nil {
		connections.ReservedClosedAt = st.runConn.conn.ClosedAt()
	}
	return connections
}
