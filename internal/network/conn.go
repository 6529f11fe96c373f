package network

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// conn is a connection opened by TCP. Its Read returns io.EOF only at the end that the peer gave the
// connection.
//
// The kernel reports the loss of a connection, such as a reset, to one call only. After a Write or a
// Peek has received the error, a read from the kernel returns no bytes and no error, as at a proper
// end. Read then returns the error of the other call.
type conn struct {
	net.Conn

	mu sync.Mutex
	// pending is the number of calls of Write and Peek that have not returned.
	pending int
	// lost is the error with which the first of these calls failed; nil if none has.
	lost error
	// returned is signalled when one of these calls returns. Its lock is mu.
	returned sync.Cond
}

func newConn(c net.Conn) *conn {
	tracked := &conn{Conn: c}
	tracked.returned.L = &tracked.mu
	return tracked
}

// begin counts a call that may receive the error of the connection, until end is called with its result.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending++
}

func (c *conn) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.lost == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.lost = err
	}
	c.returned.Broadcast()
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	c.begin()
	n, err := c.Conn.Write(b)
	c.end(err)
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
	for c.pending > 0 && c.lost == nil {
		c.returned.Wait()
	}
	if c.lost != nil {
		return n, c.lost
	}
	return n, err
}

// Input is what a connection has received that has not been read.
type Input int

// Kinds of input.
const (
	InputNone Input = iota
	InputBytes
	// InputEnd means that the peer has ended or reset the connection and all bytes before that have been
	// read.
	InputEnd
)

// Peek returns what the operating system has received on a connection that TCP opened. It may be called
// while the connection is read. A connection of another network has InputNone.
func Peek(c net.Conn) Input {
	tracked, ok := c.(*conn)
	if !ok {
		return InputNone
	}
	return tracked.peek()
}

func (c *conn) peek() Input {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return InputNone
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return InputEnd
	}
	var n int
	var peekErr error
	c.begin()
	closedErr := raw.Control(func(fd uintptr) { n, peekErr = peekByte(int(fd)) })
	if errors.Is(peekErr, syscall.EAGAIN) {
		c.end(nil)
		return InputNone
	}
	c.end(peekErr)
	if closedErr != nil || peekErr != nil || n == 0 {
		return InputEnd
	}
	return InputBytes
}

// peekByte returns the number of bytes that a read of one byte would return at once.
func peekByte(fd int) (int, error) {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
