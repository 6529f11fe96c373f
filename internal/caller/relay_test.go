package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
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

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/caller"
	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/engine"
	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/internal/logline"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/readlimit"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// singleBackendBroker is a caller.Broker that places every request on one engine.
type singleBackendBroker struct {
	state *configchain.State
	addr  string
	// onEnded is called for each backend that is reported as ended; it may be nil.
	onEnded func(backend string)
}

func (b singleBackendBroker) Place(context.Context, control.Place) (control.Placed, outcome.Result, []wire.Event) {
	return control.Placed{Backend: wire.Backend{Name: "engine-1", Address: b.addr}}, outcome.Result{}, nil
}
func (singleBackendBroker) CancelPlace(string)                {}
func (singleBackendBroker) AttemptEnded(control.AttemptEnded) {}
func (singleBackendBroker) ReportLeaving(string)              {}
func (b singleBackendBroker) ReportEnded(backend string) {
	if b.onEnded != nil {
		b.onEnded(backend)
	}
}
func (b singleBackendBroker) State() *configchain.State         { return b.state }
func (singleBackendBroker) Backend(string) (wire.Backend, bool) { return wire.Backend{}, false }
func (singleBackendBroker) ReportTakeover(_, _, _ string)       {}
func (singleBackendBroker) Forward(context.Context, string, wire.ServiceCall) (wire.ServiceAnswer, outcome.Result) {
	return wire.ServiceAnswer{}, outcome.Result{}
}

func newServer(n network.Network, addr string) *caller.Server {
	return newServerReporting(n, addr, nil)
}

// newServerReporting is newServer with a function that is called for backends reported as ended.
func newServerReporting(n network.Network, addr string, onEnded func(string)) *caller.Server {
	state := configchain.Empty()
	state, _ = state.Apply(state.Next((&fleet.Fleet{}).ReleaseNote(), 0))
	limits := settings.Defaults().Callers
	limits.TokenDeadlineMs = 60_000
	return caller.New(caller.Options{
		VM: "entry-1", Limits: limits, Secret: "0123456789abcdef", Broker: singleBackendBroker{state, addr, onEnded},
		Bodies: readlimit.New(64<<20, nil), Decoding: readlimit.New(64<<20, nil), Responses: readlimit.New(64<<20, nil), Engines: engine.New(n), Incidents: incident.New("entry-1", 10_000), Log: logline.New(io.Discard, "error"),
	})
}

// tokenStream is the response of an engine that streams tokens up to index end.
// Each event is returned by a separate Read.
type tokenStream struct {
	generation string
	text       string // of each token, as JSON; empty means ladderText
	next, end  int
	buf        []byte
	unread     []byte // rest of buf
}

