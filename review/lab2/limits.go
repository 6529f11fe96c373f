package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// smallHead and largeHead are the limits on heads before and after the change, and headBytes the
	// length of the heads that clients send later than that.
	smallHead = 4096
	largeHead = 16384
	headBytes = 14500
	channels  = 20
)

// answers counts the answers to the requests of all channels, by status.
type answers struct {
	lab *lab

	mu    sync.Mutex
	sent  int
	count map[int]int
}

// limits raises the limit on heads while clients keep their channels.
func limits(l *lab) (bool, error) {
	if err := l.startStore(0); err != nil {
		return false, err
	}
	replicas := newFleet(l)
	if _, err := replicas.start("i-d1", "desk", false, 0); err != nil {
		return false, err
	}
	state := func(version, bytes int) map[string]any {
		state := desiredState(version, "writer")
		state["limits"].(map[string]any)["headerBytes"] = bytes
		return state
	}
	before := smallHead
	if !l.trouble {
		before = largeHead
	}
	l.store.set("config/main", state(1, before))
	g, err := l.startGateway("front-1")
	if err != nil {
		return false, err
	}
	if err := l.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	got := &answers{lab: l, count: map[int]int{}}
	var all sync.WaitGroup
	changed := make(chan struct{})
	for i := range channels {
		all.Add(1)
		go func() {
			defer all.Done()
			got.useChannel(g.callers, i, changed)
		}()
	}
	time.Sleep(3 * time.Second)
	l.store.set("config/main", state(2, largeHead))
	l.note("the store has accepted version 2: heads may have %d bytes, before %d", largeHead, before)
	time.Sleep((configApplyMs + 1000) * time.Millisecond)
	close(changed)
	all.Wait()
	denied := 0
	for status, n := range got.count {
		l.note("%d answers with status %d", n, status)
		if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
			denied += n
		}
	}
	l.note("%d of %d requests were denied; 5 + one in 500 may be", denied, got.sent)
	return float64(denied) <= 5+float64(got.sent)/500, nil
}

// useChannel sends orders on one channel, twice a second, and after the change one with a head of
// headBytes.
func (a *answers) useChannel(address string, channel int, changed chan struct{}) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.lab.note("channel %d: %v", channel, err)
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := 0; ; i++ {
		id := fmt.Sprintf("%08x%08x", channel, i)
		select {
		case <-changed:
			a.lab.note("channel %d: status %d for %s, whose head has %d bytes", channel, a.ask(conn, reader, id, headBytes), id, headBytes)
			return
		case <-time.After(500 * time.Millisecond):
			if a.ask(conn, reader, id, 0) == 0 {
				return
			}
		}
	}
}

// orderHead returns the head of an order, filled up to a length.
func orderHead(id string, length int) string {
	text := "POST /order/1 HTTP/1.1\r\nHost: " + host + "\r\nX-Pimentohinge-Attempt-Id: " + id +
		"\r\nX-Pimentohinge-Deadline-Ms: 2500\r\nAuthorization: Token " + key + "\r\nContent-Length: 2\r\n"
	if fill := length - len(text) - len("Cookie: \r\n\r\n"); fill > 0 {
		text += "Cookie: " + strings.Repeat("c", fill) + "\r\n"
	}
	return text + "\r\n"
}

// ask sends an order and returns the status of the answer, 0 if there is none.
func (a *answers) ask(conn net.Conn, reader *bufio.Reader, id string, head int) int {
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	status := 0
	if _, err := io.WriteString(conn, orderHead(id, head)+"ok"); err == nil {
		if resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost}); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			status = resp.StatusCode
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent++
	a.count[status]++
	return status
}
