package headlimit_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/headlimit"
	"github.com/pimentohinge/pimentohinge/internal/heapgate"
)

const refusal = "HTTP/1.1 503 Service Unavailable\r\n\r\n"

// caller is a connection between a test and a limiter.
type caller struct {
	t       *testing.T
	limiter *headlimit.Limiter
	client  net.Conn
	server  *headlimit.Conn
	got     chan string
}

func open(t *testing.T, l *headlimit.Limiter) *caller {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	c := &caller{t: t, limiter: l, client: client, server: l.Wrap(server), got: make(chan string, 1)}
	go func() {
		var b bytes.Buffer
		_, _ = io.Copy(&b, client)
		c.got <- b.String()
	}()
	return c
}

// send sends part of a head and reports whether the server side could read it.
func (c *caller) send(part string) bool {
	go func() { _, _ = io.WriteString(c.client, part) }()
	_, err := io.ReadFull(c.server, make([]byte, len(part)))
	if err != nil {
		_ = c.server.Close()
	}
	return err == nil
}

func (c *caller) state(state http.ConnState) { c.limiter.State(c.server, state) }

// received returns all bytes that the caller got until the connection was closed.
func (c *caller) received() string {
	select {
	case got := <-c.got:
		return got
	case <-time.After(10 * time.Second):
		c.t.Fatal("the connection was not closed")
		return ""
	}
}

// shortLines takes about 130 kB of a limiter's memory.
var shortLines = strings.Repeat("a:\r\n", 500)

func newLimiter(memory int64) *headlimit.Limiter {
	return headlimit.New(headlimit.Options{MaxConns: 4, MemoryBytes: memory, Refusal: []byte(refusal)})
}

// TestHeldBackHeadsGiveWay sends more heads than there is memory for, none of them to its end.
func TestHeldBackHeadsGiveWay(t *testing.T) {
	l := newLimiter(600_000)
	held := []*caller{open(t, l), open(t, l)}
	for _, c := range held {
		c.send(shortLines)
	}
	if !open(t, l).send(shortLines) {
		t.Error("the newest head was refused")
	}
	if got := held[0].received(); got != "" || !held[0].server.Evicted() || held[1].server.Evicted() {
		t.Errorf("oldest connection: got %q, closed %v; next one closed %v", got, held[0].server.Evicted(), held[1].server.Evicted())
	}
}

// TestHeadIsRefusedBehindRequestsInProgress fills the memory with heads whose requests run.
func TestHeadIsRefusedBehindRequestsInProgress(t *testing.T) {
	l := newLimiter(600_000)
	running := []*caller{open(t, l), open(t, l)}
	for _, c := range running {
		c.send(shortLines)
		c.state(http.StateActive)
	}
	large, ordinary := open(t, l), open(t, l)
	if large.send(shortLines) {
		t.Error("a large head was read")
	}
	if diff := cmp.Diff(refusal, large.received()); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
	if !ordinary.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n") {
		t.Error("a small head was refused")
	}
	running[0].state(http.StateIdle)
	if !open(t, l).send(shortLines) {
		t.Error("a large head was refused after a request had ended")
	}
	if diff := cmp.Diff(headlimit.Counts{RefusedHeads: 1}, l.Counts()); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
}

// TestSingleHeadMayExceedTheMemory sends one head that takes more than its part.
func TestSingleHeadMayExceedTheMemory(t *testing.T) {
	l := newLimiter(1000)
	c := open(t, l)
	if !c.send(shortLines) {
		t.Error("the head was refused")
	}
	c.state(http.StateActive)
	c.state(http.StateClosed)
	if l.Used() != 0 {
		t.Errorf("%d bytes are left", l.Used())
	}
}

// TestPipelinedHeadIsCounted sends the next head with the body of a request.
func TestPipelinedHeadIsCounted(t *testing.T) {
	l := newLimiter(600_000)
	c := open(t, l)
	c.send("POST / HTTP/1.1\r\n\r\n")
	c.state(http.StateActive)
	c.send(shortLines)
	c.state(http.StateIdle)
	if l.Used() != 0 {
		t.Errorf("an idle connection takes %d bytes", l.Used())
	}
	c.state(http.StateActive)
	if l.Used() < 100_000 {
		t.Errorf("the second head takes %d bytes", l.Used())
	}
}

// TestConnectionsGiveWayInOrder opens more connections than allowed. A head that is held back
// gives way first, then a silent connection, then an idle one; requests in progress do not.
func TestConnectionsGiveWayInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(1 << 20)
		idle, silent, running, held := open(t, l), open(t, l), open(t, l), open(t, l)
		for _, c := range []*caller{idle, running} {
			c.send("GET /")
			c.state(http.StateActive)
		}
		idle.state(http.StateIdle)
		held.send("GET /")
		// Each has had time for its head.
		time.Sleep(time.Second)
		var order []string
		for range 3 {
			next := open(t, l)
			next.send("GET /")
			next.state(http.StateActive)
			for name, c := range map[string]*caller{"idle": idle, "silent": silent, "running": running, "held": held} {
				if c.server.Evicted() && !bytes.Contains([]byte(strings.Join(order, " ")), []byte(name)) {
					order = append(order, name)
				}
			}
		}
		if diff := cmp.Diff([]string{"held", "silent", "idle"}, order); diff != "" {
			t.Errorf("closed connections (-want +got):\n%s", diff)
		}
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		if l.Wrap(server) != nil {
			t.Error("a connection was accepted while requests are in progress on all")
		}
	})
}

