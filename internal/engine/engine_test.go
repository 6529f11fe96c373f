package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/engine"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/standin/enginesim"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// cannedNetwork is a network that sends the same bytes on every connection.
type cannedNetwork struct{ response string }

func (cannedNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (n cannedNetwork) Dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	go func() {
		_, _ = io.WriteString(far, n.response)
		_ = far.Close()
	}()
	return near, nil
}

// readStream returns the tokens and the end of a stream with the given events.
func readStream(t *testing.T, events string) (tokens []string, end engine.End, opened bool) {
	t.Helper()
	c := engine.New(cannedNetwork{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + events})
	s, _, _ := c.Start(t.Context(), "10.0.0.1:1", wire.GenerateRequest{Generation: "g"}, time.Minute)
	if s == nil {
		return nil, engine.End{}, false
	}
	defer s.Close()
	for {
		token, end, ok := s.Next()
		if !ok {
			return tokens, end, true
		}
		tokens = append(tokens, string(token.Text))
	}
}

func tokenEvents(indexes ...int) string {
	var b strings.Builder
	for _, i := range indexes {
		fmt.Fprintf(&b, "id: g/%d\ndata: \"t%d\"\n\n", i, i)
	}
	return b.String()
}

const endAfterTwoTokens = "event: end\ndata: {\"reason\":\"stop\",\"tokens\":2}\n\n"

func TestStreamDeliversTokensInOrder(t *testing.T) {
	both := []string{`"t0"`, `"t1"`}
	first := both[:1]
	for _, tc := range []struct {
		name, events string
		tokens       []string
		end          engine.End
	}{
		{"whole", tokenEvents(0, 1) + endAfterTwoTokens, both, engine.End{Tokens: 2}},
		{"keepAlive", tokenEvents(0) + ": waiting\n\n" + tokenEvents(1) + endAfterTwoTokens, both, engine.End{Tokens: 2}},
		{"repeated", tokenEvents(0, 0, 1, 0) + endAfterTwoTokens, both, engine.End{Tokens: 2}},
		{"gap", tokenEvents(0, 2), first, engine.End{Cause: outcome.StalledLink}},
		{"endTooEarly", tokenEvents(0) + endAfterTwoTokens, first, engine.End{Cause: outcome.StalledLink}},
		{"foreign", tokenEvents(0) + "id: h/1\ndata: \"x\"\n\n", first, engine.End{Cause: outcome.StalledLink}},
		{"notJSON", tokenEvents(0) + "id: g/1\ndata: x\n\n", first, engine.End{Cause: outcome.StalledLink}},
		{"cut", tokenEvents(0, 1), both, engine.End{Cause: outcome.EngineLost}},
		{"reclaimed", tokenEvents(0) + "event: end\ndata: {\"reason\":\"reclaimed\"}\n\n", first, engine.End{Cause: outcome.EngineReclaimed}},
		{"longLine", "id: g/0\ndata: \"" + strings.Repeat("x", 5000) + "\"\n\n", []string{`"` + strings.Repeat("x", 5000) + `"`}, engine.End{Cause: outcome.EngineLost}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tokens, end, _ := readStream(t, tc.events)
			if diff := cmp.Diff(tc.tokens, tokens); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(tc.end, end); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// endlessNetwork sends start and then repeats a text on every connection until it is
// closed. It counts the bytes sent.
type endlessNetwork struct {
	start, repeated string
	sent            chan int
}

func (endlessNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (n endlessNetwork) Dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	go func() {
		total, err := io.WriteString(far, n.start)
		for err == nil {
			var sent int
			sent, err = io.WriteString(far, n.repeated)
			total += sent
		}
		n.sent <- total
	}()
	return near, nil
}

// TestStreamsWithoutEnd sends bytes without end in a header, a line and an event. The
// stream must end, and the connection must be closed, after a bounded number of bytes.
func TestStreamsWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for _, tc := range []struct{ name, start, repeated string }{
		{"header", "HTTP/1.1 200 OK\r\nX-Name: ", strings.Repeat("x", 1024)},
		{"line", head + "data: ", strings.Repeat("x", 1024)},
		{"event", head, "data: x\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			endless := endlessNetwork{start: tc.start, repeated: tc.repeated, sent: make(chan int, 1)}
			s, cause, mayHaveRun := engine.New(endless).Start(t.Context(), "10.0.0.1:1", wire.GenerateRequest{Generation: "g"}, 5*time.Second)
			if s != nil {
				_, end, ok := s.Next()
				s.Close()
				cause, mayHaveRun = end.Cause, !ok
			}
			if cause != outcome.EngineLost || !mayHaveRun {
				t.Errorf("cause %q, may have run %v, want %q, true", cause, mayHaveRun, outcome.EngineLost)
			}
			const limit = 256 << 10
			if sent := <-endless.sent; sent > limit {
				t.Errorf("the engine could send %d bytes, want at most %d", sent, limit)
			}
		})
	}
}

func FuzzStream(f *testing.F) {
	f.Add(tokenEvents(0, 1) + endAfterTwoTokens)
	f.Add(tokenEvents(0, 2))
	f.Add("data: \"x\"\r\n\r\nid: g/-1\n\nevent: end\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		tokens, end, opened := readStream(t, body)
		if opened && end.Cause == outcome.None && end.Tokens != len(tokens) {
			t.Errorf("stream is complete after %d tokens, want %d", len(tokens), end.Tokens)
		}
	})
}

