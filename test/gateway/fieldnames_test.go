package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

// rawEvents is the number of events of a rawResponse.
const rawEvents = 3

// rawResponse is a response with a length or in chunks, as it is sent.
type rawResponse struct {
	// interim is sent before the response.
	interim string
	// field is a line of the header, or of the trailer of a response in chunks.
	field     string
	inTrailer bool
	chunked   bool
	// unframed omits the length and the framing of chunks from the header.
	unframed bool
}

// bytes returns the response to an attempt at a plain service or, with events, at an engine.
func (r rawResponse) bytes(attempt string, events bool) string {
	body, contentType := upstream.ResponseBody(attempt), "text/plain"
	if events {
		body, contentType = "", "text/event-stream"
		for i := range rawEvents {
			body += fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
		}
	}
	field, trailer := r.field+"\r\n", ""
	if r.inTrailer {
		field, trailer = "", field
	}
	framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if r.chunked {
		framing, body = "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, trailer)
	}
	if r.unframed {
		framing = ""
	}
	return r.interim + "HTTP/1.1 200 OK\r\nX-Pimentohinge-Attempt-Id: " + attempt + "\r\nX-Pimentohinge-Response-Stamp: s\r\n" +
		field + "Content-Type: " + contentType + "\r\n" + framing + "\r\n" + body
}

// startRawReplicas starts a plain server and an engine that send a response to all requests.
func (env *testEnv) startRawReplicas(r rawResponse) {
	plain := upstream.Options{
		Fault:       everyRequest(upstream.SendsRaw),
		RawResponse: func(attempt string) string { return r.bytes(attempt, false) },
	}
	engine := plain
	engine.Engine, engine.RawResponse = testEngine(), func(attempt string) string { return r.bytes(attempt, true) }
	env.startReplicaWith("p-1", "plain", "a", plain)
	env.startReplicaWith("e-1", "engine", "a", engine)
}

// skipped is a response to another request.
const skipped = "HTTP/1.1 200 OK\r\nX-Pimentohinge-Attempt-Id: other\r\n%s\r\nContent-Length: 0\r\n\r\n"

// TestInvalidFieldNameIsNoResponse guards against MIXED: a replica in trouble sends an invalid field name,
// or a control byte in a value. Callers get 502 at once, whatever the rest of the response is, and a safe
// request goes to another replica.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	invalid := map[string]rawResponse{
		"no name":                       {field: ": a"},
		"no colon":                      {field: "X-Odd"},
		"in the trailer":                {field: "X Odd: a", inTrailer: true, chunked: true},
		"at the end, in the trailer":    {field: "X-Odd : a", inTrailer: true, chunked: true},
		"length":                        {field: "Content-Length : 2", unframed: true},
		"length beside a length":        {field: "Content-Length : 2"},
		"length beside chunks":          {field: "Content-Length : 2", chunked: true},
		"chunks":                        {field: "Transfer-Encoding : chunked", chunked: true, unframed: true},
		"chunks beside a length":        {field: "Transfer-Encoding : chunked"},
		"in an interim response":        {interim: "HTTP/1.1 103 Early Hints\r\nX Odd: a\r\n\r\n", field: "X-Even: a"},
		"in a response to another call": {interim: fmt.Sprintf(skipped, "X Odd: a"), field: "X-Even: a"},
	}
	for _, name := range []string{"X Odd", "X-Odd ", "X\x01Odd", "X\x00Odd", "X\x7fOdd", "X\tOdd", "X\rOdd", "X(Odd", "Xö", "X\xffOdd"} {
		invalid[fmt.Sprintf("%q", name)] = rawResponse{field: name + ": a"}
		invalid[fmt.Sprintf("%q in chunks", name)] = rawResponse{field: name + ": a", chunked: true}
	}
	for _, value := range []string{"a\x01b", "a\x00b", "a\x7fb", "a\rb"} {
		invalid[fmt.Sprintf("value %q", value)] = rawResponse{field: "X-Even: " + value}
	}
	for name, raw := range invalid {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(t *testing.T, env *testEnv) {
				env.startRawReplicas(raw)
				began := time.Now()
				unsafe := env.call(t.Context(), http.MethodPost, "/unsafe/x", "unsafe", nil)
				stream := env.stream(t.Context(), "stream", rawEvents)
				if took := time.Since(began); took > time.Second {
					t.Errorf("the callers waited %v", took)
				}
				if unsafe.err != nil || unsafe.status != http.StatusBadGateway || unsafe.header.Get("X-Pimentohinge-Response-Stamp") != "" {
					t.Errorf("unsafe: status %d, body %q, %v; want 502", unsafe.status, unsafe.body, unsafe.err)
				}
				// The events before a trailer have been passed on.
				if broken := stream.status == http.StatusBadGateway || raw.inTrailer && stream.err != nil; !broken {
					t.Errorf("stream: status %d, %d events, %v; want 502", stream.status, len(stream.events), stream.err)
				}
				for _, attempt := range []string{"unsafe", "stream"} {
					if runs := len(env.upstreams.Runs(attempt)); runs != 1 {
						t.Errorf("%s ran %d times", attempt, runs)
					}
				}
				env.startPlain("p-2", nil)
				time.Sleep(time.Second)
				if resp := env.call(t.Context(), http.MethodGet, "/safe/x", "safe", nil); resp.status != http.StatusOK || resp.body != upstream.ResponseBody("safe") {
					t.Errorf("a safe request got status %d, body %q, %v", resp.status, resp.body, resp.err)
				}
			})
		})
	}
}

// TestValidFieldsAreAccepted sends fields that RFC 9110 allows, and one that is folded over two lines.
func TestValidFieldsAreAccepted(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~09azAZ"
	for name, c := range map[string]struct {
		raw    rawResponse
		header string
		want   string
	}{
		"all characters of a name": {rawResponse{field: token + ": a"}, token, "a"},
		"in chunks":                {rawResponse{field: token + ":a", chunked: true}, token, "a"},
		"blanks around a value":    {rawResponse{field: "X-Even: \t a b\tc \t"}, "X-Even", "a b\tc"},
		"empty value":              {rawResponse{field: "X-Even:"}, "X-Even", ""},
		"folded":                   {rawResponse{field: "X-Even: a\r\n b"}, "X-Even", "a b"},
		"trailer":                  {rawResponse{field: "X-Even: a", inTrailer: true, chunked: true}, "X-Even", ""},
		"announced trailer":        {rawResponse{field: "Trailer: X-Even, X Odd", chunked: true}, "X-Even", ""},
		"interim response":         {rawResponse{interim: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n", field: "X-Even: a"}, "X-Even", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(t *testing.T, env *testEnv) {
				env.startRawReplicas(c.raw)
				resp := env.call(t.Context(), http.MethodPost, "/unsafe/x", "unsafe", nil)
				if resp.err != nil || resp.status != http.StatusOK || resp.body != upstream.ResponseBody("unsafe") {
					t.Errorf("status %d, body %q, %v", resp.status, resp.body, resp.err)
				}
				got := strings.Join(resp.header[http.CanonicalHeaderKey(c.header)], ",")
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("field %s (-want +got):\n%s", c.header, diff)
				}
				env.requireComplete(env.stream(t.Context(), "stream", rawEvents), rawEvents)
			})
		})
	}
}
