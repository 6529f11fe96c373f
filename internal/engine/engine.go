// Package engine is the client for model engines: it starts, resumes and cancels
// generations, reads their token streams and load reports, and sends orders.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/readlimit"
	"github.com/pimentohinge/pimentohinge/internal/responsehead"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	requestTimeout  = 2 * time.Second
	dialTimeout     = time.Second
	maxBodyBytes    = 1 << 20
	connBufferBytes = 1024
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 64 << 10
	// maxStatus is the largest status of a response.
	maxStatus = 599
)

// Client calls engines. It is safe for concurrent use.
type Client struct {
	network network.Network
	http    *http.Client

	mu sync.Mutex
	// openStreams counts the streams that have not been closed, by the engine's address.
	openStreams map[string]int
}

// New returns a client that connects through n.
func New(n network.Network) *Client {
	return &Client{network: n, http: network.Client(n), openStreams: map[string]int{}}
}

// OpenStreams returns the number of streams of an engine that have neither ended nor been
// closed.
func (c *Client) OpenStreams(addr string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openStreams[addr]
}

// countStream counts a stream until the returned function is called.
func (c *Client) countStream(addr string) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openStreams[addr]++
	return sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.openStreams[addr]--; c.openStreams[addr] == 0 {
			delete(c.openStreams, addr)
		}
	})
}

// Start starts a generation and returns its stream. The stream counts as stalled
// when no data arrives for idleTimeout. When no stream is returned, cause holds
// the reason, and mayHaveRun reports whether the engine may have started the
// generation nevertheless.
func (c *Client) Start(ctx context.Context, addr string, request wire.GenerateRequest, idleTimeout time.Duration) (stream *Stream, cause outcome.Cause, mayHaveRun bool) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, outcome.BadRequest, false
	}
	return c.open(ctx, http.MethodPost, "http://"+addr+"/v1/generations", body, request.Generation, 0, idleTimeout)
}

// Resume reopens the stream of a generation at the token with the given index.
func (c *Client) Resume(ctx context.Context, addr, generation string, index int, idleTimeout time.Duration) (*Stream, outcome.Cause) {
	target := "http://" + addr + "/v1/generations/" + url.PathEscape(generation) + "?from=" + strconv.Itoa(index)
	stream, cause, _ := c.open(ctx, http.MethodGet, target, nil, generation, index, idleTimeout)
	return stream, cause
}

// open sends a request on a new connection and returns the stream of the response.
// It does not use http.Transport, which would hold two goroutines and two buffers
// per stream.
func (c *Client) open(ctx context.Context, method, target string, body []byte, generation string, index int, idleTimeout time.Duration) (stream *Stream, cause outcome.Cause, mayHaveRun bool) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, outcome.BadRequest, false
	}
	req.Close = true
	dialCtx, cancel := context.WithTimeout(ctx, min(idleTimeout, dialTimeout))
	conn, err := c.network.Dial(dialCtx, req.URL.Host)
	cancel()
	if err != nil {
		return nil, outcome.EngineLost, false
	}
	watch := newWatchdog(ctx, idleTimeout, conn)
	resp, err := exchange(conn, req)
	if err != nil {
		stalled := watch.expired()
		watch.stop()
		if stalled {
			return nil, outcome.StalledLink, true
		}
		return nil, outcome.EngineLost, true
	}
	if resp.StatusCode != http.StatusOK {
		cause, refused := refusalCause(resp)
		watch.stop()
		return nil, cause, !refused
	}
	stream = newStream(resp.Body, generation, index, watch)
	stream.uncount = c.countStream(req.URL.Host)
	return stream, outcome.None, true
}

func exchange(conn net.Conn, req *http.Request) (*http.Response, error) {
	if err := req.Write(conn); err != nil {
		return nil, eris.Wrap(err, "write request")
	}
	header := &readlimit.Header{R: conn}
	header.Begin(maxHeaderBytes)
	defer header.End()
	resp, err := http.ReadResponse(bufio.NewReaderSize(header, connBufferBytes), req)
	if err != nil {
		return nil, eris.Wrap(err, "read response")
	}
	return resp, responsehead.Check(resp)
}

// refusalCause returns why an engine refused a generation. It reports false if the
// response names no cause or has no status of an error: the engine failed and may have
// begun the generation.
func refusalCause(resp *http.Response) (cause outcome.Cause, refused bool) {
	if resp.StatusCode < http.StatusBadRequest || resp.StatusCode > maxStatus {
		return outcome.EngineLost, false
	}
	var r struct {
		Cause string `json:"cause"`
	}
	err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&r)
	_ = resp.Body.Close()
	if err != nil || r.Cause == "" {
		return outcome.EngineLost, false
	}
	switch r.Cause {
	case "leaving":
		return outcome.EngineReclaimed, true
	case "modelNotLoaded":
		return outcome.NoReplica, true
	case "badRequest", "promptTooLong":
		return outcome.BadRequest, true
	case "unknownGeneration":
		return outcome.EngineLost, true
	}
	return outcome.EngineRefused, true
}

// Cancel cancels a generation and reports whether the engine confirmed it.
func (c *Client) Cancel(ctx context.Context, addr, generation string) bool {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+addr+"/v1/generations/"+url.PathEscape(generation), nil)
	if err != nil {
		return false
	}
	// A late second copy of another response must not count as the confirmation.
	req.Close = true
	resp, err := c.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// LoadReport fetches the engine's load report. It returns false if there is no valid
// one.
func (c *Client) LoadReport(ctx context.Context, addr string) (wire.LoadReport, bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/load", nil)
	if err != nil {
		return wire.LoadReport{}, false
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return wire.LoadReport{}, false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		return wire.LoadReport{}, false
	}
	return ParseLoadReport(body)
}

// ParseLoadReport decodes a load report and reports whether its values are valid.
func ParseLoadReport(body []byte) (wire.LoadReport, bool) {
	var report wire.LoadReport
	if json.Unmarshal(body, &report) != nil {
		return wire.LoadReport{}, false
	}
	valid := report.CapacityBlocks > 0 && report.BlockTokens > 0 && report.Slots > 0 &&
		report.UsedBlocks >= 0 && report.UsedBlocks <= report.CapacityBlocks && report.Running >= 0 && report.Waiting >= 0 &&
		report.StepMicros >= 0
	return report, valid
}

// SendOrder sends an order, with its deadline as the time limit, and reports whether
// the engine accepted it. status is the HTTP status, or 0 if there was no response.
func (c *Client) SendOrder(ctx context.Context, addr string, order wire.Order) (accepted bool, status int) {
	ctx, cancel := context.WithDeadline(ctx, time.UnixMilli(int64(order.DeadlineUnixMs)))
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return false, 0
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return false, 0
	}
	// A late second copy of another response must not count as the acceptance of an order.
	req.Close = true
	resp, err := c.http.Do(req)
	if err != nil {
		return false, 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK, resp.StatusCode
}
