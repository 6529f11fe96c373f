package replica_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/replica"
)

// reserveTimeout bounds the waits of these tests.
const reserveTimeout = 5 * time.Second

// reserve returns a reserved connection and the server's end of it.
func reserve(t *testing.T) (*replica.Reserved, net.Conn, *replica.Pool) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := ln.Accept()
		if err == nil {
			accepted <- conn
		}
	}()
	pool := replica.New(network.TCP{})
	reserved, err := pool.Reserve(t.Context(), instanceAt(ln.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	conn := <-accepted
	t.Cleanup(func() {
		reserved.Close()
		_ = conn.Close()
	})
	return reserved, conn, pool
}

// respond reads a request on the server's end and sends bytes.
func respond(t *testing.T, conn net.Conn, response string) {
	t.Helper()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		t.Error(err)
	}
	_, _ = io.WriteString(conn, response)
}

func post() *replica.Request {
	return &replica.Request{Method: http.MethodPost, Target: "/stop", Host: "h", Header: http.Header{}}
}

// TestReservedConnectionCarriesRequestsAfterItsListenerClosed sends two requests on a
// connection whose server takes no new ones.
func TestReservedConnectionCarriesRequestsAfterItsListenerClosed(t *testing.T) {
	reserved, conn, _ := reserve(t)
	go func() {
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}")
		}
	}()
	for range 2 {
		resp, err := reserved.Send(t.Context(), post())
		for errors.Is(err, replica.ErrNotSent) && !reserved.IsClosed() {
			// The end of writing the request before has not been recorded yet.
			time.Sleep(time.Millisecond)
			resp, err = reserved.Send(t.Context(), post())
		}
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp); err != nil || string(body) != "{}" {
			t.Fatalf("read %q, error %v", body, err)
		}
	}
	if reserved.IsClosed() || !reserved.ClosedAt().IsZero() {
		t.Error("the connection counts as closed")
	}
}

// TestClosingOfReservedConnection checks that only a server that closes the idle connection
// counts as having closed it.
func TestClosingOfReservedConnection(t *testing.T) {
	t.Run("idle", func(t *testing.T) {
		reserved, conn, _ := reserve(t)
		_ = conn.Close()
		if !reserved.AwaitClose(t.Context(), reserveTimeout) || time.Since(reserved.ClosedAt()) > reserveTimeout {
			t.Errorf("closed at %v", reserved.ClosedAt())
		}
		if _, err := reserved.Send(t.Context(), post()); !errors.Is(err, replica.ErrNotSent) {
			t.Errorf("error of a request: %v", err)
		}
	})
	t.Run("in use", func(t *testing.T) {
		reserved, conn, pool := reserve(t)
		go func() {
			respond(t, conn, "")
			// It may lead to another process than the requests of Send.
			if n := pool.OpenInUse(instanceAt(conn.LocalAddr().String())); n != 0 {
				t.Errorf("%d connections in use", n)
			}
			_ = conn.Close()
		}()
		if _, err := reserved.Send(t.Context(), post()); !errors.Is(err, replica.ErrNoResponse) {
			t.Errorf("error of a request: %v", err)
		}
		if !reserved.IsClosed() || !reserved.ClosedAt().IsZero() || pool.OpenInUse(instanceAt(conn.LocalAddr().String())) > 0 {
			t.Errorf("closed at %v", reserved.ClosedAt())
		}
	})
	t.Run("by the caller", func(t *testing.T) {
		reserved, _, _ := reserve(t)
		reserved.Close()
		if !reserved.IsClosed() || !reserved.ClosedAt().IsZero() {
			t.Errorf("closed at %v", reserved.ClosedAt())
		}
	})
	t.Run("bytes that nobody asked for", func(t *testing.T) {
		reserved, conn, _ := reserve(t)
		_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		if !reserved.AwaitClose(t.Context(), reserveTimeout) || !reserved.ClosedAt().IsZero() {
			t.Errorf("closed at %v", reserved.ClosedAt())
		}
	})
	t.Run("by the end of a request's context", func(t *testing.T) {
		reserved, conn, _ := reserve(t)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			respond(t, conn, "")
			cancel()
		}()
		if _, err := reserved.Send(ctx, post()); !errors.Is(err, replica.ErrNoResponse) {
			t.Errorf("error of a request: %v", err)
		}
		if !reserved.AwaitClose(t.Context(), reserveTimeout) || !reserved.ClosedAt().IsZero() {
			t.Errorf("closed at %v", reserved.ClosedAt())
		}
	})
}
