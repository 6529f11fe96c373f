package lab

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

// NewAttempt returns a new attempt ID.
func NewAttempt() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastAttempt.Add(1)) }

// Client is one caller with one kept channel to a gateway.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a channel.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the channel.
func (c *Client) Close() { _ = c.conn.Close() }

// Request is one client attempt.
type Request struct {
	Attempt string
	Route   Route
	// Body is sent with a length.
	Body string
	// DeadlineMs is how long the caller waits.
	DeadlineMs int
	// Key is the API key; Key of this package if it is empty.
	Key string
	// PromptTokens and OutputTokens are sent if OutputTokens is not 0.
	PromptTokens, OutputTokens int
}

// Answer is what the caller got.
type Answer struct {
	Status  int
	Stamped bool
	Header  http.Header
	Body    []byte
	// Events are the numbers of the events of a stream, in order.
	Events []int
	// Complete is set when the channel carried the whole answer.
	Complete bool
	// Err is why the answer is not complete.
	Err error
}

// Do sends a request on the kept channel and reads the answer.
func (c *Client) Do(req Request) Answer {
	method := http.MethodPost
	if req.Route.Kind == "safe" {
		method = http.MethodGet
	}
	key := req.Key
	if key == "" {
		key = Key
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s2f HTTP/1.1\r\nHost: %s\r\nX-Pimentohinge-Attempt-Id: %s\r\n", method, req.Route.Prefix, Host, req.Attempt)
	fmt.Fprintf(&b, "X-Pimentohinge-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n", req.DeadlineMs, key)
	if req.OutputTokens > 0 {
		fmt.Fprintf(&b, "X-Pimentohinge-Model: m\r\nX-Pimentohinge-Token-Usage: %d,%d\r\n", req.PromptTokens, req.OutputTokens)
		fmt.Fprintf(&b, "X-Pimentohinge-Prompt-Prefix: 5c1e07a2:48,%s:%d\r\n", req.Attempt, req.PromptTokens-48)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(req.Body))
	}
	b.WriteString("\r\n" + req.Body)
	_ = c.conn.SetDeadline(time.Now().Add(time.Duration(req.DeadlineMs) * time.Millisecond))
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return Answer{Err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	answer := Answer{Status: resp.StatusCode, Header: resp.Header, Stamped: resp.Header.Get("X-Pimentohinge-Response-Stamp") != ""}
	answer.Body, answer.Err = io.ReadAll(resp.Body)
	answer.Complete = answer.Err == nil
	for line := range strings.Lines(string(answer.Body)) {
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			n, _ := strconv.Atoi(id)
			answer.Events = append(answer.Events, n)
		}
	}
	return answer
}

// Get sends one GET request on a new channel.
func Get(address, target string) (int, []byte, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + target)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// Load sends a request of a plain route on each of n kept channels again and again, with a
// pause after each, until stop is closed. It returns when all have ended.
func (l *Lab) Load(address string, route Route, n int, pause time.Duration, stop <-chan struct{}) {
	var wg sync.WaitGroup
	for range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.loadOne(address, route, pause, stop)
		}()
	}
	wg.Wait()
}

func (l *Lab) loadOne(address string, route Route, pause time.Duration, stop <-chan struct{}) {
	var client *Client
	defer func() {
		if client != nil {
			client.Close()
		}
	}()
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if client == nil {
			var err error
			if client, err = Dial(address); err != nil {
				client = nil
				continue
			}
		}
		attempt := NewAttempt()
		l.Notef("sent %s %s", attempt, route.Kind)
		answer := client.Do(Request{Attempt: attempt, Route: route, Body: "order", DeadlineMs: 3000})
		l.Notef("answered %s status=%d stamped=%v complete=%v body=%.60q", attempt, answer.Status, answer.Stamped, answer.Complete, answer.Body)
		if !answer.Complete || answer.Header.Get("Connection") == "close" {
			client.Close()
			client = nil
		}
	}
}