// TestBodiesGiveWay opens a connection while the bodies of requests on all others are held back.
func TestBodiesGiveWay(t *testing.T) {
	l := newLimiter(1 << 20)
	var conns []*caller
	for range 4 {
		c := open(t, l)
		c.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n")
		c.state(http.StateActive)
		c.server.AwaitBody()
		conns = append(conns, c)
	}
	if !conns[1].server.BodyRead() {
		t.Error("a body was read, but its connection counts as closed")
	}
	for range 3 {
		if open(t, l).server == nil {
			t.Error("a connection was refused")
		}
	}
	for i, want := range []bool{false, true, false, false} {
		if got := conns[i].server.BodyRead(); got != want {
			t.Errorf("connection %d: body read %v, want %v", i, got, want)
		}
	}
}

// TestNewConnectionsHaveTimeForTheirHeads opens connections as fast as the limiter accepts them. Each
// sends its head at once, and must not be closed before that has been read.
func TestNewConnectionsHaveTimeForTheirHeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(1 << 20)
		began := time.Now()
		for range 40 {
			c := open(t, l)
			if c.server == nil {
				t.Fatal("a connection was refused")
			}
			go func() {
				time.Sleep(10 * time.Millisecond)
				if c.server.Evicted() {
					t.Error("a connection was closed before its head was read")
				}
			}()
		}
		if took := time.Since(began); took < 100*time.Millisecond || took > time.Second {
			t.Errorf("40 connections were accepted in %v", took)
		}
		time.Sleep(time.Second)
	})
}

// TestBodiesThatAreSentHaveTime holds back the end of a long body and all of short ones. The long one,
// of which much has been sent, does not give way before the others.
func TestBodiesThatAreSentHaveTime(t *testing.T) {
	l := newLimiter(1 << 20)
	var conns []*caller
	for i := range 4 {
		c := open(t, l)
		c.send("POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n")
		c.state(http.StateActive)
		c.server.AwaitBody()
		if i == 0 {
			c.send(strings.Repeat("x", 900_000))
		}
		conns = append(conns, c)
	}
	for range 3 {
		open(t, l)
	}
	for i, want := range []bool{true, false, false, false} {
		if got := conns[i].server.BodyRead(); got != want {
			t.Errorf("connection %d: body read %v, want %v", i, got, want)
		}
	}
}

// TestLargeHeadsAwaitTheHeap sends heads while the heap of the process is full. Small ones are read,
// large ones once there is room, and refused if there is none.
func TestLargeHeadsAwaitTheHeap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var heapBytes atomic.Int64
		heapBytes.Store(1 << 20)
		l := headlimit.New(headlimit.Options{MaxConns: 4, MemoryBytes: 1 << 20, Refusal: []byte(refusal), Heap: heapgate.New(heapgate.Options{
			MaxBytes: 1 << 20, HeapBytes: heapBytes.Load, Collect: func() {},
		})})
		if !open(t, l).send("GET / HTTP/1.1\r\nHost: a\r\n\r\n") {
			t.Error("a small head was refused")
		}
		refused := open(t, l)
		if refused.send(shortLines) {
			t.Error("a large head was read while the heap was full")
		}
		if diff := cmp.Diff(refusal, refused.received()); diff != "" {
			t.Errorf("refusal (-want +got):\n%s", diff)
		}
		time.AfterFunc(100*time.Millisecond, func() { heapBytes.Store(0) })
		read := open(t, l)
		if !read.send(shortLines) {
			t.Error("a large head was refused though the heap became free")
		}
		for range 20 {
			read.state(http.StateActive)
			read.state(http.StateIdle)
			if !read.send(shortLines) {
				t.Fatal("the memory that was granted for the heads before was not given back")
			}
		}
		if diff := cmp.Diff(headlimit.Counts{RefusedHeads: 1}, l.Counts()); diff != "" {
			t.Errorf("counts (-want +got):\n%s", diff)
		}
	})
}

// TestHeadThatAwaitsTheHeapGivesWay closes connections whose heads wait for the heap.
func TestHeadThatAwaitsTheHeapGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := headlimit.New(headlimit.Options{MaxConns: 1, MemoryBytes: 1 << 20, Refusal: []byte(refusal), Heap: heapgate.New(heapgate.Options{
			MaxBytes: 1 << 20, HeapBytes: func() int64 { return 1 << 20 }, Collect: func() {},
		})})
		waits := open(t, l)
		ended := make(chan time.Duration, 1)
		began := time.Now()
		go func() {
			waits.send(shortLines)
			ended <- time.Since(began)
		}()
		synctest.Wait()
		open(t, l)
		if took := <-ended; took > 100*time.Millisecond || !waits.server.Evicted() {
			t.Errorf("reading ended after %v, closed %v", took, waits.server.Evicted())
		}
		if got := waits.received(); got != "" {
			t.Errorf("got %q", got)
		}
	})
}
