package replica_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/replica"
)

const (
	// uploadBytes do not fit into the buffers of a connection whose listener has readBufferBytes.
	uploadBytes     = 8 << 20
	readBufferBytes = 16 << 10
	// settleTime is how long a reset takes at most to be seen on loopback.
	settleTime = 100 * time.Millisecond
	// raceRounds is how often a case is tried whose reader and writer race.
	raceRounds = 20
)

// How a response is framed, up to the last byte that is sent of it.
const (
	responseHead = "HTTP/1.1 200 OK\r\nX-Pimentohinge-Attempt-Id: a\r\nX-Pimentohinge-Response-Stamp: s\r\n"
	unframed     = responseHead + "\r\nbody"
	counted      = responseHead + "Content-Length: 4\r\n\r\nbody"
	countedPart  = responseHead + "Content-Length: 9\r\n\r\nbody"
	chunked      = responseHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	chunkedPart  = responseHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
)

// connectionEnd ends a connection whose request has not been read beyond its header.
type connectionEnd func(c *net.TCPConn, request *http.Request)

func resetConn(c *net.TCPConn, _ *http.Request) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// closeUnread closes the connection. The kernel resets it, as bytes are unread.
func closeUnread(c *net.TCPConn, _ *http.Request) { _ = c.Close() }

// endThenReset closes the direction of the response first.
func endThenReset(c *net.TCPConn, request *http.Request) {
	_ = c.CloseWrite()
	time.Sleep(settleTime)
	resetConn(c, request)
}

// endAndReadOn closes the direction of the response and reads the request to its end.
func endAndReadOn(c *net.TCPConn, request *http.Request) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, request.Body)
}

// readThenReset reads the request to its end and resets the connection.
func readThenReset(c *net.TCPConn, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	time.Sleep(settleTime)
	resetConn(c, request)
}

// readEndThenReset reads the request to its end, closes the direction of the response and resets
// the connection after that.
func readEndThenReset(c *net.TCPConn, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	endThenReset(c, request)
}

// startEarlyReplica starts a replica that responds once it has read the header of a request, and then
// ends the connection.
func startEarlyReplica(t *testing.T, response string, end connectionEnd) *scriptedReplica {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	if err := network.SetReadBuffer(ln, readBufferBytes); err != nil {
		t.Fatal(err)
	}
	server := &scriptedReplica{address: ln.Addr().String()}
	go server.accept(ln, func(_ int64, c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, response)
		end(c.(*net.TCPConn), request)
	})
	return server
}

// TestEarlyResponseToAnUpload guards against MIXED: a replica responds to a long request that is still being
// sent, and the connection ends. The response is complete if its framing shows so, or if it has none
// and the connection ended in order.
func TestEarlyResponseToAnUpload(t *testing.T) {
	for _, c := range []struct {
		name     string
		response string
		end      connectionEnd
		want     error // of the body
	}{
		{"unframed, reset", unframed, resetConn, replica.ErrTruncated},
		{"unframed, closed unread", unframed, closeUnread, replica.ErrTruncated},
		{"unframed, ended, reset while the request is sent", unframed, endThenReset, replica.ErrTruncated},
		{"unframed, request read, reset", unframed, readThenReset, replica.ErrTruncated},
		{"unframed, ended, request read", unframed, endAndReadOn, nil},
		{"unframed, request read, ended, reset", unframed, readEndThenReset, nil},
		{"counted, reset", counted, resetConn, nil},
		{"chunked, reset", chunked, resetConn, nil},
		{"part of a counted one, reset", countedPart, resetConn, replica.ErrTruncated},
		{"part of a chunked one, reset", chunkedPart, resetConn, replica.ErrTruncated},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := startEarlyReplica(t, c.response, c.end)
			for range raceRounds {
				if body, err := sendBody(t, replica.New(network.TCP{}), server, strings.Repeat("x", uploadBytes)); !errors.Is(err, c.want) {
					t.Fatalf("body %q, error %v; want %v", body, err, c.want)
				}
			}
		})
	}
}

// TestResetIsReportedToTheWriter reads a body only after the write of the request has failed by the
// reset, so that the kernel reports it to nobody else.
func TestResetIsReportedToTheWriter(t *testing.T) {
	reset := make(chan struct{})
	server := startEarlyReplica(t, unframed, func(c *net.TCPConn, request *http.Request) {
		<-reset
		resetConn(c, request)
	})
	resp, err := replica.New(network.TCP{}).Send(t.Context(), instanceAt(server.address), request("a", strings.Repeat("x", uploadBytes)))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if _, err := io.ReadFull(resp, make([]byte, len("body"))); err != nil {
		t.Fatal(err)
	}
	close(reset)
	time.Sleep(settleTime)
	if rest, err := io.ReadAll(resp); !errors.Is(err, replica.ErrTruncated) {
		t.Errorf("read %q, error %v; want %v", rest, err, replica.ErrTruncated)
	}
}

// TestFramedEarlyResponseDoesNotWait reads responses whose framing shows their end while the replica
// does not read the request.
func TestFramedEarlyResponseDoesNotWait(t *testing.T) {
	for name, response := range map[string]string{"counted": counted, "chunked": chunked} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			t.Cleanup(func() { close(release) })
			server := startEarlyReplica(t, response, func(*net.TCPConn, *http.Request) { <-release })
			began := time.Now()
			body, err := sendBody(t, replica.New(network.TCP{}), server, strings.Repeat("x", uploadBytes))
			if took := time.Since(began); body != "body" || err != nil || took > time.Second {
				t.Errorf("body %q, error %v, after %v", body, err, took)
			}
		})
	}
}

// TestResetIsReportedToAPeek guards against MIXED: a look at the open connections gets the error of a reset
// before the body of a response without a length is read to its end.
func TestResetIsReportedToAPeek(t *testing.T) {
	reset := make(chan struct{})
	server := startEarlyReplica(t, unframed, func(c *net.TCPConn, request *http.Request) {
		<-reset
		resetConn(c, request)
	})
	pool := replica.New(network.TCP{})
	resp, err := pool.Send(t.Context(), instanceAt(server.address), request("a", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if _, err := io.ReadFull(resp, make([]byte, len("body"))); err != nil {
		t.Fatal(err)
	}
	if open := pool.OpenInUse(instanceAt(server.address)); open != 1 {
		t.Errorf("%d open connections, want 1", open)
	}
	close(reset)
	time.Sleep(settleTime)
	if open := pool.OpenInUse(instanceAt(server.address)); open != 0 {
		t.Errorf("%d open connections after the reset, want 0", open)
	}
	if rest, err := io.ReadAll(resp); !errors.Is(err, replica.ErrTruncated) {
		t.Errorf("read %q, error %v; want %v", rest, err, replica.ErrTruncated)
	}
}
