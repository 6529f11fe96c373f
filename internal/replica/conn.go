package replica

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const (
	readBufferBytes = 4 << 10
	// keepAliveMargin keeps clear of the moment at which a replica closes an
	// idle connection.
	keepAliveMargin = time.Second
	// defaultIdleTimeout is how long an idle connection is kept when the replica does
	// not say how long it keeps it.
	defaultIdleTimeout = 8 * time.Second
)

// conn is one connection to a replica. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// reusableUntil is the moment after which it must not carry another request.
	reusableUntil time.Time
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes)}
}

// reuseDeadline returns when an idle connection must not be used any more.
func reuseDeadline(now time.Time, keepAlive time.Duration) time.Time {
	if keepAlive == 0 {
		return now.Add(defaultIdleTimeout)
	}
	return now.Add(max(keepAlive-keepAliveMargin, keepAlive/2))
}

// noPendingInput reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *conn) noPendingInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
