// Package replica is an HTTP/1.1 client for backend servers. Its errors say
// whether a request may have run, and it never retries a request by itself.
package replica

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/responsehead"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	dialTimeout = time.Second
	// maxSkippedResponses limits the responses to other requests that are skipped
	// while waiting for the response to a request.
	maxSkippedResponses = 2
	// maxSkippedBytes limits the body of a skipped response.
	maxSkippedBytes = 64 << 10
	// maxHeaderBytes limits the header of a response, together with the interim responses
	// before it.
	maxHeaderBytes   = 64 << 10
	maxIdlePerServer = 32
	// maxStatus is the largest status of a response.
	maxStatus = 599
	// writeEndTimeout bounds the wait until a request has been written whose response
	// is already complete.
	writeEndTimeout = 10 * time.Millisecond
)

// Errors of a request. Their texts appear in logged reasons.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = eris.New("not sent")
	// ErrRefused is an ErrNotSent: nothing listens at the address.
	ErrRefused = fmt.Errorf("%w: connection refused", ErrNotSent)
	// ErrNoResponse means that no response came. The request may have run.
	ErrNoResponse = eris.New("no answer")
	// ErrMalformed means that the received bytes are not a response to the request.
	ErrMalformed = eris.New("broken answer")
	// ErrTruncated means that the body of a response ended early.
	ErrTruncated = eris.New("answer cut off")
)

// Request is a complete request. Send adds only the Host and Content-Length headers.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// AttemptID identifies the request. Responses that carry another ID are skipped.
	AttemptID string
	// OwnConnection is set for a request whose response names nothing by which a late copy
	// of another response could be told from it. No other request uses its connection.
	OwnConnection bool
	// Control is set for a call to the control interface. Its connection does not count as in use, as
	// another process at the address may answer it.
	Control bool
}

// Response is the header of a response and a reader of its body. The caller must read
// the body to the end or call Close.
type Response struct {
	// Status and Header are as the replica sent them.
	Status int
	Header http.Header
	// Parsed holds the values of the platform's headers.
	Parsed platform.ResponseHeaders
	// ContentLength is the length of the body in bytes, or -1.
	ContentLength int64
	// EndsWithConnection is set when the body has neither a length nor chunks: the end of
	// the connection is its end.
	EndsWithConnection bool

	body     io.ReadCloser
	exchange *exchange
}

// exchange is one request on a connection and its response.
type exchange struct {
	pool          *Pool
	server        backend.Instance
	conn          *conn
	detachContext func() bool // stops the end of the caller's context from closing conn
	writeResult   chan error  // receives the result of writing the request
	// keep takes the connection back for a later request, and discard closes it.
	keep    func()
	discard func()

	mu   sync.Mutex
	done bool
}

// Pool is a connection pool for backend servers. It is safe for concurrent use.
//
// A connection belongs to the instance for which it was opened: another instance may take over
// its address while earlier connections lead to its predecessor.
type Pool struct {
	network network.Network

	mu   sync.Mutex
	idle map[backend.Instance][]*conn // most recently used last
	// inUse holds the connections that carry a request, and usedUntil when one was last open.
	inUse     map[backend.Instance]map[*conn]bool
	usedUntil map[backend.Instance]time.Time
	opened    int64
}

// New returns a pool that dials on the network n.
func New(n network.Network) *Pool {
	return &Pool{network: n, idle: map[backend.Instance][]*conn{}, inUse: map[backend.Instance]map[*conn]bool{}, usedUntil: map[backend.Instance]time.Time{}}
}

// ConnectionsOpened returns the number of connections opened so far.
func (p *Pool) ConnectionsOpened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// OpenInUse returns the number of connections to an instance that carry a request of Send and
// that the replica has not closed. Requests on reserved connections do not count: another process
// may be about to answer them.
func (p *Pool) OpenInUse(server backend.Instance) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := 0
	for c := range p.inUse[server] {
		if !c.closedByPeer() {
			open++
		}
	}
	return open
}

