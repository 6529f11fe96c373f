package replica

import (
	"bufio"
	"net"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/network"
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
func (c *conn) noPendingInput() bool {
	return c.reader.Buffered() == 0 && network.Peek(c.Conn) == network.InputNone
}

// closedByPeer reports whether the replica has closed the connection and everything that it
// sent before has been read. It may be called while the connection is read.
func (c *conn) closedByPeer() bool { return network.Peek(c.Conn) == network.InputEnd }
