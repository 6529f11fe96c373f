// Package pipenet implements an in-memory network of hosts with injected delays,
// partitions, stalls, resets and crashes. Servers and clients run on it unchanged,
// also on virtual time in tests.
package pipenet

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/network"
)

const (
	// maxQueuedChunks bounds the data in transit in one direction of a connection.
	maxQueuedChunks = 64
	chunkBytes      = 16 << 10
)

var errRefused = fmt.Errorf("connect: %w", syscall.ECONNREFUSED)

// Fabric connects hosts. It is safe for concurrent use.
type Fabric struct {
	// Delay returns the latency from one host to another. It must be set before the
	// first connection; nil means none.
	Delay func(from, to string) time.Duration

	mu          sync.Mutex
	listeners   map[string]*listener
	connections map[*connState]bool
	cuts        map[[2]string]bool
	changed     chan struct{} // closed and replaced when cuts change
	ports       int
}

// New returns an empty fabric.
func New() *Fabric {
	return &Fabric{
		listeners: map[string]*listener{}, connections: map[*connState]bool{},
		cuts: map[[2]string]bool{}, changed: make(chan struct{}),
	}
}

const firstPort = 10_000

// Address returns an unused address on a host, which is an IP address.
func (f *Fabric) Address(host string) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ports++
	return fmt.Sprintf("%s:%d", host, firstPort+f.ports), nil
}

// Host returns the network from the point of view of a host.
func (f *Fabric) Host(host string) network.Network { return hostNetwork{fabric: f, host: host} }

// Cut holds back data from one host to another, in this direction only, without
// closing connections. Heal resumes it.
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
	f.abortWhere(func(state *connState) bool { return state.hosts[0] == host || state.hosts[1] == host })
	f.mu.Lock()
	var found []*listener
	for addr, l := range f.listeners {
		if hostOf(addr) == host {
			found = append(found, l)
		}
	}
	f.mu.Unlock()
	for _, l := range found {
		_ = l.Close()
	}
}

// Stall permanently stops the existing connections between two hosts without closing
// them. New connections are not affected.
func (f *Fabric) Stall(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for state := range f.connections {
		if state.connects(a, b) {
			state.stalled.Store(true)
		}
	}
}

// Reset aborts the connections between two hosts, as a link failure does.
func (f *Fabric) Reset(a, b string) {
	f.abortWhere(func(state *connState) bool { return state.connects(a, b) })
}

// abortWhere aborts all connections that match.
func (f *Fabric) abortWhere(match func(*connState) bool) {
	f.mu.Lock()
	var found []*connState
	for state := range f.connections {
		if match(state) {
			found = append(found, state)
		}
	}
	f.mu.Unlock()
	for _, state := range found {
		state.abort()
	}
}

// waitWhileCut blocks while the direction is cut. It reports false if done is closed
// first.
func (f *Fabric) waitWhileCut(from, to string, done <-chan struct{}) bool {
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
	fabric *Fabric
	host   string
}

func (h hostNetwork) Listen(addr string) (net.Listener, error) {
	h.fabric.mu.Lock()
	defer h.fabric.mu.Unlock()
	if h.fabric.listeners[addr] != nil {
		return nil, eris.New("address in use: " + addr)
	}
	l := &listener{fabric: h.fabric, addr: addr, accepted: make(chan net.Conn), closed: make(chan struct{})}
	h.fabric.listeners[addr] = l
	return l, nil
}

func (h hostNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	to := hostOf(addr)
	if !h.fabric.waitWhileCut(h.host, to, ctx.Done()) || !h.fabric.waitWhileCut(to, h.host, ctx.Done()) {
		return nil, ctx.Err()
	}
	h.fabric.mu.Lock()
	l := h.fabric.listeners[addr]
	h.fabric.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	near, far := h.fabric.connect(h.host, to)
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
	fabric   *Fabric
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
		l.fabric.mu.Lock()
		defer l.fabric.mu.Unlock()
		if l.fabric.listeners[l.addr] == l {
			delete(l.fabric.listeners, l.addr)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }

// connState is a connection between two hosts.
type connState struct {
	hosts [2]string
	// ends are the four ends of the two pipes: at each host, one for the application
	// and one for the forwarders.
	ends       [4]net.Conn
	aborted    chan struct{}
	once       sync.Once
	stalled    atomic.Bool
	forwarders sync.WaitGroup
}

// abort closes the connection; data in transit is lost.
func (s *connState) abort() {
	s.once.Do(func() {
		close(s.aborted)
		for _, e := range s.ends {
			_ = e.Close()
		}
	})
}

func (s *connState) connects(a, b string) bool {
	return s.hosts == [2]string{a, b} || s.hosts == [2]string{b, a}
}

// conn is the application's end of a connection. Data written before Close is still
// delivered.
type conn struct {
	net.Conn
	local, remote string
}

func (c *conn) LocalAddr() net.Addr  { return address(c.local + ":0") }
func (c *conn) RemoteAddr() net.Addr { return address(c.remote + ":0") }

// connect creates a connection between two hosts, with a forwarder for each
// direction, and returns the ends of the two applications.
func (f *Fabric) connect(from, to string) (near, far *conn) {
	nearApp, nearWire := net.Pipe()
	farApp, farWire := net.Pipe()
	state := &connState{hosts: [2]string{from, to}, ends: [4]net.Conn{nearApp, nearWire, farApp, farWire}, aborted: make(chan struct{})}
	f.mu.Lock()
	f.connections[state] = true
	f.mu.Unlock()
	state.forwarders.Add(2)
	go f.forward(state, from, to, nearWire, farWire)
	go f.forward(state, to, from, farWire, nearWire)
	go func() {
		state.forwarders.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.connections, state)
	}()
	return &conn{Conn: nearApp, local: from, remote: to}, &conn{Conn: farApp, local: to, remote: from}
}

type chunk struct {
	data      []byte
	deliverAt time.Time
}

// sleepUntil sleeps until t. It reports false if done is closed first.
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

// forward forwards data in one direction until the writer has closed and all data is
// delivered, the reader has closed, or the connection is aborted.
func (f *Fabric) forward(state *connState, from, to string, src, dst net.Conn) {
	defer state.forwarders.Done()
	queue := make(chan chunk, maxQueuedChunks)
	forwardDone := make(chan struct{})
	go f.readChunks(state, from, to, src, queue, forwardDone)
	defer close(forwardDone)
	defer func() { _ = dst.Close() }()
	for c := range queue {
		if !sleepUntil(c.deliverAt, state.aborted) || !f.waitWhileCut(from, to, state.aborted) {
			return
		}
		if state.stalled.Load() {
			<-state.aborted
			return
		}
		if _, err := dst.Write(c.data); err != nil {
			return
		}
	}
}

// readChunks reads data from src into the queue, with the time of its delivery, until
// src or the connection is closed or forwardDone is closed.
func (f *Fabric) readChunks(state *connState, from, to string, src net.Conn, queue chan<- chunk, forwardDone <-chan struct{}) {
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
			case queue <- chunk{data: buf[:n], deliverAt: time.Now().Add(delay)}:
			case <-forwardDone:
				return
			case <-state.aborted:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Close aborts every connection and closes every listener.
func (f *Fabric) Close() {
	f.abortWhere(func(*connState) bool { return true })
	f.mu.Lock()
	listeners := slices.Collect(maps.Values(f.listeners))
	f.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
}
