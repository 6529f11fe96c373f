package headlimit

import (
	"bytes"
	"container/list"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

var (
	errRefused = eris.New("no memory left for the request head")
	errEvicted = eris.New("connection closed in favour of others")
	// errHeadFailed is the error of writing after a failure to read a head.
	errHeadFailed = eris.New("request head was not read to its end")
)

// Conn is a connection of a caller. An http.Server must report its states to Limiter.State.
type Conn struct {
	net.Conn
	limiter *Limiter

	// The fields below are protected by limiter.mu. element is its place in limiter.waiting[stage], nil
	// while a request is in progress.
	element *list.Element
	stage   stage
	// waitsSince is the time from which on it has had time to send what it waits for.
	waitsSince time.Time
	// bodyBytes is the part of the body of a request that has been read, while it waits for the rest.
	bodyBytes int64
	// cost is the memory of the head, and begun set when some of it has been read.
	cost  int64
	begun bool
	// granted is the memory on the heap for what was read last. gone is not nil while the connection
	// waits for such memory, and closed when the connection is.
	granted int64
	gone    chan struct{}
	// served is set after the first request.
	served bool
	// unread is the cost of what was read last in the previous request: the next head may have
	// begun in it.
	unread int64
	// evicted is set when the limiter closed the connection, uncounted when it does not count any
	// more, and muted when nothing more may be written as a head could not be read to its end.
	evicted, uncounted, muted bool
	// hijacked is set when no further head follows.
	hijacked bool
	// encrypted is set when the heads are read by a secureConn, and handshaking until its handshake has
	// ended. They are not protected by limiter.mu.
	encrypted, handshaking bool
}

// AwaitBody records that the handler of a request reads its body. Until BodyRead is called the
// connection may be closed for another one: a caller that holds back a body keeps others out as one
// that holds back a head. The request has not run.
func (c *Conn) AwaitBody() {
	if c == nil {
		return
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.element == nil && !c.uncounted {
		c.bodyBytes, c.begun = 0, true
		c.limiter.wait(c, inBody)
	}
}

// BodyRead records that a request has been read. It reports false if the connection was closed before.
func (c *Conn) BodyRead() bool {
	if c == nil {
		return true
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.awaitsBody() {
		c.limiter.stopWaiting(c)
	}
	c.bodyBytes = 0
	return !c.evicted
}

func (c *Conn) awaitsBody() bool { return c.element != nil && c.stage == inBody }

// Established records that the client of a hijacked connection has proven who it is. The connection
// does not count any more.
func (c *Conn) Established() {
	if c == nil {
		return
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.remove(c)
}

// Close closes the connection. An http.Server does not report the end of hijacked ones.
func (c *Conn) Close() error {
	c.limiter.mu.Lock()
	c.limiter.remove(c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// Evicted reports whether the limiter has closed the connection.
func (c *Conn) Evicted() bool {
	if c == nil {
		return false
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.evicted
}

// Read reads from the connection. It fails once the limiter has closed or refused the connection.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case c.handshaking:
		return c.readCounted(c.Conn, p, handshakeCost, nil)
	case c.encrypted:
		return c.Conn.Read(p)
	}
	return c.readCounted(c.Conn, p, headCost, c.Conn)
}

// readCounted reads from the connection beneath c, or from the one with TLS above it, and counts the
// memory of what it has read. A refusal is written to refuseOn, unless that is nil.
func (c *Conn) readCounted(from net.Conn, p []byte, cost func(part []byte) int64, refuseOn net.Conn) (int, error) {
	if err := c.charge(0, nil); err != nil {
		return 0, err
	}
	n, err := from.Read(p)
	if n > 0 {
		if err := c.charge(cost(p[:n]), refuseOn); err != nil {
			return 0, err
		}
		c.countBody(n)
	}
	if err != nil {
		c.headFailed()
	}
	return n, err
}

// Write writes to the connection. It fails once reading a head has failed: an http.Server takes
// the part of a line before the failure for a malformed line and would answer 400, which tells the
// caller not to send its proper request again.
func (c *Conn) Write(p []byte) (int, error) {
	c.limiter.mu.Lock()
	muted := c.muted
	c.limiter.mu.Unlock()
	if muted {
		return 0, errHeadFailed
	}
	return c.Conn.Write(p)
}

// mute ends writing to the connection.
func (c *Conn) mute() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.muted = true
}

// headFailed records that reading failed, if that was in a head.
func (c *Conn) headFailed() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.muted = c.muted || c.element != nil && c.begun && !c.awaitsBody()
}

// countBody counts bytes that were read, if they are part of a body.
func (c *Conn) countBody(n int) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.awaitsBody() {
		c.bodyBytes += int64(n)
	}
}

// headCost is the memory that a part of a head takes.
func headCost(part []byte) int64 {
	separators := bytes.Count(part, []byte{'\n'}) + bytes.Count(part, []byte{','})
	return int64(len(part))*byteFactor + int64(separators)*separatorBytes
}

// charge counts a part of a head, and closes other connections or refuses this one if there is
// no memory for it. The refusal is written to refuseOn, unless that is nil.
func (c *Conn) charge(cost int64, refuseOn net.Conn) error {
	l := c.limiter
	l.mu.Lock()
	l.settle(c)
	if c.evicted {
		l.mu.Unlock()
		return readError(errEvicted)
	}
	if c.element == nil || c.awaitsBody() {
		if cost > 0 {
			c.unread = cost
		}
		l.mu.Unlock()
		return nil
	}
	cost += c.unread
	c.unread = 0
	if cost == 0 {
		l.mu.Unlock()
		return nil
	}
	if !c.begun {
		c.begun = true
		l.stopWaiting(c)
		l.wait(c, incomplete)
	}
	l.add(c, cost)
	victims, refused := l.makeRoom(c)
	l.mu.Unlock()
	for _, victim := range victims {
		_ = victim.Conn.Close()
	}
	if !refused {
		var err error
		if refused, err = c.awaitHeap(cost); err != nil {
			return err
		}
	}
	if refused {
		if refuseOn != nil && !c.hijacked {
			_ = refuseOn.SetWriteDeadline(time.Now().Add(refusalTimeout))
			_, _ = refuseOn.Write(l.opts.Refusal)
		}
		c.mute()
		return readError(errRefused)
	}
	return nil
}

// awaitHeap waits for memory on the heap for a part of a large head. It removes the connection and
// reports that the head is refused if there is none, and fails if the connection is closed before.
func (c *Conn) awaitHeap(cost int64) (refused bool, err error) {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.evicted {
		return false, readError(errEvicted)
	}
	if l.opts.Heap == nil || c.size() == small {
		return false, nil
	}
	gone := make(chan struct{})
	c.gone = gone
	l.mu.Unlock()
	granted := l.opts.Heap.Take(cost, gone)
	l.mu.Lock()
	if granted {
		c.granted = cost
	}
	if c.gone == nil {
		return false, readError(errEvicted)
	}
	c.gone = nil
	if !granted {
		l.refuse(c)
	}
	return !granted, nil
}

func (c *Conn) size() size {
	if c.cost > smallHeadBytes {
		return large
	}
	return small
}

// readError returns an error after which an http.Server closes the connection without a response
// of its own.
func readError(err error) error { return &net.OpError{Op: "read", Net: "tcp", Err: err} }
