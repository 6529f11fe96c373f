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

// writeTimeout bounds one write to a caller that does not read.
const writeTimeout = 30 * time.Second

// detached writes an answer on a connection that was taken from the HTTP
// server, in chunks. The server's goroutine and buffers are free by then, which
// is what keeps an open stream small.
type detached struct {
	conn   net.Conn
	header http.Header
	buf    []byte
	headed bool
	cancel context.CancelFunc // called when the caller is gone
}

func (d *detached) Header() http.Header { return d.header }

// WriteHeader queues the head of the answer.
func (d *detached) WriteHeader(status int) {
	if d.headed {
		return
	}
	d.headed = true
	d.header.Set("Transfer-Encoding", "chunked")
	d.header.Set("Connection", "close")
	d.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	_ = d.header.Write(&b)
	b.WriteString("\r\n")
	d.buf = append(d.buf, b.Bytes()...)
	d.header = nil
}

// Write queues one chunk.
func (d *detached) Write(p []byte) (int, error) {
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

// Flush sends what is queued.
func (d *detached) Flush() {
	_ = d.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := d.conn.Write(d.buf); err != nil {
		d.cancel()
	}
	d.buf = d.buf[:0]
}

// end completes the answer and closes the connection.
func (d *detached) end() {
	d.buf = append(d.buf, "0\r\n\r\n"...)
	d.Flush()
	_ = d.conn.Close()
	d.cancel()
}

// connections is the detached connections, to be closed when the VM ends.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]bool
}

func (c *connections) add(n net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[net.Conn]bool{}
	}
	c.open[n] = true
}

func (c *connections) remove(n net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, n)
}

func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := range c.open {
		_ = n.Close()
	}
}

// detach takes the connection of a streamed request from the HTTP server. It
// returns nil when that can't be done, as for a recorded test request.
func (s *Server) detach(c *call) *detached {
	h, ok := c.w.(http.Hijacker)
	if !ok || c.started {
		return nil
	}
	header := c.w.Header().Clone()
	conn, _, err := h.Hijack()
	if err != nil {
		return nil
	}
	_ = conn.SetDeadline(time.Time{})
	s.detached.add(conn)
	ctx, cancel := context.WithCancel(context.Background())
	d := &detached{conn: conn, header: header, cancel: cancel}
	c.w = d
	c.r = (&http.Request{}).WithContext(ctx)
	return d
}

// Close breaks every detached connection, as a crash would.
func (s *Server) Close() { s.detached.closeAll() }
