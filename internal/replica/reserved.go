package replica

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/backend"
)

// Reserved is a connection that is kept open for requests of one purpose. It carries one
// request at a time. As it is watched while it is idle, it shows when the replica closed its
// connections, also after new ones can't be opened any more.
type Reserved struct {
	pool   *Pool
	server backend.Instance

	mu   sync.Mutex
	conn *conn
	// idle is closed unless a request is sent or its response is read.
	idle chan struct{}
	// used is set when the connection has carried a request.
	used bool
	// readable is closed when the connection has something to read: a response or its end.
	readable chan struct{}
	// closed is closed when the connection can't be used any more.
	closed chan struct{}
	// closedAt is when the replica closed the idle connection; zero if it did not.
	closedAt time.Time
}

// Reserve opens a connection to an instance.
func (p *Pool) Reserve(ctx context.Context, server backend.Instance) (*Reserved, error) {
	c, err := p.dial(ctx, server)
	if err != nil {
		return nil, notSent(server, err)
	}
	r := &Reserved{pool: p, server: server, conn: c, idle: make(chan struct{}), closed: make(chan struct{})}
	close(r.idle)
	r.watch()
	return r, nil
}

// watch waits in the background until there is something to read. r.mu must be held unless r
// is not shared yet.
func (r *Reserved) watch() {
	readable := make(chan struct{})
	r.readable = readable
	go func() {
		_, err := r.conn.reader.Peek(1)
		r.mu.Lock()
		defer r.mu.Unlock()
		defer close(readable)
		if r.isIdle() {
			r.end(err)
		}
	}()
}

// end records that the connection can't be used any more, because of err or of bytes that
// nobody asked for. r.mu must be held.
func (r *Reserved) end(err error) {
	if r.IsClosed() {
		return
	}
	if err != nil {
		r.closedAt = time.Now()
	}
	close(r.closed)
	_ = r.conn.Close()
}

func (r *Reserved) isIdle() bool {
	select {
	case <-r.idle:
		return true
	default:
		return false
	}
}

// AwaitIdle waits until the connection carries no request. It reports false if it is closed or ctx
// ends before.
func (r *Reserved) AwaitIdle(ctx context.Context) bool {
	r.mu.Lock()
	idle := r.idle
	r.mu.Unlock()
	select {
	case <-idle:
		return !r.IsClosed()
	case <-r.closed:
	case <-ctx.Done():
	}
	return false
}

// IsClosed reports whether the connection can't be used any more.
func (r *Reserved) IsClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}

// AwaitClose waits until the connection can't be used any more, d has passed or ctx ends. It
// reports whether the connection can't be used any more.
func (r *Reserved) AwaitClose(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.closed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// Closed returns a channel that is closed when the connection can't be used any more.
func (r *Reserved) Closed() <-chan struct{} { return r.closed }

// ClosedAt returns when the replica closed the connection while it was idle, or the zero time
// if it did not.
func (r *Reserved) ClosedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closedAt
}

// Close closes the connection. It does not count as closed by the replica.
func (r *Reserved) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end(nil)
}

// Send sends a request like Pool.Send, on the reserved connection. The error is an ErrNotSent
// if the connection was closed before. The connection stays reserved if the response is read
// to its end.
func (r *Reserved) Send(ctx context.Context, req *Request) (*Response, error) {
	r.mu.Lock()
	if !r.isIdle() || r.IsClosed() || r.conn.closedByPeer() {
		r.mu.Unlock()
		return nil, eris.Wrapf(ErrNotSent, "the connection to %s is closed or in use", r.server.Address)
	}
	r.idle = make(chan struct{})
	r.conn.reused, r.used = r.used, true
	readable := r.readable
	r.mu.Unlock()
	x := &exchange{pool: r.pool, server: r.server, conn: r.conn, keep: r.release, discard: r.Close}
	x.begin(ctx, req)
	<-readable
	resp, err := x.readResponse(req)
	if err != nil {
		x.close()
		return nil, err
	}
	return resp, nil
}

// release makes the connection available for the next request.
func (r *Reserved) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.idle)
	if !r.IsClosed() {
		r.watch()
	}
}
