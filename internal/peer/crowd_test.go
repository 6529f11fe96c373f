package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/peer"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	// maxUnproven is the number of clients that may be in the handshake at once.
	maxUnproven = 4
	crowdSize   = 3 * maxUnproven
)

// openUnproven opens connections to a VM whose clients send no hello, and returns a channel that gets
// the error with which each ends.
func openUnproven(t *testing.T, vm wire.VM) <-chan error {
	t.Helper()
	ended := make(chan error, crowdSize)
	for range crowdSize {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		conn, resp, err := websocket.Dial(ctx, "ws://"+vm.PeerAddress+peer.Path, nil)
		if err != nil {
			ended <- err
			continue
		}
		_ = resp.Body
		t.Cleanup(func() { _ = conn.CloseNow() })
		go func() {
			_, _, err := conn.Read(context.WithoutCancel(ctx))
			ended <- err
		}()
	}
	return ended
}

// TestLinksBesideClientsWithoutKey checks that clients that do not prove who they are neither close
// open links nor keep other VMs out.
func TestLinksBesideClientsWithoutKey(t *testing.T) {
	a, _, _, _ := newLinks(t, "a", "0123456789abcdef")
	_, vmB, receivedB, _ := newLinks(t, "b", "0123456789abcdef")
	c, _, _, _ := newLinks(t, "c", "0123456789abcdef")
	a.Send(vmB, reserveFrame("1"))
	<-receivedB
	ended := openUnproven(t, vmB)
	for range crowdSize - maxUnproven {
		if err := <-ended; err == nil {
			t.Error("a client without the key got a message")
		}
	}
	for _, links := range []*peer.Links{a, c} {
		links.Send(vmB, reserveFrame("2"))
		if diff := cmp.Diff(reserveFrame("2"), (<-receivedB).frame); diff != "" {
			t.Error(diff)
		}
	}
}

// TestLongHelloIsRefused sends a first message that is longer than any hello.
func TestLongHelloIsRefused(t *testing.T) {
	_, vm, _, _ := newLinks(t, "a", "0123456789abcdef")
	conn, resp, err := websocket.Dial(t.Context(), "ws://"+vm.PeerAddress+peer.Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body
	if err := conn.Write(t.Context(), websocket.MessageBinary, make([]byte, 64<<10)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := conn.Read(t.Context()); websocket.CloseStatus(err) != websocket.StatusMessageTooBig {
		t.Errorf("the connection ended with %v", err)
	}
}
