package soak

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/network"
)

// listenNetwork is the network of one backend server. It keeps the server's listener, which
// may ignore new connections while open ones continue.
type listenNetwork struct {
	network.TCP

	mu       sync.Mutex
	listener net.Listener
	paused   bool
	resumed  *sync.Cond
	// fill are connections that occupy the queue of new connections.
	fill []net.Conn
	// link is nil unless connections have a delay.
	link  *link
	delay time.Duration
}

func newListenNetwork() *listenNetwork {
	n := &listenNetwork{}
	n.resumed = sync.NewCond(&n.mu)
	return n
}

// Listen opens the listener.
func (n *listenNetwork) Listen(addr string) (net.Listener, error) {
	ln, err := n.TCP.Listen(addr)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	n.listener = &pausableListener{Listener: ln, network: n}
	return n.listener, nil
}

// maxFill bounds the connections that are opened to fill the queue.
const maxFill = 8

// fillQueue makes the operating system drop the first packets of new connections: the queue
// of connections is full and nothing accepts them.
func (n *listenNetwork) fillQueue() {
	n.mu.Lock()
	n.paused = true
	n.mu.Unlock()
	ln, ok := n.listener.(*pausableListener)
	if !ok {
		return
	}
	tcp, ok := ln.Listener.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	for range maxFill {
		go func() {
			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				return
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			n.fill = append(n.fill, conn)
		}()
	}
}

// close releases what fillQueue holds.
func (n *listenNetwork) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.fill {
		_ = conn.Close()
	}
	n.paused = false
	n.resumed.Broadcast()
}

// pausableListener is a listener whose Accept blocks while its network is paused.
type pausableListener struct {
	net.Listener
	network *listenNetwork
}

// Accept returns the next connection that is accepted while the network is not paused.
func (l *pausableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	for l.network.paused {
		l.network.resumed.Wait()
	}
	if err != nil || l.network.link == nil {
		return conn, err
	}
	return l.network.link.newConn(conn, l.network.delay), nil
}
