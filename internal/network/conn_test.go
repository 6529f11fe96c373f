package network_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/network"
)

const (
	// uploadBytes do not fit into the buffers of a connection whose listener has readBufferBytes.
	uploadBytes     = 16 << 20
	readBufferBytes = 16 << 10
	// settleTime is how long a reset takes at most to be seen on loopback.
	settleTime = 200 * time.Millisecond
	// peekRounds is how often a case is tried whose reads and peeks race.
	peekRounds = 200
)

// dialPair opens a TCP connection and returns both ends. The accepted one has a small buffer.
func dialPair(t *testing.T) (dialled net.Conn, accepted *net.TCPConn) {
	t.Helper()
	ln, err := network.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	if err := network.SetReadBuffer(ln, readBufferBytes); err != nil {
		t.Fatal(err)
	}
	dialled, err = network.TCP{}.Dial(t.Context(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialled.Close() })
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return dialled, c.(*net.TCPConn)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// upload writes more than the peer receives in the background. It returns once the peer has received
// the first byte.
func upload(t *testing.T, dialled net.Conn, accepted *net.TCPConn) (result <-chan error) {
	t.Helper()
	done := make(chan error, 1)
	go func() {
		_, err := dialled.Write(make([]byte, uploadBytes))
		done <- err
	}()
	if _, err := io.ReadFull(accepted, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	return done
}

// TestResetThatAWriteReports resets connections beside a write, which gets the error of the reset. The
// bytes received before can be read, and what follows is no proper end.
func TestResetThatAWriteReports(t *testing.T) {
	dialled, accepted := dialPair(t)
	written := upload(t, dialled, accepted)
	_, _ = io.WriteString(accepted, "part")
	time.Sleep(settleTime)
	reset(accepted)
	if err := <-written; !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the write ended with %v", err)
	}
	for range 2 {
		if b, err := io.ReadAll(dialled); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read %q, error %v", b, err)
		}
	}
}

// TestResetThatAPeekReports resets connections whose input is looked at before it is read.
func TestResetThatAPeekReports(t *testing.T) {
	dialled, accepted := dialPair(t)
	if got := network.Peek(dialled); got != network.InputNone {
		t.Errorf("input %d before anything was sent, want none", got)
	}
	_, _ = io.WriteString(accepted, "part")
	time.Sleep(settleTime)
	if got := network.Peek(dialled); got != network.InputBytes {
		t.Errorf("input %d of a part, want bytes", got)
	}
	if _, err := io.ReadFull(dialled, make([]byte, len("part"))); err != nil {
		t.Fatal(err)
	}
	reset(accepted)
	time.Sleep(settleTime)
	for range 2 {
		if got := network.Peek(dialled); got != network.InputEnd {
			t.Errorf("input %d after the reset, want the end", got)
		}
	}
	for range 2 {
		if b, err := io.ReadAll(dialled); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read %q, error %v", b, err)
		}
	}
}

// TestPeeksBesideARead looks at connections all the time while they are read and reset, or ended in order.
func TestPeeksBesideARead(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(*net.TCPConn)
		want error
	}{
		"reset": {reset, syscall.ECONNRESET},
		"ended": {func(c *net.TCPConn) { _ = c.CloseWrite() }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			for range peekRounds {
				dialled, accepted := dialPair(t)
				peeked := make(chan struct{})
				go func() {
					defer close(peeked)
					for network.Peek(dialled) != network.InputEnd {
					}
				}()
				_, _ = io.WriteString(accepted, "part")
				go c.end(accepted)
				if b, err := io.ReadAll(dialled); !errors.Is(err, c.want) {
					t.Errorf("read %q, error %v; want %v", b, err, c.want)
				}
				<-peeked
			}
		})
	}
}

// TestEndBesideAWrite closes one direction beside a write. It is a proper end once the write has ended.
func TestEndBesideAWrite(t *testing.T) {
	dialled, accepted := dialPair(t)
	written := upload(t, dialled, accepted)
	_, _ = io.WriteString(accepted, "body")
	_ = accepted.CloseWrite()
	go func() {
		time.Sleep(settleTime)
		_, _ = io.Copy(io.Discard, accepted)
	}()
	b, err := io.ReadAll(dialled)
	if string(b) != "body" || err != nil {
		t.Errorf("read %q, error %v", b, err)
	}
	select {
	case err := <-written:
		if err != nil {
			t.Errorf("the write ended with %v", err)
		}
	default:
		t.Error("the read ended before the write")
	}
}

// TestCloseEndsTheWaitForAWrite closes a connection whose peer has ended it and does not read.
func TestCloseEndsTheWaitForAWrite(t *testing.T) {
	dialled, accepted := dialPair(t)
	written := upload(t, dialled, accepted)
	_ = accepted.CloseWrite()
	time.AfterFunc(settleTime, func() { _ = dialled.Close() })
	if b, err := io.ReadAll(dialled); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read %q, error %v", b, err)
	}
	if err := <-written; !errors.Is(err, net.ErrClosed) {
		t.Errorf("the write ended with %v", err)
	}
}
