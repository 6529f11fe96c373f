package network

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// conn is a connection opened by TCP. Its Read returns io.EOF only at the end that the peer gave the
// connection.
//
// The kernel reports the loss of a connection, such as a reset, to one call only. After a Write has
// received the error, a read from the kernel returns no bytes and no error, as at a proper end. Read
// then returns the error of the Write.
type conn struct {
	net.Conn

	mu sync.Mutex
	// writing is the number of calls of Write that have not returned.
	writing int
	// lost is the error with which a Write failed; nil if none has failed.
	lost error
	// returned is signalled when a Write returns. Its lock is mu.
	returned sync.Cond
}

func newConn(c net.Conn) *conn {
	tracked := &conn{Conn: c}
	tracked.returned.L = &tracked.mu
	return tracked
}

// SyscallConn returns the raw connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.New("connection without a descriptor")
	}
	return raw.SyscallConn()
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if c.lost == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.lost = err
	}
	c.returned.Broadcast()
	return n, err
}

// Read reads from the connection. At its end it waits for the Write in progress, whose error may be
// that of the connection. Close ends the wait.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing > 0 && c.lost == nil {
		c.returned.Wait()
	}
	if c.lost != nil {
		return n, c.lost
	}
	return n, err
}