func (s *tokenStream) Read(p []byte) (int, error) {
	if len(s.unread) == 0 {
		switch {
		case s.next < s.end:
			s.buf = append(s.buf[:0], "id: "...)
			s.buf = append(s.buf, s.generation...)
			s.buf = append(s.buf, '/')
			s.buf = strconv.AppendInt(s.buf, int64(s.next), 10)
			s.buf = append(s.buf, "\ndata: "...)
			if s.text == "" {
				s.text = ladderText
			}
			s.buf = append(s.buf, s.text...)
			s.buf = append(s.buf, "\n\n"...)
		case s.next == s.end:
			s.buf = fmt.Appendf(s.buf[:0], "event: end\ndata: {\"reason\":\"stop\",\"tokens\":%d}\n\n", s.end)
		default:
			return 0, io.EOF
		}
		s.next++
		s.unread = s.buf
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// tokenNetwork is a network on which every address is an engine that streams the
// given number of tokens.
type tokenNetwork struct {
	network.TCP
	tokens int
	text   string // of tokenStream
}

const ladderText = `" ladder"`

func (n *tokenNetwork) Dial(context.Context, string) (net.Conn, error) {
	return &tokenConn{tokens: n.tokens, text: n.text}, nil
}

// tokenConn reads the request for a generation and returns its tokens.
type tokenConn struct {
	net.Conn
	tokens int
	text   string
	stream *tokenStream
}

const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

func (c *tokenConn) Write(p []byte) (int, error) {
	if _, rest, found := strings.Cut(string(p), `"generation":"`); found {
		generation, _, _ := strings.Cut(rest, `"`)
		c.stream = &tokenStream{generation: generation, text: c.text, end: c.tokens, buf: make([]byte, 0, 256), unread: []byte(responseHead)}
	}
	return len(p), nil
}

func (c *tokenConn) Read(p []byte) (int, error) { return c.stream.Read(p) }

func (*tokenConn) Close() error { return nil }

// discardWriter is a response writer that discards the data and counts its bytes.
type discardWriter struct {
	header http.Header
	bytes  int
}

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(p []byte) (int, error) { w.bytes += len(p); return len(p), nil }
func (*discardWriter) WriteHeader(int)               {}
func (*discardWriter) Flush()                        {}

func newStreamRequest() *http.Request { return newCompletionRequest(true) }

func newCompletionRequest(stream bool) *http.Request {
	body := fmt.Sprintf(`{"model":"report-writer","prompt":"Draft a report","stream":%v,"max_tokens":131072}`, stream)
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", bytes.NewBufferString(body))
	r.Header.Set("Authorization", "Bearer "+fleet.WorkspaceKey)
	return r
}

// TestTextOfWholeResponse checks that a response that is not streamed holds the text of all tokens.
func TestTextOfWholeResponse(t *testing.T) {
	for _, text := range []string{ladderText, `""`, `"a space after" `, `"quotes \" and \\ \n\t"`, `"<b>&amp;\u00e9é\u0000"`} {
		const tokens = 3
		w := httptest.NewRecorder()
		newServer(&tokenNetwork{tokens: tokens, text: text}, "10.0.0.1:1").Handler().ServeHTTP(w, newCompletionRequest(false))
		var want string
		if err := json.Unmarshal([]byte(text), &want); err != nil {
			t.Fatal(err)
		}
		var got struct{ Choices []struct{ Text string } }
		if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil || w.Code != http.StatusOK || len(got.Choices) != 1 {
			t.Errorf("token %s: status %d, %v in %q", text, w.Code, err, w.Body)
			continue
		}
		if diff := cmp.Diff(strings.Repeat(want, tokens), got.Choices[0].Text); diff != "" {
			t.Errorf("token %s (-want +got):\n%s", text, diff)
		}
	}
}

// BenchmarkRelayToken measures the cost of one token in the VM's own code, without
// sockets. One operation is one token.
func BenchmarkRelayToken(b *testing.B) {
	s := newServer(&tokenNetwork{tokens: b.N}, "10.0.0.1:1")
	w := &discardWriter{header: http.Header{}}
	r := newStreamRequest()
	b.ReportAllocs()
	b.ResetTimer()
	s.Handler().ServeHTTP(w, r)
	b.StopTimer()
	b.ReportMetric(float64(w.bytes)/float64(b.N), "B-sent/op")
}

// startIdleEngine starts an engine that sends one token on each connection and
// then keeps the connection open. It returns the address.
func startIdleEngine(b *testing.B) string {
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
		for _, conn := range held {
			_ = conn.Close()
		}
	})
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			held = append(held, conn)
			mu.Unlock()
			go sendOneToken(conn)
		}
	}()
	return ln.Addr().String()
}

func sendOneToken(conn net.Conn) {
	buf := make([]byte, 2048)
	n, err := conn.Read(buf)
	if err != nil {
		return
	}
	_, rest, _ := bytes.Cut(buf[:n], []byte(`"generation":"`))
	generation, _, _ := bytes.Cut(rest, []byte(`"`))
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: %s/0\ndata: \" a\"\n\n", generation)
}

// BenchmarkRelayStreams opens streams over loopback and measures the memory per
// stream. The caller's and the engine's ends are in the same process and add a few
// hundred bytes. One operation is one open stream.
func BenchmarkRelayStreams(b *testing.B) {
	addr := startIdleEngine(b)
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
	r := newStreamRequest()
	r.URL.Host, r.Host = ln.Addr().String(), ln.Addr().String()
	if err := r.Write(&raw); err != nil {
		b.Fatal(err)
	}
	heap, stack := memoryInUse()
	conns := make([]net.Conn, streams)
	b.ResetTimer()
	for i := range conns {
		conns[i] = openStream(b, ln.Addr().String(), raw.Bytes())
	}
	b.StopTimer()
	heapNow, stackNow := memoryInUse()
	b.ReportMetric(float64(heapNow-heap+stackNow-stack)/streams, "B/stream")
	b.ReportMetric(float64(stackNow-stack)/streams, "B-stack/stream")
	for _, conn := range conns {
		_ = conn.Close()
	}
}

func openStream(b *testing.B, addr string, request []byte) net.Conn {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := conn.Write(request); err != nil {
		b.Fatal(err)
	}
	line, err := bufio.NewReaderSize(conn, 16).ReadString('\n')
	if err != nil || !strings.Contains(line, "200") {
		b.Fatalf("%q: %v", line, err)
	}
	return conn
}

// memoryInUse returns the bytes in use by the heap and the stacks.
func memoryInUse() (heap, stack uint64) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse, m.StackInuse
}