func FuzzParseLoadReport(f *testing.F) {
	f.Add([]byte(`{"engine":"e","capacityBlocks":10,"usedBlocks":3,"blockTokens":16,"slots":4}`))
	f.Add([]byte(`{"capacityBlocks":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if r, ok := engine.ParseLoadReport(body); ok && (r.UsedBlocks > r.CapacityBlocks || r.BlockTokens < 1) {
			t.Errorf("accepted invalid report %+v", r)
		}
	})
}

// BenchmarkLoad fetches a load report over loopback. The engine runs in the same
// process and its cost is included.
func BenchmarkLoad(b *testing.B) {
	e := llm.New(llm.Options{Name: "e", Models: []string{"m"}, Model: enginesim.DefaultOptions()})
	ln, err := network.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(ln) }()
	defer func() { _ = s.Close() }()
	c := engine.New(network.TCP{})
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := c.LoadReport(b.Context(), ln.Addr().String()); !ok {
			b.Fatal("no valid load report")
		}
	}
}

// TestResponseThatStopsInItsHeader closes the connection in the middle of the header of a
// response. No stream begins, and the generation may have.
func TestResponseThatStopsInItsHeader(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for end := range len(header) {
		c := engine.New(cannedNetwork{header[:end]})
		stream, cause, mayHaveRun := c.Start(t.Context(), "10.0.0.1:1", wire.GenerateRequest{Generation: "g"}, time.Minute)
		if stream != nil || cause != outcome.EngineLost || !mayHaveRun {
			t.Errorf("%q: stream %v, cause %q, may have run: %v", header[:end], stream != nil, cause, mayHaveRun)
		}
	}
}

// TestFailureOfAnEngineIsNoRefusal guards against REFUSED: only a refusal that names its
// cause says that the generation has not begun.
func TestFailureOfAnEngineIsNoRefusal(t *testing.T) {
	for response, want := range map[string]bool{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 17\r\n\r\n{\"cause\":\"full\"}\n": false,
		"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nwrong":                 true,
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n":                        true,
		"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 20\r\n\r\n{\"cause\":\"":                  true,
		"HTTP/1.1 000 None\r\nContent-Length: 17\r\n\r\n{\"cause\":\"full\"}\n":                true,
		"HTTP/1.1 099 None\r\nContent-Length: 17\r\n\r\n{\"cause\":\"full\"}\n":                true,
		"HTTP/1.1 202 Accepted\r\nContent-Length: 17\r\n\r\n{\"cause\":\"full\"}\n":            true,
		"HTTP/1.1 600 None\r\nContent-Length: 17\r\n\r\n{\"cause\":\"full\"}\n":                true,
		"HTTP/1.1 999 None\r\nContent-Length: 17\r\n\r\n{\"cause\":\"full\"}\n":                true,
	} {
		c := engine.New(cannedNetwork{response})
		stream, _, mayHaveRun := c.Start(t.Context(), "10.0.0.1:1", wire.GenerateRequest{Generation: "g"}, time.Minute)
		if stream != nil || mayHaveRun != want {
			t.Errorf("%q: stream %v, may have run: %v, want %v", response, stream != nil, mayHaveRun, want)
		}
	}
}

// respondingNetwork is a network that sends the same response to each request.
type respondingNetwork struct{ response string }

func (respondingNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (n respondingNetwork) Dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(far))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(far, n.response)
	}()
	return near, nil
}

// TestInvalidFieldNameIsNoResponse sends an invalid field name in the responses to all calls. No stream
// begins, and nothing is confirmed.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	const addr = "10.0.0.1:1"
	respond := func(field, body string) *engine.Client {
		return engine.New(respondingNetwork{fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", field, len(body), body)})
	}
	for field, valid := range map[string]bool{"X-Even: a\r\n": true, "X Odd: a\r\n": false, "Content-Length : 2\r\n": false} {
		events := respond(field, tokenEvents(0))
		if stream, _, mayHaveRun := events.Start(t.Context(), addr, wire.GenerateRequest{Generation: "g"}, time.Minute); (stream != nil) != valid || !mayHaveRun {
			t.Errorf("%q: stream %v, may have run: %v", field, stream != nil, mayHaveRun)
		}
		if stream, _ := events.Resume(t.Context(), addr, "g", 0, time.Minute); (stream != nil) != valid {
			t.Errorf("%q: resumed %v", field, stream != nil)
		}
		if got := respond(field, "").Cancel(t.Context(), addr, "g"); got != valid {
			t.Errorf("%q: cancelled %v", field, got)
		}
		order := wire.Order{DeadlineUnixMs: int(time.Now().Add(time.Minute).UnixMilli())}
		if got, _ := respond(field, "").SendOrder(t.Context(), addr, order); got != valid {
			t.Errorf("%q: order accepted %v", field, got)
		}
		report := `{"capacityBlocks":1,"blockTokens":1,"slots":1}`
		if got, ok := respond(field, report).LoadReport(t.Context(), addr); ok != valid {
			t.Errorf("%q: load report %+v", field, got)
		}
	}
}
