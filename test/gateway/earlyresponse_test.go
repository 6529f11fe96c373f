package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

const (
	// uploadBytes do not fit into the buffers of a connection whose listener has readBufferBytes.
	uploadBytes     = 4 << 20
	readBufferBytes = 16 << 10
	// earlyRounds is how often each request is tried, as the reader and the writer of a VM race.
	earlyRounds = 32
	// loopbackPorts is added to the ports of the tests.
	loopbackPorts = 20_000
)

// loopbackNetwork is TCP on loopback. The address 10.a.b.c:p stands for 127.a.b.c and another port.
// Listeners have small buffers.
type loopbackNetwork struct{ network.TCP }

func loopbackAddress(addr string) string {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	n, _ := strconv.Atoi(port)
	return net.JoinHostPort("127"+strings.TrimPrefix(host, "10"), strconv.Itoa(loopbackPorts+n))
}

// Listen opens a listener.
func (n loopbackNetwork) Listen(addr string) (net.Listener, error) {
	ln, err := n.TCP.Listen(loopbackAddress(addr))
	if err != nil {
		return nil, err
	}
	return ln, network.SetReadBuffer(ln, readBufferBytes)
}

// Dial opens a connection.
func (n loopbackNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return n.TCP.Dial(ctx, loopbackAddress(addr))
}

// TestEarlyResponseToAnUpload guards against MIXED and ORDER: a replica responds to a long request before it
// has read its body, without a length or chunks. If it resets the connection, no caller may get the
// part that it sent as a complete response; if it ends the connection in order, the response is complete.
func TestEarlyResponseToAnUpload(t *testing.T) {
	env := newEnv(t)
	env.bodyBytes = uploadBytes
	env.run(func(t *testing.T, env *testEnv) {
		fault := func(attempt string) upstream.Fault {
			if strings.HasPrefix(attempt, "reset") {
				return upstream.ResetsEarly
			}
			return upstream.EndsEarly
		}
		env.startPlain("p-1", fault)
		env.startFaultyEngine("e-1", "a", fault)
		upload := strings.Repeat("x", uploadBytes)
		for i := range earlyRounds {
			for _, ends := range []string{"reset", "sound"} {
				unsafe, stream := fmt.Sprintf("%s-unsafe-%d", ends, i), fmt.Sprintf("%s-stream-%d", ends, i)
				plain := env.callWithBody(t.Context(), http.MethodPost, "/unsafe/x", unsafe, nil, upload)
				events := env.callWithBody(t.Context(), http.MethodPost, "/report/x", stream, http.Header{"X-Pimentohinge-Token-Usage": {"10,40"}}, upload)
				for _, attempt := range []string{unsafe, stream} {
					if runs := len(env.upstreams.Runs(attempt)); runs != 1 {
						t.Errorf("%s ran %d times", attempt, runs)
					}
				}
				if ends == "sound" {
					if plain.err != nil || plain.status != http.StatusOK || plain.body != upstream.ResponseBody(unsafe) {
						t.Errorf("%s: status %d, body %q, %v; want the response", unsafe, plain.status, plain.body, plain.err)
					}
					env.requireComplete(events, upstream.RawStreamEvents)
					continue
				}
				if plain.err != nil || plain.status != http.StatusBadGateway {
					t.Errorf("%s: status %d, body %q, %v; want 502", unsafe, plain.status, plain.body, plain.err)
				}
				if events.err == nil && events.status == http.StatusOK {
					t.Errorf("%s: a complete stream of %d events", stream, len(events.events))
				}
			}
		}
	})
}
