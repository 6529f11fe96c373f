// Package replica speaks HTTP/1.1 to backend servers. It knows of each request
// whether it may have run, and never repeats one by itself.
package replica

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	dialTimeout = time.Second
	// maxStrayAnswers bounds the answers to other requests that are skipped
	// while the answer to a request is awaited.
	maxStrayAnswers  = 2
	maxIdlePerServer = 32
	// settleTime is how long after its answer a request may still be written.
	settleTime = 10 * time.Millisecond
)

// Errors that a request can end with.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = eris.New("not sent")
	// ErrNoAnswer means that the request may have run and no answer came.
	ErrNoAnswer = eris.New("no answer")
	// ErrBroken means that bytes came that are no answer to the request.
	ErrBroken = eris.New("broken answer")
	// ErrCut means that the body of an answer ended early.
	ErrCut = eris.New("answer cut off")
)

// Request is sent as it stands.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// Attempt is the request's ID; an answer that names another one is not its.
	Attempt string
}

// Answer is the beginning of an answer. Its body must be read to the end or
// closed by Close.
type Answer struct {
	// Status and Header are as the replica sent them.
	Status int
	Header http.Header
	// Says is what the headers mean.
	Says platform.ResponseHeaders
	// Length is the length of the body in bytes, or -1.
	Length int64

	body     io.ReadCloser
	exchange *exchange
}

// exchange is one request on one connection.
type exchange struct {
	pool *Pool
	key  string
	conn *conn
	stop func() bool // ends the link to the caller's context
	sent chan error  // gets the result of writing the request

	mu   sync.Mutex
	done bool
}

// Pool keeps idle connections to backend servers. It is safe for concurrent
// use.
type Pool struct {
	network network.Network

	mu     sync.Mutex
	idle   map[string][]*conn // newest last
	opened int64
}

// New returns an empty pool.
func New(n network.Network) *Pool { return &Pool{network: n, idle: map[string][]*conn{}} }

// Opened returns how many connections were opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Drop closes the idle connections of an address, which another replica may
// have now.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Sweep closes the connections that must not be used any more.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			old = append(old, c)
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

func (p *Pool) take(address string, now time.Time) *conn {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Before(c.expires) && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerServer {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

func (p *Pool) connect(ctx context.Context, address string) (*conn, error) {
	if c := p.take(address, time.Now()); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(c), nil
}

// Send sends a request to an address and returns the beginning of its answer.
// The error wraps one of the errors of this package. The end of ctx closes the
// connection, also while the body is read.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Answer, error) {
	c, err := p.connect(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "connect to %s: %v", address, err)
	}
	x := &exchange{pool: p, key: address, conn: c, sent: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	go func() {
		_, err := c.Write(r.bytes())
		x.sent <- err
	}()
	a, err := x.receive(r)
	if err != nil {
		x.close()
		return nil, err
	}
	return a, nil
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

// receive reads answers until one is not marked as another request's.
func (x *exchange) receive(r *Request) (*Answer, error) {
	stray := false
	for range maxStrayAnswers + 1 {
		resp, err := x.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		says := platform.DecodeResponseHeaders(resp)
		if says.Attempt == "" || r.Attempt == "" || says.Attempt == r.Attempt {
			// After an answer that nobody asked for, more may follow.
			resp.Close = resp.Close || stray
			return &Answer{
				Status: resp.StatusCode, Header: resp.Header, Says: says,
				Length: resp.ContentLength, body: resp.Body, exchange: x.closing(resp),
			}, nil
		}
		stray = true
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, eris.Wrapf(ErrNoAnswer, "answer of another request: %v", err)
		}
	}
	return nil, eris.Wrap(ErrBroken, "answers of other requests only")
}

// closing notes whether the connection ends with the answer.
func (x *exchange) closing(resp *http.Response) *exchange {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		x.conn.expires = time.Time{}
		return x
	}
	x.conn.expires = idleUntil(time.Now(), platform.DecodeResponseHeaders(resp).KeepAlive)
	return x
}

func (x *exchange) readHead(method string) (*http.Response, error) {
	for {
		if _, err := x.conn.reader.Peek(1); err != nil {
			return nil, eris.Wrapf(ErrNoAnswer, "read: %v", err)
		}
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, eris.Wrapf(ErrBroken, "read head: %v", err)
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.Wrap(ErrBroken, "switches protocols")
		}
	}
}

// Read reads the body. It returns io.EOF only after the whole of it.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err == io.EOF {
		a.exchange.finish()
		return n, err
	}
	if err != nil {
		return n, eris.Wrapf(ErrCut, "read body: %v", err)
	}
	return n, nil
}

// Close ends the exchange. It closes the connection unless the whole body was
// read.
func (a *Answer) Close() { a.exchange.close() }

// finish gives the connection back when it may carry another request.
func (x *exchange) finish() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.done {
		return
	}
	x.done = true
	if !x.stop() || !time.Now().Before(x.conn.expires) || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	select {
	case err := <-x.sent:
		x.keep(err)
	default:
		go x.settle()
	}
}

// settle waits for the end of the writing of a request whose answer is whole
// already. One that is still being written then leaves the rest of its body due
// on the connection.
func (x *exchange) settle() {
	t := time.NewTimer(settleTime)
	defer t.Stop()
	select {
	case err := <-x.sent:
		x.keep(err)
	case <-t.C:
		_ = x.conn.Close()
	}
}

// keep gives the connection back unless writing the request failed.
func (x *exchange) keep(err error) {
	if err != nil {
		_ = x.conn.Close()
		return
	}
	x.pool.put(x.key, x.conn)
}

func (x *exchange) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.done {
		return
	}
	x.done = true
	x.stop()
	_ = x.conn.Close()
}