// InUseUntil returns when a connection to an instance that carried a request of Send was last open,
// or the zero time if that is not known.
func (p *Pool) InUseUntil(server backend.Instance) time.Time {
	if p.OpenInUse(server) > 0 {
		return time.Now()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usedUntil[server]
}

func (p *Pool) setInUse(server backend.Instance, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse[server] == nil {
		p.inUse[server] = map[*conn]bool{}
	}
	p.inUse[server][c] = true
}

func (p *Pool) endUse(server backend.Instance, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.inUse[server][c] {
		return
	}
	p.usedUntil[server] = time.Now()
	delete(p.inUse[server], c)
	if len(p.inUse[server]) == 0 {
		delete(p.inUse, server)
	}
}

// CloseIdle closes the idle connections to an instance.
func (p *Pool) CloseIdle(server backend.Instance) {
	p.mu.Lock()
	list := p.idle[server]
	delete(p.idle, server)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// usedUntilRetention is how long the end of the last use of connections to an instance is kept.
const usedUntilRetention = time.Minute

// CloseExpired closes the idle connections that must not be reused.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	maps.DeleteFunc(p.usedUntil, func(_ backend.Instance, at time.Time) bool { return now.Sub(at) > usedUntilRetention })
	var expired []*conn
	for server, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.reusableUntil) {
				kept = append(kept, c)
				continue
			}
			expired = append(expired, c)
		}
		if len(kept) == 0 {
			delete(p.idle, server)
			continue
		}
		p.idle[server] = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

func (p *Pool) takeIdle(server backend.Instance, now time.Time) *conn {
	for {
		p.mu.Lock()
		list := p.idle[server]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[server] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Before(c.reusableUntil) && c.noPendingInput() {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) putIdle(server backend.Instance, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[server]) >= maxIdlePerServer {
		_ = c.Close()
		return
	}
	p.idle[server] = append(p.idle[server], c)
}

// Check reports, by its error, whether connections to an instance can be opened. The new
// connection is kept for a later request.
func (p *Pool) Check(ctx context.Context, server backend.Instance) error {
	c, err := p.dial(ctx, server)
	if err != nil {
		return notSent(server, err)
	}
	c.reusableUntil = reuseDeadline(time.Now(), 0)
	p.putIdle(server, c)
	return nil
}

// notSent returns the error of a request to a server that could not be connected to.
func notSent(server backend.Instance, err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return eris.Wrapf(ErrRefused, "connect to %s", server.Address)
	}
	return eris.Wrapf(ErrNotSent, "connect to %s: %v", server.Address, err)
}

func (p *Pool) connect(ctx context.Context, server backend.Instance) (*conn, error) {
	if c := p.takeIdle(server, time.Now()); c != nil {
		c.reused = true
		return c, nil
	}
	return p.dial(ctx, server)
}

func (p *Pool) dial(ctx context.Context, server backend.Instance) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.network.Dial(ctx, server.Address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(c), nil
}

// Send sends a request to an instance and returns its response once the header has
// been read. The error wraps one of the errors of this package. The end of ctx closes
// the connection, also while the body is read.
func (p *Pool) Send(ctx context.Context, server backend.Instance, req *Request) (*Response, error) {
	connect := p.connect
	if req.OwnConnection {
		connect = p.dial
	}
	c, err := connect(ctx, server)
	if err != nil {
		return nil, notSent(server, err)
	}
	x := &exchange{pool: p, server: server, conn: c}
	x.keep, x.discard = func() { p.putIdle(server, c) }, func() { _ = c.Close() }
	if !req.Control {
		p.setInUse(server, c)
	}
	x.begin(ctx, req)
	resp, err := x.readResponse(req)
	if err != nil {
		x.close()
		return nil, err
	}
	return resp, nil
}

// begin sends the request in the background.
func (x *exchange) begin(ctx context.Context, req *Request) {
	x.writeResult = make(chan error, 1)
	x.detachContext = context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	go func() {
		_, err := x.conn.Write(req.bytes())
		x.writeResult <- err
	}()
}

