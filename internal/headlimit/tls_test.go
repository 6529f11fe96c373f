package headlimit_test

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/headlimit"
)

// serveTLS starts an http.Server with TLS whose requests last until the test ends. It returns its
// address, the settings of its clients and a channel that gets an element for each request.
func serveTLS(t *testing.T, l *headlimit.Limiter) (addr string, client *tls.Config, requests <-chan struct{}) {
	t.Helper()
	example := httptest.NewTLSServer(nil)
	t.Cleanup(example.Close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done, started := make(chan struct{}), make(chan struct{}, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-done
	})}
	go func() { _ = l.Serve(server, ln, &tls.Config{Certificates: example.TLS.Certificates}) }()
	t.Cleanup(func() {
		close(done)
		_ = server.Close()
	})
	transport, _ := example.Client().Transport.(*http.Transport)
	client = transport.TLSClientConfig.Clone()
	client.ServerName = "example.com"
	return ln.Addr().String(), client, started
}

// TestHeadsOverTLSAreCounted fills the memory with a head over TLS, so that the next one is refused.
func TestHeadsOverTLSAreCounted(t *testing.T) {
	l := newLimiter(300_000)
	addr, config, requests := serveTLS(t, l)
	send := func(text string) net.Conn {
		conn, err := tls.Dial("tcp", addr, config)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	send(largeHead + "\r\n")
	<-requests
	if used := l.Used(); used < 100_000 || used > 200_000 {
		t.Errorf("the head takes %d bytes", used)
	}
	refused := send(largeHead + "\r\n")
	_ = refused.SetReadDeadline(time.Now().Add(10 * time.Second))
	got, _ := io.ReadAll(refused)
	if diff := cmp.Diff(refusal, string(got)); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	ordinary := send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-requests
	_ = ordinary.Close()
}

// TestHeldBackHandshakesGiveWay sends parts of TLS handshakes that take more memory than there is.
func TestHeldBackHandshakesGiveWay(t *testing.T) {
	l := headlimit.New(headlimit.Options{MaxConns: 100, MemoryBytes: 1 << 20, Refusal: []byte(refusal)})
	addr, config, requests := serveTLS(t, l)
	const recordBytes = 16_000
	hello := "\x16\x03\x01\x3e\x80\x01\x00\xfa\x00" + strings.Repeat("x", recordBytes-4)
	for range 50 {
		receive := dialAndSend(t, addr, hello)
		go receive()
	}
	for l.Counts().EvictedHeads == 0 {
		time.Sleep(time.Millisecond)
	}
	if used := l.Used(); used > 1<<20 {
		t.Errorf("handshakes take %d bytes", used)
	}
	conn, err := tls.Dial("tcp", addr, config)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-requests
}
