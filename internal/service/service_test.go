package service_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/readlimit"
	"github.com/pimentohinge/pimentohinge/internal/service"
)

// maxMemory is the memory for responses.
const maxMemory = 64 << 20

// startBackend serves each connection with a function of the test and returns the
// address.
func startBackend(t *testing.T, handle func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

func response(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func do(t *testing.T, client *service.Client, address, path string) (service.Response, outcome.Result) {
	t.Helper()
	return client.Do(t.Context(), service.Call{Address: address, Method: http.MethodPost, Path: path, RequestID: "r-" + path})
}

// TestLateSecondCopyIsNotTheNextResponse sends each response once more when the next
// request arrives on the same connection. The next call must not get it.
func TestLateSecondCopyIsNotTheNextResponse(t *testing.T) {
	address := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		previous := ""
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			next := response("of " + req.URL.Path)
			_, _ = io.WriteString(c, previous+next)
			previous = next
		}
	})
	client := service.New(network.Client(network.TCP{}), readlimit.New(maxMemory, nil))
	for _, path := range []string{"/a", "/b", "/c"} {
		if got, result := do(t, client, address, path); result.Kind != outcome.Finished || string(got.Body) != "of "+path {
			t.Errorf("%s got %q, %+v", path, got.Body, result)
		}
	}
}

// TestLongResponsesAreNotCut checks that a body beyond the limit ends the call with an
// error instead of being delivered in part, and that a header without end does too.
func TestLongResponsesAreNotCut(t *testing.T) {
	for _, c := range []struct {
		name, start, repeated string
		repeats               int
		kind                  outcome.Kind
		cause                 outcome.Cause
	}{
		{"longest", "HTTP/1.1 200 OK\r\n\r\n", "x", service.MaxResponseBytes, outcome.Finished, outcome.None},
		{"tooLong", "HTTP/1.1 200 OK\r\n\r\n", "x", service.MaxResponseBytes + 1, outcome.Unknown, outcome.BrokenResponse},
		{"announcedTooLong", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x", 1, outcome.Unknown, outcome.BrokenResponse},
		{"headerWithoutEnd", "HTTP/1.1 200 OK\r\nX-Name: ", "x", 64 << 20, outcome.Unknown, outcome.ServiceLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := startBackend(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(conn, c.start)
					_, _ = io.Copy(conn, strings.NewReader(strings.Repeat(c.repeated, c.repeats)))
				}
			})
			got, result := do(t, service.New(network.Client(network.TCP{}), readlimit.New(maxMemory, nil)), address, "/a")
			if result.Kind != c.kind || result.Cause != c.cause {
				t.Errorf("got %d bytes, %+v, want %s, %q", len(got.Body), result, c.kind, c.cause)
			}
			if result.Kind == outcome.Finished && len(got.Body) != c.repeats {
				t.Errorf("got %d of %d bytes", len(got.Body), c.repeats)
			}
		})
	}
}

// TestResponseThatStopsInItsHeader closes the connection in the middle of the header of a
// response. The call may have run, and has no response.
func TestResponseThatStopsInItsHeader(t *testing.T) {
	header := strings.TrimSuffix(response(""), "0\r\n\r\n") + "12\r\nConnection: close\r\n\r\n"
	client := service.New(network.Client(network.TCP{}), readlimit.New(maxMemory, nil))
	for end := range len(header) {
		address := startBackend(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, header[:end])
			}
		})
		if resp, o := do(t, client, address, "/x"); o.Kind != outcome.Unknown {
			t.Errorf("%q: %+v, %+v; want an unknown outcome", header[:end], resp, o)
		}
	}
}

// TestStatusThatIsNoneIsNoResponse lets a backend send a status that does not exist.
func TestStatusThatIsNoneIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		address := startBackend(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" None\r\nContent-Length: 2\r\n\r\nok")
			}
		})
		resp, result := do(t, service.New(network.Client(network.TCP{}), readlimit.New(maxMemory, nil)), address, "/x")
		if result.Kind != outcome.Unknown || result.Cause != outcome.BrokenResponse || resp.Status != 0 {
			t.Errorf("status %s: %+v, %+v", status, resp, result)
		}
	}
}

// TestInvalidFieldNameIsNoResponse lets a backend send invalid field names.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nX Odd: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Odd : a\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX Odd: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	} {
		address := startBackend(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, response)
			}
		})
		resp, result := do(t, service.New(network.Client(network.TCP{}), readlimit.New(maxMemory, nil)), address, "/x")
		if result.Kind != outcome.Unknown || result.Cause != outcome.BrokenResponse || resp.Status != 0 {
			t.Errorf("%q: %+v, %+v", response, resp, result)
		}
	}
}

// TestResponsesTakeMemoryUntilTheyAreReleased reads a response while another one takes the memory.
func TestResponsesTakeMemoryUntilTheyAreReleased(t *testing.T) {
	const length = 20_000
	address := startBackend(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length))
		}
	})
	client := service.New(network.Client(network.TCP{}), readlimit.New(3*length/2, nil))
	first, result := do(t, client, address, "/a")
	if result.Kind != outcome.Finished || len(first.Body) != length {
		t.Fatalf("first: %d bytes, %+v", len(first.Body), result)
	}
	if second, result := do(t, client, address, "/a"); result.Kind != outcome.Unknown {
		t.Errorf("second: %d bytes, %+v", len(second.Body), result)
	}
	first.Release()
	if third, result := do(t, client, address, "/a"); result.Kind != outcome.Finished {
		t.Errorf("third: %d bytes, %+v", len(third.Body), result)
	}
}
