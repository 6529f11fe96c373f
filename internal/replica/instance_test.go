package replica_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/replica"
)

// instanceAt is an instance of which only the address is known.
func instanceAt(address string) backend.Instance { return backend.Instance{Address: address} }

// serveNumbered answers each request with the number of its connection.
func serveNumbered(ln net.Listener) {
	for number := 1; ; number++ {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Pimentohinge-Attempt-Id: %s\r\nContent-Length: 1\r\n\r\n%d", req.Header.Get("X-Pimentohinge-Attempt-Id"), number)
			}
		}()
	}
}

// TestSuccessorGetsNoConnectionOfItsPredecessor guards against requests that reach an instance
// which has been replaced: a connection that was in use when another instance took over the
// address leads to the predecessor.
func TestSuccessorGetsNoConnectionOfItsPredecessor(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go serveNumbered(ln)
	predecessor := backend.Instance{ID: "i-1", Address: ln.Addr().String(), StartedUnixMs: 1000}
	successor := backend.Instance{ID: "i-1", Address: ln.Addr().String(), StartedUnixMs: 2000}
	pool := replica.New(network.TCP{})
	open, err := pool.Send(t.Context(), predecessor, request("a", ""))
	if err != nil {
		t.Fatal(err)
	}
	if n := pool.OpenInUse(successor); n != 0 {
		t.Errorf("%d connections of the predecessor count as the successor's", n)
	}
	pool.CloseIdle(predecessor)
	if _, err := io.ReadAll(open); err != nil {
		t.Fatal(err)
	}
	resp, err := pool.Send(t.Context(), successor, request("b", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if body, err := io.ReadAll(resp); err != nil || string(body) != "2" {
		t.Errorf("the request to the successor was sent on connection %s (%v), want a new one", body, err)
	}
}
