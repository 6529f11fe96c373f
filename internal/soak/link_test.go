package soak_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/soak"
)

// linkTimeout bounds the waits of these tests.
const linkTimeout = 5 * time.Second

// dialLink returns the two ends of a connection over a link with a delay.
func dialLink(t *testing.T, link *soak.Link, delay time.Duration) (caller net.Conn, server net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	caller, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	server = link.NewConn(accepted, delay)
	t.Cleanup(func() {
		_ = server.Close()
		_ = caller.Close()
	})
	return caller, server
}

// TestLinkDelaysBytesAndKeepsTheirOrder checks the time and the order in which bytes arrive, and
// that those sent before the connection is closed arrive.
func TestLinkDelaysBytesAndKeepsTheirOrder(t *testing.T) {
	const delay, held = 30 * time.Millisecond, 200 * time.Millisecond
	link := soak.NewLink()
	caller, server := dialLink(t, link, delay)
	link.Hold(false, true, time.Now().Add(held))
	began := time.Now()
	for _, text := range []string{"a", "b", "c"} {
		if _, err := io.WriteString(server, text); err != nil {
			t.Fatal(err)
		}
	}
	_ = server.Close()
	_ = caller.SetReadDeadline(began.Add(linkTimeout))
	got, err := io.ReadAll(caller)
	if err != nil || string(got) != "abc" {
		t.Errorf("received %q (%v), want abc", got, err)
	}
	if took := time.Since(began); took < held {
		t.Errorf("received after %v, held up for %v", took, held)
	}
}

// TestSilentLinkPassesNothing checks that a connection that went silent delivers none of the later
// bytes, nor its end.
func TestSilentLinkPassesNothing(t *testing.T) {
	link := soak.NewLink()
	caller, server := dialLink(t, link, time.Millisecond)
	link.Silence()
	for range 20 {
		_, _ = io.WriteString(server, "x")
	}
	_ = server.Close()
	_ = caller.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := caller.Read(make([]byte, 32)); n > 0 || errors.Is(err, io.EOF) {
		t.Errorf("received %d bytes, %v", n, err)
	}
}
