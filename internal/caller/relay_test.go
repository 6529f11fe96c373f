package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/caller"
	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/engine"
	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/internal/logline"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// oneBackend is a broker that places everything on one engine.
type oneBackend struct {
	state *chain.State
	addr  string
}

func (b oneBackend) Place(context.Context, control.Place) (control.Placed, outcome.Outcome, []wire.Event) {
	return control.Placed{Backend: wire.Backend{Name: "engine-1", Address: b.addr}}, outcome.Outcome{}, nil
}
func (oneBackend) Withdraw(string)                     {}
func (oneBackend) Ended(control.AttemptEnded)          {}
func (oneBackend) Leaving(string)                      {}
func (b oneBackend) State() *chain.State               { return b.state }
func (oneBackend) Backend(string) (wire.Backend, bool) { return wire.Backend{}, false }
func (oneBackend) Taken(_, _, _ string)                {}
func (oneBackend) Forward(context.Context, string, wire.ServiceCall) (wire.ServiceAnswer, outcome.Outcome) {
	return wire.ServiceAnswer{}, outcome.Outcome{}
}

func newServer(n network.Network, addr string) *caller.Server {
	state := chain.Empty()
	state, _ = state.Apply(state.Next((&fleet.Fleet{}).Note(), 0))
	limits := settings.Defaults().Callers
	limits.TokenDeadlineMs = 60_000
	return caller.New(caller.Options{
		VM: "entry-1", Limits: limits, Secret: "0123456789abcdef", Broker: oneBackend{state, addr},
		Engines: engine.New(n), Incidents: incident.New("entry-1", 10_000), Log: logline.New(io.Discard, "error"),
	})
}

// tokenSource is the body of an engine's stream with a number of tokens, one
// event in each read.
type tokenSource struct {
	generation string
	next, end  int
	buf        []byte
	left       []byte // of buf
}

func (s *tokenSource) Read(p []byte) (int, error) {
	if len(s.left) == 0 {
		switch {
		case s.next < s.end:
			s.buf = append(s.buf[:0], "id: "...)
			s.buf = append(s.buf, s.generation...)
			s.buf = append(s.buf, '/')
			s.buf = strconv.AppendInt(s.buf, int64(s.next), 10)
			s.buf = append(s.buf, "\ndata: \" ladder\"\n\n"...)
		case s.next == s.end:
			s.buf = fmt.Appendf(s.buf[:0], "event: end\ndata: {\"reason\":\"stop\",\"tokens\":%d}\n\n", s.end)
		default:
			return 0, io.EOF
		}
		s.next++
		s.left = s.buf
	}
	n := copy(p, s.left)
	s.left = s.left[n:]
	return n, nil
}

// sourceNetwork connects to a token source.
type sourceNetwork struct {
	network.TCP
	tokens int
}

func (n *sourceNetwork) Dial(context.Context, string) (net.Conn, error) {
	return &sourceConn{tokens: n.tokens}, nil
}

// sourceConn takes a generation's request and answers with its tokens.
type sourceConn struct {
	net.Conn
	tokens int
	source *tokenSource
}

const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

func (c *sourceConn) Write(p []byte) (int, error) {
	if _, rest, found := strings.Cut(string(p), `"generation":"`); found {
		generation, _, _ := strings.Cut(rest, `"`)
		c.source = &tokenSource{generation: generation, end: c.tokens, buf: make([]byte, 0, 256), left: []byte(responseHead)}
	}
	return len(p), nil
}

func (c *sourceConn) Read(p []byte) (int, error) { return c.source.Read(p) }

func (*sourceConn) Close() error { return nil }

// discardWriter is a response writer that counts bytes.
type discardWriter struct {
	header http.Header
	bytes  int
}

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(p []byte) (int, error) { w.bytes += len(p); return len(p), nil }
func (*discardWriter) WriteHeader(int)               {}
func (*discardWriter) Flush()                        {}

func newRequest() *http.Request {
	body := `{"model":"report-writer","prompt":"Draft a report","stream":true,"max_tokens":131072}`
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", bytes.NewBufferString(body))
	r.Header.Set("Authorization", "Bearer "+fleet.WorkspaceKey)
	return r
}

// BenchmarkRelayToken is the cost of one token in the VM's own code, without
// sockets. One operation is one token.
func BenchmarkRelayToken(b *testing.B) {
	s := newServer(&sourceNetwork{tokens: b.N}, "10.0.0.1:1")
	w := &discardWriter{header: http.Header{}}
	r := newRequest()
	b.ReportAllocs()
	b.ResetTimer()
	s.Handler().ServeHTTP(w, r)
	b.StopTimer()
	b.ReportMetric(float64(w.bytes)/float64(b.N), "B-sent/op")
}

// holdingEngine sends one token on each connection and then holds it open.
func holdingEngine(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	var mu sync.Mutex
	var held []net.Conn
	b.Cleanup(func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range held {
			_ = c.Close()
		}
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			held = append(held, c)
			mu.Unlock()
			go hold(c)
		}
	}()
	return ln.Addr().String()
}

func hold(c net.Conn) {
	buf := make([]byte, 2048)
	n, err := c.Read(buf)
	if err != nil {
		return
	}
	_, rest, _ := bytes.Cut(buf[:n], []byte(`"generation":"`))
	generation, _, _ := bytes.Cut(rest, []byte(`"`))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: %s/0\ndata: \" a\"\n\n", generation)
}

// BenchmarkRelayStreams opens streams over loopback and measures the memory of
// one, with the ends of caller and engine in the same process as a few hundred
// bytes. One operation is one open stream.
func BenchmarkRelayStreams(b *testing.B) {
	addr := holdingEngine(b)
	s := newServer(network.TCP{}, addr)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(ln) }()
	defer func() { _ = server.Close() }()
	const streams = 2500
	var raw bytes.Buffer
	r := newRequest()
	r.URL.Host, r.Host = ln.Addr().String(), ln.Addr().String()
	if err := r.Write(&raw); err != nil {
		b.Fatal(err)
	}
	heap, stack := memory()
	conns := make([]net.Conn, streams)
	b.ResetTimer()
	for i := range conns {
		conns[i] = openStream(b, ln.Addr().String(), raw.Bytes())
	}
	b.StopTimer()
	heapNow, stackNow := memory()
	b.ReportMetric(float64(heapNow-heap+stackNow-stack)/streams, "B/stream")
	b.ReportMetric(float64(stackNow-stack)/streams, "B-stack/stream")
	for _, c := range conns {
		_ = c.Close()
	}
}

func openStream(b *testing.B, addr string, request []byte) net.Conn {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := c.Write(request); err != nil {
		b.Fatal(err)
	}
	line, err := bufio.NewReaderSize(c, 16).ReadString('\n')
	if err != nil || !strings.Contains(line, "200") {
		b.Fatalf("%q: %v", line, err)
	}
	return c
}

// memory is the memory in use by heap and stacks.
func memory() (heap, stack uint64) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse, m.StackInuse
}
