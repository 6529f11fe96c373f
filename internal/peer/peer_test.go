package peer_test

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/peer"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// heard is what one side of a link got.
type heard struct {
	from wire.VM
	f    wire.Frame
}

// newLinks starts the links of one VM over loopback.
func newLinks(t *testing.T, name, key string) (*peer.Links, wire.VM, chan heard, chan wire.Frame) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	got, lost := make(chan heard, 10), make(chan wire.Frame, 10)
	vm := wire.VM{Name: name, PeerAddress: ln.Addr().String()}
	l := peer.New(peer.Options{
		Self: vm, Incarnation: 1, Key: key, Client: http.DefaultClient, Scheme: "ws",
		Met:         func(wire.VM) {},
		Heard:       func(from wire.VM, f wire.Frame) { got <- heard{from, f} },
		Unreachable: func(_ string, f wire.Frame) { lost <- f },
	})
	mux := http.NewServeMux()
	mux.Handle(peer.Path, l)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() {
		_ = s.Close()
		l.Close()
	})
	return l, vm, got, lost
}

func ask(id string) wire.Frame {
	return wire.Frame{ReserveAsk: &wire.ReserveAsk{Id: id, Engine: "e", PromptTokens: 7}}
}

func TestFramesArriveBothWays(t *testing.T) {
	a, vmA, gotA, _ := newLinks(t, "a", "0123456789abcdef")
	b, vmB, gotB, _ := newLinks(t, "b", "0123456789abcdef")
	a.Send(vmB, ask("1"))
	if diff := cmp.Diff(heard{vmA, ask("1")}, <-gotB, cmp.AllowUnexported(heard{})); diff != "" {
		t.Error(diff)
	}
	b.Send(vmA, ask("2"))
	if diff := cmp.Diff(heard{vmB, ask("2")}, <-gotA, cmp.AllowUnexported(heard{})); diff != "" {
		t.Error(diff)
	}
}

func TestStrangersAreRefused(t *testing.T) {
	a, _, _, lost := newLinks(t, "a", "0123456789abcdef")
	_, vmB, gotB, _ := newLinks(t, "b", "another-key-0123")
	a.Send(vmB, ask("1"))
	if diff := cmp.Diff(ask("1"), <-lost); diff != "" {
		t.Error(diff)
	}
	if len(gotB) != 0 {
		t.Error("a frame of a VM without the key was heard")
	}
}

func TestImpostorsAreRefused(t *testing.T) {
	a, _, _, lost := newLinks(t, "a", "0123456789abcdef")
	_, vmB, _, _ := newLinks(t, "b", "0123456789abcdef")
	vmB.Name = "c"
	a.Send(vmB, ask("1"))
	if diff := cmp.Diff(ask("1"), <-lost); diff != "" {
		t.Error(diff)
	}
}

func FuzzDecode(f *testing.F) {
	for _, frame := range []wire.Frame{
		{},
		ask("1"),
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

// refuser is a transport on which nothing can be reached.
type refuser struct{}

func (refuser) RoundTrip(*http.Request) (*http.Response, error) { return nil, net.ErrClosed }

// TestNoFrameIsForgotten sends frames from several goroutines while links fail
// and are dropped: each frame is reported as unreachable.
func TestNoFrameIsForgotten(t *testing.T) {
	const senders, each = 8, 5000
	var lost atomic.Int64
	l := peer.New(peer.Options{
		Self: wire.VM{Name: "a"}, Incarnation: 1, Key: "0123456789abcdef", Scheme: "ws",
		Client: &http.Client{Transport: refuser{}},
		Met:    func(wire.VM) {}, Heard: func(wire.VM, wire.Frame) {},
		Unreachable: func(string, wire.Frame) { lost.Add(1) },
	})
	var wg sync.WaitGroup
	for range senders {
		wg.Go(func() {
			for range each {
				l.Send(wire.VM{Name: "b", PeerAddress: "10.0.0.1:80"}, ask("1"))
			}
		})
	}
	wg.Wait()
	l.Close()
	if got := lost.Load(); got != senders*each {
		t.Errorf("%d of %d frames were reported", got, senders*each)
	}
}
