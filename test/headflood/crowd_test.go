package headflood_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"

	"github.com/pimentohinge/pimentohinge/internal/peer"
)

const (
	// crowdTimeout bounds how long a member of a crowd waits for a connection, to write and to read.
	crowdTimeout = 5 * time.Second
	// settleTime is the time in which a process accepts the connections of a crowd.
	settleTime = 500 * time.Millisecond
)

// crowdPlan says what the members of a crowd do. Each opens a connection, writes, and reads until the
// connection ends; then it does so again.
type crowdPlan struct {
	// addr is where the members connect to, size is their number, and rounds how often each connects.
	addr         string
	size, rounds int
	// tls, when not nil, makes the members use TLS.
	tls *tls.Config
	// write writes what a member sends in a round.
	write func(conn net.Conn, member, round int) error
	// unread makes the members not read.
	unread bool
}

// crowdRun is a crowd whose members are active.
type crowdRun struct {
	members sync.WaitGroup
	// ended is closed when the crowd ends.
	ended chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]bool
	// statuses counts the status lines that the members have read.
	statuses map[string]int
}

// run starts the members of a crowd. It returns when each has written what it sends in the first
// round, or could not.
func (p crowdPlan) run() *crowdRun {
	r := &crowdRun{ended: make(chan struct{}), conns: map[net.Conn]bool{}, statuses: map[string]int{}}
	var first sync.WaitGroup
	for member := range p.size {
		first.Add(1)
		r.members.Go(func() {
			for round := 0; round < p.rounds && !r.hasEnded(); round++ {
				p.visit(r, member, round, sync.OnceFunc(func() {
					if round == 0 {
						first.Done()
					}
				}))
			}
		})
	}
	first.Wait()
	if p.unread {
		// The process has accepted what it accepts.
		time.Sleep(settleTime)
	}
	return r
}

// visit is one connection of a member. It calls written once.
func (p crowdPlan) visit(r *crowdRun, member, round int, written func()) {
	defer written()
	conn, err := net.DialTimeout("tcp", p.addr, crowdTimeout)
	if err != nil {
		return
	}
	if p.tls != nil {
		conn = tls.Client(conn, p.tls)
	}
	if !r.add(conn) {
		return
	}
	defer r.remove(conn)
	_ = conn.SetWriteDeadline(time.Now().Add(crowdTimeout))
	err = p.write(conn, member, round)
	written()
	if p.unread && err == nil {
		<-r.ended
		return
	}
	// The responses to a head may come before a failure to write all of it.
	_ = conn.SetReadDeadline(time.Now().Add(crowdTimeout))
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		if status, ok := strings.CutPrefix(lines.Text(), "HTTP/1.1 "); ok {
			r.count(status)
		}
	}
}

func (r *crowdRun) count(status string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[status]++
}

// add adds a connection. It closes the connection and reports false once the crowd has ended.
func (r *crowdRun) add(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasEnded() {
		_ = conn.Close()
		return false
	}
	r.conns[conn] = true
	return true
}

func (r *crowdRun) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

func (r *crowdRun) remove(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
	_ = conn.Close()
}

// end closes the connections and returns the status lines that the members have read.
func (r *crowdRun) end() map[string]int {
	r.mu.Lock()
	close(r.ended)
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.mu.Unlock()
	r.members.Wait()
	return r.statuses
}

// machine is the machine of the gateway.
var machine = limits{memoryMb, maxDescriptors}

// heldHead writes a head of many lines without the blank line at its end.
func heldHead(conn net.Conn, member, round int) error {
	_, err := conn.Write(append(crowdHead(member, round), '\r'))
	return err
}

// wholeHead writes a request whose head has many lines.
func wholeHead(conn net.Conn, member, round int) error {
	_, err := conn.Write(append(crowdHead(member, round), "\r\n"...))
	return err
}

// crowdHead returns a head of many lines, without the blank line at its end.
func crowdHead(member, round int) []byte {
	return flood(fmt.Sprintf("flood-%d-%d", member, round), shapes["distinct"])
}

// checkServes checks that a process answers an ordinary request, a readiness check and a VM that opens
// a link.
func checkServes(t *testing.T, name string) {
	t.Helper()
	if !ordinaryRequest("ordinary-" + name) {
		t.Error("an ordinary request got no response of a server")
	}
	if !eventually(isReady) {
		t.Error("a readiness check got no response")
	}
	if !eventually(acceptsLinks) {
		t.Error("no link could be opened")
	}
}

// acceptsLinks reports whether a WebSocket can be opened at the peers' listener.
func acceptsLinks() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crowdTimeout)
	defer cancel()
	conn, resp, err := websocket.Dial(ctx, "ws://"+peers+peer.Path, nil)
	if err != nil {
		return false
	}
	_ = resp.Body
	_ = conn.CloseNow()
	return true
}