func (r *Request) bytes() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1024)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// readResponse returns the next response that does not carry the ID of another
// request.
func (x *exchange) readResponse(req *Request) (*Response, error) {
	skipped := false
	for range maxSkippedResponses + 1 {
		resp, err := x.readHeader(req.Method)
		if err != nil {
			return nil, err
		}
		parsed := platform.DecodeResponseHeaders(resp)
		if parsed.AttemptID == "" && req.AttemptID != "" && x.conn.reused {
			// It may be a late second copy of an earlier response.
			return nil, eris.Wrap(ErrMalformed, "response without an ID on a reused connection")
		}
		if parsed.AttemptID == "" || parsed.AttemptID == req.AttemptID {
			// After a skipped response more may follow, so the connection is not reused.
			resp.Close = resp.Close || skipped || req.OwnConnection
			return &Response{
				Status: resp.StatusCode, Header: resp.Header, Parsed: parsed,
				ContentLength: resp.ContentLength, EndsWithConnection: endsWithConnection(resp),
				body: resp.Body, exchange: x.setReuse(resp),
			}, nil
		}
		skipped = true
		switch n, err := io.CopyN(io.Discard, resp.Body, maxSkippedBytes); {
		case n == maxSkippedBytes:
			return nil, eris.Wrap(ErrMalformed, "long response to another request")
		case !errors.Is(err, io.EOF):
			return nil, eris.Wrapf(ErrNoResponse, "skip response to another request: %v", err)
		}
	}
	return nil, eris.Wrap(ErrMalformed, "received only responses to other requests")
}

// setReuse sets the time until which the connection may be reused after the response.
func (x *exchange) setReuse(resp *http.Response) *exchange {
	if resp.Close || endsWithConnection(resp) {
		x.conn.reusableUntil = time.Time{}
		return x
	}
	x.conn.reusableUntil = reuseDeadline(time.Now(), platform.DecodeResponseHeaders(resp).KeepAlive)
	return x
}

func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// readHeader reads the header of the next response that is not an interim one.
func (x *exchange) readHeader(method string) (*http.Response, error) {
	x.conn.header.Begin(maxHeaderBytes)
	defer x.conn.header.End()
	for {
		if _, err := x.conn.reader.Peek(1); err != nil {
			return nil, eris.Wrapf(ErrNoResponse, "read: %v", err)
		}
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, eris.Wrapf(ErrMalformed, "read header: %v", err)
		}
		if err := responsehead.Check(resp); err != nil {
			return nil, eris.Wrapf(ErrMalformed, "read header: %v", err)
		}
		switch {
		case resp.StatusCode >= http.StatusOK && resp.StatusCode <= maxStatus:
			return resp, nil
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, eris.Wrap(ErrMalformed, "replica switches protocols")
		case !isInterim(resp):
			return nil, eris.Wrapf(ErrMalformed, "status %s is none of a response", resp.Status)
		}
	}
}

// isInterim reports whether a final response follows. One with the stamp of a run or with a body
// is the replica's only one, whatever its status says.
func isInterim(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK &&
		!platform.DecodeResponseHeaders(resp).Stamped && resp.Header.Get("Content-Length") == "" && len(resp.TransferEncoding) == 0
}

// Read reads the body. It returns io.EOF only after the complete body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.exchange.release()
		return n, err
	}
	if errors.Is(err, responsehead.ErrFieldName) {
		return n, eris.Wrapf(ErrMalformed, "read trailer: %v", err)
	}
	if err != nil {
		return n, eris.Wrapf(ErrTruncated, "read body: %v", err)
	}
	return n, nil
}

// Close closes the connection unless the complete body has been read.
func (r *Response) Close() { r.exchange.close() }

// release keeps the connection if it may be reused and otherwise closes it.
func (x *exchange) release() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.done {
		return
	}
	x.done = true
	x.pool.endUse(x.server, x.conn)
	if !x.detachContext() || !time.Now().Before(x.conn.reusableUntil) || x.conn.reader.Buffered() > 0 {
		x.discard()
		return
	}
	select {
	case err := <-x.writeResult:
		x.keepUnless(err)
	default:
		go x.awaitWrite()
	}
}

// awaitWrite waits until the request has been written, as its response may be complete
// before that. If it is still being written at the timeout, the connection is closed:
// the rest of the body would be taken for the next request.
func (x *exchange) awaitWrite() {
	t := time.NewTimer(writeEndTimeout)
	defer t.Stop()
	select {
	case err := <-x.writeResult:
		x.keepUnless(err)
	case <-t.C:
		x.discard()
	}
}

// keepUnless keeps the connection unless writing the request failed.
func (x *exchange) keepUnless(err error) {
	if err != nil {
		x.discard()
		return
	}
	x.keep()
}

func (x *exchange) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.done {
		return
	}
	x.done = true
	x.pool.endUse(x.server, x.conn)
	x.detachContext()
	x.discard()
}
