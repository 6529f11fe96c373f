package soak

import (
	"net"
	"slices"
	"sync"
	"time"
)

// linkDelays are the one-way delays of connections to backend servers, of which one is drawn for
// each server: within a data centre and between regions.
var linkDelays = []time.Duration{0, 30 * time.Millisecond}

// link is the state of the connections to one backend server that the faults of the network
// change. It is safe for concurrent use.
type link struct {
	mu sync.Mutex
	// receivesAt and sendsAt are when bytes pass again in each direction.
	receivesAt, sendsAt time.Time
	// conns are the open connections.
	conns map[*linkConn]bool
}

func newLink() *link { return &link{conns: map[*linkConn]bool{}} }

// hold lets no bytes pass until a point in time: those that callers send, those that the server
// sends, or both. They are passed on after that.
func (l *link) hold(receiving, sending bool, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if receiving {
		l.receivesAt = until
	}
	if sending {
		l.sendsAt = until
	}
}

// silence makes the open connections pass no bytes any more. They are not closed.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		closeOnce(c.silent)
	}
}

func (l *link) passesAt(receiving bool) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if receiving {
		return l.receivesAt
	}
	return l.sendsAt
}

func closeOnce(ch chan struct{}) {
	select {
	case <-ch:
	default:
		close(ch)
	}
}

// maxQueuedWrites bounds the writes on a connection that are delayed.
const maxQueuedWrites = 1024

// linkConn is the server's end of a connection with a delay in both directions.
type linkConn struct {
	net.Conn
	link   *link
	delay  time.Duration
	writes chan delayedWrite
	// silent is closed when the connection passes no bytes any more, and closed when the server
	// has closed it.
	silent, closed chan struct{}
	closeOnce      sync.Once
}

// delayedWrite is a write that is carried out at a point in time.
type delayedWrite struct {
	at   time.Time
	data []byte
}

func (l *link) newConn(conn net.Conn, delay time.Duration) *linkConn {
	c := &linkConn{
		Conn: conn, link: l, delay: delay, writes: make(chan delayedWrite, maxQueuedWrites),
		silent: make(chan struct{}), closed: make(chan struct{}),
	}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	go c.deliver()
	return c
}

// deliver carries out the delayed writes until the connection is closed, and those that are queued
// then.
func (c *linkConn) deliver() {
	for {
		select {
		case write := <-c.writes:
			c.deliverOne(write)
		case <-c.closed:
			for len(c.writes) > 0 {
				c.deliverOne(<-c.writes)
			}
			if c.await(time.Now().Add(c.delay), false) {
				_ = c.Conn.Close()
			}
			// Else the other end is not told.
			return
		}
	}
}

func (c *linkConn) deliverOne(write delayedWrite) {
	if c.await(write.at, false) {
		_, _ = c.Conn.Write(write.data)
	}
}

// await waits until bytes may pass in a direction, and at the earliest until a point in time. It
// reports false if none pass any more.
func (c *linkConn) await(at time.Time, receiving bool) bool {
	for {
		if passes := c.link.passesAt(receiving); passes.After(at) {
			at = passes
		}
		timer := time.NewTimer(time.Until(at))
		select {
		case <-c.silent:
			timer.Stop()
			return false
		case <-timer.C:
		}
		if c.isSilent() {
			return false
		}
		if !c.link.passesAt(receiving).After(time.Now()) {
			return true
		}
	}
}

func (c *linkConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read returns bytes that the caller sent after the delay of the connection.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.await(time.Now().Add(c.delay), true) {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write queues bytes for the caller.
func (c *linkConn) Write(b []byte) (int, error) {
	write := delayedWrite{at: time.Now().Add(c.delay), data: slices.Clone(b)}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case c.writes <- write:
		return len(b), nil
	}
}

// Close closes the connection after the bytes that are queued.
func (c *linkConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.link.mu.Lock()
		delete(c.link.conns, c)
		c.link.mu.Unlock()
	})
	return nil
}
