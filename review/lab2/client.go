package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	host = "desk.example"
	key  = "k1"
)

// request is what a client sends, and what came of it.
type request struct {
	id, method, path    string
	machine             string
	timeout             time.Duration
	promptTokens, limit int

	sentAt, endedAt time.Time
	// status is 0 if no answer came.
	status int
	// events is the number of the last event; whole is set if the answer was complete.
	events int
	whole  bool
	reason string
}

// clients sends requests and keeps them.
type clients struct {
	lab *lab

	mu   sync.Mutex
	next int
	all  []*request
	wg   sync.WaitGroup
}

// isReady asks a machine as the platform does.
func isReady(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// send sends a request on a new channel and returns it; await waits for its end.
func (c *clients) send(g *gateway, r request) *request {
	c.mu.Lock()
	c.next++
	r.id = fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(c.next))
	r.machine = g.name
	sent := &r
	c.all = append(c.all, sent)
	c.mu.Unlock()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.exchange(g.callers, sent)
	}()
	return sent
}

func (r *request) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Pimentohinge-Attempt-Id: %s\r\n", r.method, r.path, host, r.id)
	fmt.Fprintf(&b, "X-Pimentohinge-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n", r.timeout.Milliseconds(), key)
	if r.promptTokens > 0 {
		fmt.Fprintf(&b, "X-Pimentohinge-Model: m\r\nX-Pimentohinge-Token-Usage: %d,%d\r\n", r.promptTokens, r.limit)
		fmt.Fprintf(&b, "X-Pimentohinge-Prompt-Prefix: c0:40,%s:%d\r\n", r.id, r.promptTokens-40)
	}
	body := strings.Repeat("x", 600)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}

// exchange sends a request and reads its answer.
func (c *clients) exchange(address string, r *request) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	c.mark(func() { r.sentAt = time.Now() })
	if err != nil {
		c.finish(r, 0, false, "connect: "+err.Error())
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.timeout + time.Second))
	if _, err := conn.Write(r.bytes()); err != nil {
		c.finish(r, 0, false, "write: "+err.Error())
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		c.finish(r, 0, false, "read: "+err.Error())
		return
	}
	c.mark(func() { r.status = resp.StatusCode })
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if id, ok := strings.CutPrefix(line, "id: "); ok && err == nil {
			n, _ := strconv.Atoi(strings.TrimSpace(id))
			c.mark(func() { r.events = n })
		}
		if errors.Is(err, io.EOF) {
			c.finish(r, resp.StatusCode, true, "")
			return
		}
		if err != nil {
			c.finish(r, resp.StatusCode, false, "read: "+err.Error())
			return
		}
	}
}

func (c *clients) mark(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *clients) finish(r *request, status int, whole bool, reason string) {
	c.mark(func() { r.status, r.whole, r.reason, r.endedAt = status, whole, reason, time.Now() })
}

// snapshot returns copies of all requests.
func (c *clients) snapshot() []request {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]request, 0, len(c.all))
	for _, r := range c.all {
		out = append(out, *r)
	}
	return out
}

// get returns a copy of a request as it is now.
func (c *clients) get(r *request) request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *r
}

// noteAll writes what was sent and answered to the record.
func (c *clients) noteAll() {
	for _, r := range c.snapshot() {
		took := time.Duration(0)
		if !r.endedAt.IsZero() {
			took = r.endedAt.Sub(r.sentAt)
		}
		c.lab.note("request %s %s to %s sent at %.3f: status %d, whole %v, events %d, took %.3f s %s", r.id, r.path, r.machine,
			r.sentAt.Sub(c.lab.began).Seconds(), r.status, r.whole, r.events, took.Seconds(), r.reason)
	}
}
