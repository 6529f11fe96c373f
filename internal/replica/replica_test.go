package replica_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/replica"
	"github.com/pimentohinge/pimentohinge/internal/standin/pipenet"
)

// script is a replica on loopback that treats each connection as told.
type script struct {
	address string
	opened  atomic.Int64
}

func serve(t *testing.T, f func(n int64, c net.Conn, r *bufio.Reader)) *script {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &script{address: ln.Addr().String()}
	go s.accept(ln, f)
	return s
}

// accept treats each connection by f until the listener is closed.
func (s *script) accept(ln net.Listener, f func(n int64, c net.Conn, r *bufio.Reader)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		n := s.opened.Add(1)
		go func() {
			defer func() { _ = c.Close() }()
			f(n, c, bufio.NewReader(c))
		}()
	}
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Pimentohinge-Attempt-Id: " + id + "\r\nX-Pimentohinge-Response-Stamp: s\r\n" +
		"Content-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func request(id, body string) *replica.Request {
	return &replica.Request{
		Method: http.MethodPost, Target: "/x?y=1", Host: "a.example", Attempt: id, Body: []byte(body),
		Header: http.Header{"X-Pimentohinge-Attempt-Id": {id}},
	}
}

// send returns the body of the answer.
func send(t *testing.T, p *replica.Pool, s *script, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	a, err := p.Send(ctx, s.address, request("a", body))
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a)
	return string(b), err
}

// read takes one request with its body off a connection.
func read(r *bufio.Reader) (*http.Request, bool) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, q.Body)
	return q, err == nil
}

// answerAll answers every request on a connection.
func answerAll(_ int64, c net.Conn, r *bufio.Reader) {
	for {
		q, ok := read(r)
		if !ok {
			return
		}
		_, _ = io.WriteString(c, answer(q.Header.Get("X-Pimentohinge-Attempt-Id"), "ok"))
	}
}

// lateNetwork tells the end of each write a moment after the data has gone.
type lateNetwork struct{ network.Network }

type lateConn struct{ net.Conn }

func (l lateNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := l.Network.Dial(ctx, addr)
	return lateConn{c}, err
}

func (l lateConn) Write(b []byte) (int, error) {
	n, err := l.Conn.Write(b)
	time.Sleep(4 * time.Millisecond)
	return n, err
}

// reuses counts the connections of three requests, one after the other, on
// virtual time.
func reuses(t *testing.T, wrap func(network.Network) network.Network) (opened int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fabric := pipenet.New()
		ln, err := fabric.Host("10.0.0.1").Listen("10.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		s := &script{address: "10.0.0.1:80"}
		go s.accept(ln, answerAll)
		p := replica.New(wrap(fabric.Host("10.0.0.2")))
		for range 3 {
			if got, err := send(t, p, s, "body"); got != "ok" || err != nil {
				t.Fatalf("%q, %v", got, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		p.Drop(s.address)
		_ = ln.Close()
		fabric.Close()
		time.Sleep(time.Second)
		opened = s.opened.Load()
	})
	return opened
}

func TestConnectionIsUsedAgain(t *testing.T) {
	if n := reuses(t, func(n network.Network) network.Network { return n }); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// TestAnswerBeforeTheEndOfTheWrite lets the answer come before the VM has learned
// that its request was written, as on a busy VM. Seen once in CI beside load.
func TestAnswerBeforeTheEndOfTheWrite(t *testing.T) {
	if n := reuses(t, func(n network.Network) network.Network { return lateNetwork{n} }); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// TestLateAnswerIsSkipped lets an answer of another request come first.
func TestLateAnswerIsSkipped(t *testing.T) {
	s := serve(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		if q, ok := read(r); ok {
			_, _ = io.WriteString(c, answer("other", "not")+answer(q.Header.Get("X-Pimentohinge-Attempt-Id"), "ok"))
			_, _ = read(r)
		}
	})
	p := replica.New(network.TCP{})
	for range 2 {
		if got, err := send(t, p, s, ""); got != "ok" || err != nil {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if n := s.opened.Load(); n != 2 {
		t.Errorf("a connection with an answer of another request was used again")
	}
}

// TestBytesAfterAnAnswer closes a connection on which bytes came that belong to
// no request.
func TestBytesAfterAnAnswer(t *testing.T) {
	sent := make(chan struct{}, 8)
	s := serve(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		if q, ok := read(r); ok {
			_, _ = io.WriteString(c, answer(q.Header.Get("X-Pimentohinge-Attempt-Id"), "ok"))
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(c, answer("other", "not"))
			sent <- struct{}{}
			_, _ = read(r)
		}
	})
	p := replica.New(network.TCP{})
	for range 3 {
		if got, err := send(t, p, s, ""); got != "ok" || err != nil {
			t.Fatalf("%q, %v", got, err)
		}
		<-sent
		time.Sleep(5 * time.Millisecond)
	}
	if n := s.opened.Load(); n != 3 {
		t.Errorf("%d connections for 3 requests", n)
	}
}

// TestAnswerBeforeTheBodyIsRead answers while the rest of a long body is due:
// no other request may follow on the connection.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	s := serve(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(q.Header.Get("X-Pimentohinge-Attempt-Id"), "no"))
		<-ended
	})
	p := replica.New(network.TCP{})
	body := strings.Repeat("x", 16<<20)
	for range 2 {
		if got, err := send(t, p, s, body); got != "no" || err != nil {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if n := s.opened.Load(); n != 2 {
		t.Errorf("%d connections for 2 requests", n)
	}
}

func TestEndsOfAnswers(t *testing.T) {
	for _, c := range []struct {
		name, reply string
		want        error
	}{
		{"nothing", "", replica.ErrNoAnswer},
		{"garbage", "\x00garbage\r\n\r\n", replica.ErrBroken},
		{"cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", replica.ErrCut},
		{"cutChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", replica.ErrCut},
		{"endsWithConnection", "HTTP/1.1 200 OK\r\n\r\nwhole", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				if _, ok := read(r); ok {
					_, _ = io.WriteString(conn, c.reply)
				}
			})
			got, err := send(t, replica.New(network.TCP{}), s, "")
			if !errors.Is(err, c.want) || c.want == nil && got != "whole" {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
	s := &script{address: "127.0.0.1:1"}
	if _, err := send(t, replica.New(network.TCP{}), s, ""); !errors.Is(err, replica.ErrNotSent) {
		t.Errorf("nothing listens: %v", err)
	}
}
