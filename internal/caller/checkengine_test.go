package caller_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/network"
)

// closedListenerNetwork is a network with one engine that accepts a number of connections and
// then no more.
type closedListenerNetwork struct {
	network.TCP
	accepts atomic.Int64
}

// Dial opens a connection to the engine, which sends one token on it.
func (n *closedListenerNetwork) Dial(context.Context, string) (net.Conn, error) {
	if n.accepts.Add(-1) < 0 {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	go func() {
		sendOneToken(server)
		if n.accepts.Load() == 0 {
			// The last connection is lost, the others stay open.
			_ = server.Close()
		}
	}()
	return client, nil
}

// TestEngineWithoutListenerIsNotReportedAsEnded guards against sound messages that are
// quarantined: an engine loses a stream while it refuses connections and serves another one.
func TestEngineWithoutListenerIsNotReportedAsEnded(t *testing.T) {
	for _, streams := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			n := &closedListenerNetwork{}
			n.accepts.Store(int64(streams))
			var reported atomic.Int64
			s := newServerReporting(n, "10.0.0.1:1", func(string) { reported.Add(1) })
			ctx, cancel := context.WithCancel(t.Context())
			for range streams {
				go s.Handler().ServeHTTP(&discardWriter{header: http.Header{}}, newStreamRequest().WithContext(ctx))
				synctest.Wait()
			}
			time.Sleep(20 * time.Second)
			want := int64(1)
			if streams == 2 {
				want = 0
			}
			if got := reported.Load(); got != want {
				t.Errorf("%d streams, one of them lost: the engine was reported as ended %d times, want %d", streams, got, want)
			}
			cancel()
			time.Sleep(20 * time.Second)
		})
	}
}
