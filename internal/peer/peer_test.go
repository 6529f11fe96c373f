package peer_test

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/headlimit"
	"github.com/pimentohinge/pimentohinge/internal/peer"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// receivedFrame is one call of OnFrame.
type receivedFrame struct {
	from  wire.VM
	frame wire.Frame
}

// newLinks starts Links for one VM on a loopback listener. It also returns the
// channels of received and undelivered frames.
func newLinks(t *testing.T, name, key string) (*peer.Links, wire.VM, chan receivedFrame, chan wire.Frame) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received, undelivered := make(chan receivedFrame, 10), make(chan wire.Frame, 10)
	vm := wire.VM{Name: name, PeerAddress: ln.Addr().String()}
	links := peer.New(peer.Options{
		Self: vm, Incarnation: 1, SharedKey: key, Client: http.DefaultClient, Scheme: "ws",
		OnConnect:     func(wire.VM) {},
		OnFrame:       func(from wire.VM, frame wire.Frame) { received <- receivedFrame{from, frame} },
		OnUndelivered: func(_ string, frame wire.Frame) { undelivered <- frame },
	})
	mux := http.NewServeMux()
	mux.Handle(peer.Path, links)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	limiter := headlimit.New(headlimit.Options{MaxConns: maxUnproven, MemoryBytes: 1 << 20, Handshakes: true})
	go func() { _ = limiter.Serve(server, ln, nil) }()
	t.Cleanup(func() {
		_ = server.Close()
		links.Close()
	})
	return links, vm, received, undelivered
}

func reserveFrame(id string) wire.Frame {
	return wire.Frame{ReserveAsk: &wire.ReserveAsk{Id: id, Engine: "e", PromptTokens: 7}}
}

func TestFramesAreDeliveredBothWays(t *testing.T) {
	a, vmA, receivedA, _ := newLinks(t, "a", "0123456789abcdef")
	b, vmB, receivedB, _ := newLinks(t, "b", "0123456789abcdef")
	a.Send(vmB, reserveFrame("1"))
	if diff := cmp.Diff(receivedFrame{vmA, reserveFrame("1")}, <-receivedB, cmp.AllowUnexported(receivedFrame{})); diff != "" {
		t.Error(diff)
	}
	b.Send(vmA, reserveFrame("2"))
	if diff := cmp.Diff(receivedFrame{vmB, reserveFrame("2")}, <-receivedA, cmp.AllowUnexported(receivedFrame{})); diff != "" {
		t.Error(diff)
	}
}

func TestPeerWithAnotherKeyIsRefused(t *testing.T) {
	a, _, _, undelivered := newLinks(t, "a", "0123456789abcdef")
	_, vmB, receivedB, _ := newLinks(t, "b", "another-key-0123")
	a.Send(vmB, reserveFrame("1"))
	if diff := cmp.Diff(reserveFrame("1"), <-undelivered); diff != "" {
		t.Error(diff)
	}
	if len(receivedB) != 0 {
		t.Error("received a frame from a VM with another key")
	}
}

func TestPeerWithUnexpectedNameIsRefused(t *testing.T) {
	a, _, _, undelivered := newLinks(t, "a", "0123456789abcdef")
	_, vmB, _, _ := newLinks(t, "b", "0123456789abcdef")
	vmB.Name = "c"
	a.Send(vmB, reserveFrame("1"))
	if diff := cmp.Diff(reserveFrame("1"), <-undelivered); diff != "" {
		t.Error(diff)
	}
}

func FuzzDecode(f *testing.F) {
	for _, frame := range []wire.Frame{
		{},
		reserveFrame("1"),
		{Hello: &wire.Hello{Protocol: 1, Vm: wire.VM{Name: "a"}, Nonce: "n"}},
		{Probe: &wire.Probe{Sequence: 1, Members: []wire.Member{{State: "alive"}}}},
		{Revisions: &wire.Revisions{Snapshot: &wire.Snapshot{Number: 1}}},
	} {
		b, err := peer.Encode(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := peer.Decode(data)
		if err != nil {
			return
		}
		b, err := peer.Encode(frame)
		if err != nil {
			t.Fatal(err)
		}
		again, err := peer.Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(frame, again); diff != "" {
			t.Error(diff)
		}
	})
}

// refusingTransport fails every connection.
type refusingTransport struct{}

func (refusingTransport) RoundTrip(*http.Request) (*http.Response, error) { return nil, net.ErrClosed }

// TestUndeliveredFramesAreReported sends frames from several goroutines while
// links fail and are removed. A frame that is queued on a link during its removal
// must be reported as undelivered like all others.
func TestUndeliveredFramesAreReported(t *testing.T) {
	const senders, framesPerSender = 8, 5000
	var undelivered atomic.Int64
	links := peer.New(peer.Options{
		Self: wire.VM{Name: "a"}, Incarnation: 1, SharedKey: "0123456789abcdef", Scheme: "ws",
		Client:    &http.Client{Transport: refusingTransport{}},
		OnConnect: func(wire.VM) {}, OnFrame: func(wire.VM, wire.Frame) {},
		OnUndelivered: func(string, wire.Frame) { undelivered.Add(1) },
	})
	var wg sync.WaitGroup
	for range senders {
		wg.Go(func() {
			for range framesPerSender {
				links.Send(wire.VM{Name: "b", PeerAddress: "10.0.0.1:80"}, reserveFrame("1"))
			}
		})
	}
	wg.Wait()
	links.Close()
	if got := undelivered.Load(); got != senders*framesPerSender {
		t.Errorf("%d of %d frames were reported as undelivered", got, senders*framesPerSender)
	}
}

// TestFrameWithInvalidUTF8IsDecoded guards against a VM that stops following its peers: a
// string that another program chose is no valid text.
func TestFrameWithInvalidUTF8IsDecoded(t *testing.T) {
	want := wire.Frame{Change: &wire.Change{Prefix: "servers/", Objects: []wire.ChangedObject{{Key: "servers/\xff", Value: "\xfe{"}}}}
	b, err := peer.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := peer.Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
