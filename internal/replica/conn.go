package replica

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/readlimit"
)

const (
	readBufferBytes = 4 << 10
	// keepAliveMargin is subtracted from the keep-alive time of a replica, so that
	// a connection is not reused just as the replica closes it.
	keepAliveMargin = time.Second
	// defaultIdleTimeout is how long an idle connection is kept when the replica
	// sends no keep-alive time.
	defaultIdleTimeout = 8 * time.Second
)

// conn is one connection to a replica. It carries one request at a time.
type conn struct {
	net.Conn
	// header limits the bytes that reader reads while it reads a header.
	header *readlimit.Header
	reader *bufio.Reader
	// reused is set when the connection has carried an earlier request.
	reused bool
	// reusableUntil is when the connection must no longer be reused. The zero time
	// means that it must not be reused at all.
	reusableUntil time.Time
}

func newConn(c net.Conn) *conn {
	header := &readlimit.Header{R: c}
	return &conn{Conn: c, header: header, reader: bufio.NewReaderSize(header, readBufferBytes)}
}

// reuseDeadline returns the time until which an idle connection may be reused. A
// keepAlive of 0 means that the replica sent none.
func reuseDeadline(now time.Time, keepAlive time.Duration) time.Time {
	if keepAlive == 0 {
		return now.Add(defaultIdleTimeout)
	}
	return now.Add(max(keepAlive-keepAliveMargin, keepAlive/2))
}

// noPendingInput reports whether an idle connection has neither been closed by the
// replica nor received bytes that belong to no request.
func (c *conn) noPendingInput() bool { return c.reader.Buffered() == 0 && c.peek() == inputNone }

// closedByPeer reports whether the replica has closed the connection and everything that it
// sent before has been read. It may be called while the connection is read.
func (c *conn) closedByPeer() bool { return c.peek() == inputEnd }

// input is what a connection has received that has not been read.
type input int

const (
	inputNone input = iota
	inputBytes
	inputEnd
)

// peek returns what the operating system has received on the connection. A connection of
// another network has inputNone.
func (c *conn) peek() input {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return inputNone
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return inputEnd
	}
	found := inputEnd
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			found = inputNone
		case err == nil && n > 0:
			found = inputBytes
		}
	})
	if err != nil {
		return inputEnd
	}
	return found
}
