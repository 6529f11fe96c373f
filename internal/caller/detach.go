package caller

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// detachedWriteTimeout limits one write to a caller that does not read.
const detachedWriteTimeout = 30 * time.Second

// detachedWriter writes a chunked response to a connection that was hijacked
// from the HTTP server. The server has then released its goroutine and buffers,
// which reduces the memory per open stream.
type detachedWriter struct {
	conn         net.Conn
	headers      http.Header
	buf          []byte
	headerQueued bool
	cancel       context.CancelFunc // called when the connection fails or is closed
}

func (d *detachedWriter) Header() http.Header { return d.headers }

// WriteHeader buffers the status line and the header.
func (d *detachedWriter) WriteHeader(status int) {
	if d.headerQueued {
		return
	}
	d.headerQueued = true
	d.headers.Set("Transfer-Encoding", "chunked")
	d.headers.Set("Connection", "close")
	d.headers.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	_ = d.headers.Write(&b)
	b.WriteString("\r\n")
	d.buf = append(d.buf, b.Bytes()...)
	d.headers = nil
}

// Write buffers p as one chunk.
func (d *detachedWriter) Write(p []byte) (int, error) {
	d.WriteHeader(http.StatusOK)
	if len(p) == 0 {
		return 0, nil
	}
	d.buf = strconv.AppendInt(d.buf, int64(len(p)), 16)
	d.buf = append(d.buf, "\r\n"...)
	d.buf = append(d.buf, p...)
	d.buf = append(d.buf, "\r\n"...)
	return len(p), nil
}

// Flush sends the buffered data.
func (d *detachedWriter) Flush() {
	_ = d.conn.SetWriteDeadline(time.Now().Add(detachedWriteTimeout))
	if _, err := d.conn.Write(d.buf); err != nil {
		d.cancel()
	}
	d.buf = d.buf[:0]
}

// end sends the last chunk and closes the connection.
func (d *detachedWriter) end() {
	d.buf = append(d.buf, "0\r\n\r\n"...)
	d.Flush()
	_ = d.conn.Close()
	d.cancel()
}

// connSet is a set of open connections that are closed when the VM stops.
type connSet struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (c *connSet) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[net.Conn]bool{}
	}
	c.conns[conn] = true
}

func (c *connSet) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

func (c *connSet) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		_ = conn.Close()
	}
}

// detach hijacks the connection of a streamed request from the HTTP server. It
// returns nil when hijacking is not possible, such as with a test recorder.
func (s *Server) detach(req *request) *detachedWriter {
	h, ok := req.w.(http.Hijacker)
	if !ok || req.started {
		return nil
	}
	header := req.w.Header().Clone()
	conn, _, err := h.Hijack()
	if err != nil {
		return nil
	}
	_ = conn.SetDeadline(time.Time{})
	s.detachedConns.add(conn)
	ctx, cancel := context.WithCancel(context.Background())
	d := &detachedWriter{conn: conn, headers: header, cancel: cancel}
	req.w = d
	req.r = (&http.Request{}).WithContext(ctx)
	return d
}

// Close closes every detached connection without completing its response, as a
// crash would.
func (s *Server) Close() { s.detachedConns.closeAll() }
