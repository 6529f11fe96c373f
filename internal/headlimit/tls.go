package headlimit

import (
	"crypto/tls"
	"net"
)

// handshakeByteFactor is the memory that is counted for each byte of a TLS handshake: it is kept as
// received, in a growing buffer of whole messages, and decoded.
const handshakeByteFactor = 4

// secureConn is a connection with TLS. During the handshake its limiter counts the bytes as they are
// received, after it the heads as they are decrypted.
type secureConn struct {
	*tls.Conn
	conn *Conn
}

// secure returns the connection with TLS.
func (c *Conn) secure(config *tls.Config) *secureConn {
	c.handshaking, c.encrypted = true, true
	return &secureConn{Conn: tls.Server(c, config), conn: c}
}

// Read performs the handshake, if that has not been done, and reads from the connection.
func (s *secureConn) Read(p []byte) (int, error) {
	// Only the goroutine that reads the heads uses handshaking.
	if s.conn.handshaking {
		if err := s.Handshake(); err != nil {
			return 0, err
		}
		s.conn.endHandshake()
	}
	return s.conn.readCounted(s.Conn, p, headCost, s.Conn)
}

// handshakeCost is the memory that a part of a handshake takes.
func handshakeCost(part []byte) int64 { return handshakeByteFactor * int64(len(part)) }

// endHandshake frees the memory of the handshake. A head has not begun yet.
func (c *Conn) endHandshake() {
	c.handshaking = false
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.release(c)
	// Its head is waited for as that of a new connection.
	if c.begun = false; c.element != nil {
		c.limiter.stopWaiting(c)
		c.limiter.wait(c, silent)
	}
}

// limitedConn returns the limited connection beneath one that a Limiter has accepted, or nil.
func limitedConn(conn net.Conn) *Conn {
	switch conn := conn.(type) {
	case *Conn:
		return conn
	case *secureConn:
		return conn.conn
	}
	return nil
}
