// Package pipenet is a network in memory with hosts, delays, cuts and crashes,
// so that real servers and clients run on virtual time in tests.
package pipenet

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/network"
)

const (
	// windowChunks bounds the data under way in one direction of a connection.
	windowChunks = 64
	chunkBytes   = 16 << 10
)

var errRefused = eris.New("connection refused")

// Fabric connects hosts. It is safe for concurrent use.
type Fabric struct {
	// Delay is the time that data takes from one host to another. It is set
	// before the first connection; nil means none.
	Delay func(from, to string) time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	pairs     map[*pair]bool
	cuts      map[[2]string]bool
	changed   chan struct{} // closed and replaced when cuts change
	ports     int
}

// New returns a fabric without hosts.
func New() *Fabric {
	return &Fabric{
		listeners: map[string]*listener{}, pairs: map[*pair]bool{},
		cuts: map[[2]string]bool{}, changed: make(chan struct{}),
	}
}

const firstPort = 10_000

// Address returns a fresh address on a host, an IP number.
func (f *Fabric) Address(host string) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ports++
	return fmt.Sprintf("%s:%d", host, firstPort+f.ports), nil
}

// Host returns the network as a host sees it.
func (f *Fabric) Host(host string) network.Network { return hostNetwork{f: f, host: host} }

// Cut stops data from one host to another, in this direction only, without
// closing connections. Heal lets it pass again.
func (f *Fabric) Cut(from, to string) { f.setCut(from, to, true) }

// Heal ends a cut.
func (f *Fabric) Heal(from, to string) { f.setCut(from, to, false) }

// HealAll ends every cut.
func (f *Fabric) HealAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts = map[[2]string]bool{}
	f.notify()
}

func (f *Fabric) setCut(from, to string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cut {
		f.cuts[[2]string{from, to}] = true
	} else {
		delete(f.cuts, [2]string{from, to})
	}
	f.notify()
}

func (f *Fabric) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Crash closes every listener and connection of a host.
func (f *Fabric) Crash(host string) {
	f.abortWhere(func(p *pair) bool { return p.hosts[0] == host || p.hosts[1] == host })
	f.mu.Lock()
	var gone []*listener
	for addr, l := range f.listeners {
		if hostOf(addr) == host {
			gone = append(gone, l)
		}
	}
	f.mu.Unlock()
	for _, l := range gone {
		_ = l.Close()
	}
}

// Stick stops the present connections between two hosts for good, without
// closing them. New connections work.
func (f *Fabric) Stick(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pairs {
		if p.between(a, b) {
			p.stuck.Store(true)
		}
	}
}

// Reset closes the connections between two hosts, as a broken link would.
func (f *Fabric) Reset(a, b string) {
	f.abortWhere(func(p *pair) bool { return p.between(a, b) })
}

func (f *Fabric) abortWhere(match func(*pair) bool) {
	f.mu.Lock()
	var found []*pair
	for p := range f.pairs {
		if match(p) {
			found = append(found, p)
		}
	}
	f.mu.Unlock()
	for _, p := range found {
		p.abort()
	}
}

// await blocks while the direction is cut; false when done closes first.
func (f *Fabric) await(from, to string, done <-chan struct{}) bool {
	for {
		f.mu.Lock()
		cut, changed := f.cuts[[2]string{from, to}], f.changed
		f.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

type hostNetwork struct {
	f    *Fabric
	host string
}

func (h hostNetwork) Listen(addr string) (net.Listener, error) {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	if h.f.listeners[addr] != nil {
		return nil, eris.New("address in use: " + addr)
	}
	l := &listener{f: h.f, addr: addr, accepted: make(chan net.Conn), closed: make(chan struct{})}
	h.f.listeners[addr] = l
	return l, nil
}

func (h hostNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	to := hostOf(addr)
	if !h.f.await(h.host, to, ctx.Done()) || !h.f.await(to, h.host, ctx.Done()) {
		return nil, ctx.Err()
	}
	h.f.mu.Lock()
	l := h.f.listeners[addr]
	h.f.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	near, far := h.f.connect(h.host, to)
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = near.Close()
	return nil, errRefused
}

type listener struct {
	f        *Fabric
	addr     string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.f.mu.Lock()
		defer l.f.mu.Unlock()
		if l.f.listeners[l.addr] == l {
			delete(l.f.listeners, l.addr)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }

// pair is a connection between two hosts.
type pair struct {
	hosts [2]string
	// ends are the four ends of the two pipes: the applications' and the pumps'.
	ends    [4]net.Conn
	aborted chan struct{}
	once    sync.Once
	stuck   atomic.Bool
	pumps   sync.WaitGroup
}

// abort breaks the connection; data under way is lost.
func (p *pair) abort() {
	p.once.Do(func() {
		close(p.aborted)
		for _, e := range p.ends {
			_ = e.Close()
		}
	})
}

func (p *pair) between(a, b string) bool {
	return p.hosts == [2]string{a, b} || p.hosts == [2]string{b, a}
}

// conn is one application's end of a connection. Closing it lets data that was
// written before arrive.
type conn struct {
	net.Conn
	local, remote string
}

func (c *conn) LocalAddr() net.Addr  { return address(c.local + ":0") }
func (c *conn) RemoteAddr() net.Addr { return address(c.remote + ":0") }

// connect makes a connection with a pump for each direction.
func (f *Fabric) connect(a, b string) (near, far *conn) {
	nearApp, nearWire := net.Pipe()
	farApp, farWire := net.Pipe()
	p := &pair{hosts: [2]string{a, b}, ends: [4]net.Conn{nearApp, nearWire, farApp, farWire}, aborted: make(chan struct{})}
	f.mu.Lock()
	f.pairs[p] = true
	f.mu.Unlock()
	p.pumps.Add(2)
	go f.pump(p, a, b, nearWire, farWire)
	go f.pump(p, b, a, farWire, nearWire)
	go func() {
		p.pumps.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.pairs, p)
	}()
	return &conn{Conn: nearApp, local: a, remote: b}, &conn{Conn: farApp, local: b, remote: a}
}

type chunk struct {
	data []byte
	due  time.Time
}

func sleepUntil(t time.Time, done <-chan struct{}) bool {
	d := time.Until(t)
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}

// pump carries data in one direction until its writer has closed and all has
// arrived, its reader has closed, or the connection is aborted.
func (f *Fabric) pump(p *pair, from, to string, src, dst net.Conn) {
	defer p.pumps.Done()
	queue := make(chan chunk, windowChunks)
	gone := make(chan struct{})
	go f.read(p, from, to, src, queue, gone)
	defer close(gone)
	defer func() { _ = dst.Close() }()
	for c := range queue {
		if !sleepUntil(c.due, p.aborted) || !f.await(from, to, p.aborted) {
			return
		}
		if p.stuck.Load() {
			<-p.aborted
			return
		}
		if _, err := dst.Write(c.data); err != nil {
			return
		}
	}
}

// read takes data from a writer into the queue.
func (f *Fabric) read(p *pair, from, to string, src net.Conn, queue chan<- chunk, gone <-chan struct{}) {
	defer close(queue)
	var delay time.Duration
	if f.Delay != nil {
		delay = f.Delay(from, to)
	}
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		if n > 0 {
			select {
			case queue <- chunk{data: buf[:n], due: time.Now().Add(delay)}:
			case <-gone:
				return
			case <-p.aborted:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Close breaks every connection and closes every listener.
func (f *Fabric) Close() {
	f.abortWhere(func(*pair) bool { return true })
	f.mu.Lock()
	listeners := slices.Collect(maps.Values(f.listeners))
	f.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
}
