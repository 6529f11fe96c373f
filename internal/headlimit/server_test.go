package headlimit_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/headlimit"
)

// limitedListener passes the connections of a listener through a limiter.
type limitedListener struct {
	net.Listener
	limiter *headlimit.Limiter
}

func (l limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.limiter.Wrap(conn), nil
}

// serve starts an http.Server whose requests last until the test ends. It returns its address and a
// channel that gets an element for each request.
func serve(t *testing.T, l *headlimit.Limiter) (addr string, requests <-chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done, started := make(chan struct{}), make(chan struct{}, 1)
	server := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			started <- struct{}{}
			<-done
		}),
		ConnState:         l.State,
		ReadHeaderTimeout: 200 * time.Millisecond,
	}
	go func() { _ = server.Serve(limitedListener{ln, l}) }()
	t.Cleanup(func() {
		close(done)
		_ = server.Close()
	})
	return ln.Addr().String(), started
}

// dialAndSend sends a text on a new connection and returns a function that reads until its end.
func dialAndSend(t *testing.T, addr, text string) (receive func() string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return func() string {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		var got bytes.Buffer
		_, _ = io.Copy(&got, conn)
		return got.String()
	}
}

// awaitUsed waits until the heads on the connections of a limiter take some memory.
func awaitUsed(t *testing.T, l *headlimit.Limiter, atLeast int64) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); l.Used() < atLeast; {
		if time.Now().After(deadline) {
			t.Fatalf("the heads take %d bytes", l.Used())
		}
		time.Sleep(time.Millisecond)
	}
}

// largeHead is a legal head that takes about 130 kB of a limiter's memory.
var largeHead = "GET / HTTP/1.1\r\nHost: a\r\n" + shortLines

// TestRefusedHeadGetsOnlyTheRefusal refuses a legal head in the middle of a line.
func TestRefusedHeadGetsOnlyTheRefusal(t *testing.T) {
	l := newLimiter(300_000)
	addr, requests := serve(t, l)
	dialAndSend(t, addr, largeHead+"\r\n")
	<-requests
	// The buffer into which the server reads ends in the name of the long line.
	head := "GET / HTTP/1.1\r\nHost: a\r\nValue: " + strings.Repeat("b", 3700) + "\r\n" + strings.Repeat("n", 600) + ":\r\n" + shortLines + "\r\n"
	if diff := cmp.Diff(refusal, dialAndSend(t, addr, head)()); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
}

// TestSlowHeadGetsNoResponse holds back the rest of a line of a legal head until the server gives up.
func TestSlowHeadGetsNoResponse(t *testing.T) {
	addr, _ := serve(t, newLimiter(300_000))
	if got := dialAndSend(t, addr, "GET / HTTP/1.1\r\nHost: a\r\nPart-of-a-li")(); got != "" {
		t.Errorf("got %q", got)
	}
}

// TestEvictedHeadGetsNoResponse closes a connection in the middle of a line of a legal head.
func TestEvictedHeadGetsNoResponse(t *testing.T) {
	l := newLimiter(300_000)
	addr, _ := serve(t, l)
	held := dialAndSend(t, addr, largeHead+"Part-of-a-li")
	awaitUsed(t, l, 100_000)
	dialAndSend(t, addr, largeHead)
	if got := held(); got != "" {
		t.Errorf("got %q", got)
	}
}

// TestMalformedHeadIsAnswered sends a whole head that is not legal.
func TestMalformedHeadIsAnswered(t *testing.T) {
	addr, _ := serve(t, newLimiter(300_000))
	if got := dialAndSend(t, addr, "GET / HTTP/1.1\r\nHost: a\r\nNo colon\r\n\r\n")(); !strings.HasPrefix(got, "HTTP/1.1 400 ") {
		t.Errorf("got %q", got)
	}
}
