package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// sendPart sends a request of which the last bytes of the body are missing.
func sendPart(t *testing.T, conn net.Conn, missing int) {
	t.Helper()
	const body = "0123456789"
	_, err := fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: acme.example\r\nAuthorization: Token %s\r\nX-Pimentohinge-Attempt-Id: slow-1\r\n"+
		"X-Pimentohinge-Deadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n%s", apiKey, len(body), body[:len(body)-missing])
	if err != nil {
		t.Fatal(err)
	}
}

// requireTimeout fails the test unless a response says that the request timed out and that the
// connection closes.
func requireTimeout(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusRequestTimeout || !resp.Close {
		t.Errorf("status %d, connection closes: %v", resp.StatusCode, resp.Close)
	}
}

// TestSlowBodyIsRefused guards against callers that wait for a response and get none: the body of
// a request does not arrive in time.
func TestSlowBodyIsRefused(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		env.startPlain("p-1", nil)
		conn, err := env.network.Host("10.3.0.1").Dial(t.Context(), callersAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		sendPart(t, conn, 5)
		requireTimeout(t, conn)
		if env.logs.count("cause=slowBody") != 1 || env.logs.count("cause=callerGone") != 0 {
			t.Error("the log does not name the slow body as the cause")
		}
		if runs := env.upstreams.Runs("slow-1"); len(runs) > 0 {
			t.Errorf("the request ran %d times", len(runs))
		}
	})
}

// TestCallerThatLeavesInItsBodyIsNotSlow checks that a caller that closes the connection while it
// sends a body counts as gone.
func TestCallerThatLeavesInItsBodyIsNotSlow(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		env.startPlain("p-1", nil)
		conn, err := env.network.Host("10.3.0.1").Dial(t.Context(), callersAddr)
		if err != nil {
			t.Fatal(err)
		}
		sendPart(t, conn, 5)
		time.Sleep(100 * time.Millisecond)
		_ = conn.Close()
		time.Sleep(100 * time.Millisecond)
		if env.logs.count("cause=callerGone") != 1 || env.logs.count("cause=slowBody") != 0 {
			t.Error("the log does not name the caller's end as the cause")
		}
	})
}
