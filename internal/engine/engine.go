// Package engine speaks to the model engines: it starts, resumes and cancels
// generations, reads their streams and load reports, and sends orders.
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
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	callTimeout     = 2 * time.Second
	dialTimeout     = time.Second
	maxReportBytes  = 1 << 20
	connBufferBytes = 1024
)

// Client calls engines. It is safe for concurrent use.
type Client struct {
	network network.Network
	http    *http.Client
}

// New returns a client over a network.
func New(n network.Network) *Client { return &Client{network: n, http: network.Client(n)} }

// Start begins a generation and returns its stream. The stream counts as
// stalled when nothing arrives for silence. When no stream is returned, the
// cause says why; ran reports whether the engine may have begun all the same.
func (c *Client) Start(ctx context.Context, addr string, g wire.GenerateRequest, silence time.Duration) (s *Stream, cause outcome.Cause, ran bool) {
	body, err := json.Marshal(g)
	if err != nil {
		return nil, outcome.BadRequest, false
	}
	return c.open(ctx, http.MethodPost, "http://"+addr+"/v1/generations", body, g.Generation, 0, silence)
}

// Resume continues the stream of a generation at an index.
func (c *Client) Resume(ctx context.Context, addr, generation string, index int, silence time.Duration) (*Stream, outcome.Cause) {
	u := "http://" + addr + "/v1/generations/" + url.PathEscape(generation) + "?from=" + strconv.Itoa(index)
	s, cause, _ := c.open(ctx, http.MethodGet, u, nil, generation, index, silence)
	return s, cause
}

// open sends a request on a connection of its own and returns its stream. The
// HTTP transport would keep two goroutines and two buffers for each stream.
func (c *Client) open(ctx context.Context, method, u string, body []byte, generation string, index int, silence time.Duration) (s *Stream, cause outcome.Cause, ran bool) {
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return nil, outcome.BadRequest, false
	}
	req.Close = true
	dialCtx, cancel := context.WithTimeout(ctx, min(silence, dialTimeout))
	conn, err := c.network.Dial(dialCtx, req.URL.Host)
	cancel()
	if err != nil {
		return nil, outcome.EngineLost, false
	}
	w := newWatchdog(ctx, silence, conn)
	resp, err := exchange(conn, req)
	if err != nil {
		stalled := w.expired()
		w.stop()
		if stalled {
			return nil, outcome.StalledLink, true
		}
		return nil, outcome.EngineLost, true
	}
	if resp.StatusCode != http.StatusOK {
		cause := refusal(resp)
		w.stop()
		return nil, cause, false
	}
	return newStream(resp.Body, generation, index, w), outcome.None, true
}

func exchange(conn net.Conn, req *http.Request) (*http.Response, error) {
	if err := req.Write(conn); err != nil {
		return nil, eris.Wrap(err, "write request")
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, connBufferBytes), req)
	return resp, eris.Wrap(err, "read response")
}

func refusal(resp *http.Response) outcome.Cause {
	var r struct {
		Cause string `json:"cause"`
	}
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&r)
	_ = resp.Body.Close()
	switch r.Cause {
	case "leaving":
		return outcome.EngineReclaimed
	case "modelNotLoaded":
		return outcome.NoReplica
	case "badRequest", "promptTooLong":
		return outcome.BadRequest
	case "unknownGeneration":
		return outcome.EngineLost
	}
	return outcome.EngineRefused
}

// Cancel tells the engine to end a generation. It reports whether the engine
// confirmed.
func (c *Client) Cancel(ctx context.Context, addr, generation string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+addr+"/v1/generations/"+url.PathEscape(generation), nil)
	if err != nil {
		return false
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context, addr string) (wire.LoadReport, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		return wire.LoadReport{}, false
	}
	return ParseLoad(body)
}

// ParseLoad checks a load report as an engine sent it.
func ParseLoad(body []byte) (wire.LoadReport, bool) {
	var r wire.LoadReport
	if json.Unmarshal(body, &r) != nil {
		return wire.LoadReport{}, false
	}
	sane := r.CapacityBlocks > 0 && r.BlockTokens > 0 && r.Slots > 0 &&
		r.UsedBlocks >= 0 && r.UsedBlocks <= r.CapacityBlocks && r.Running >= 0 && r.Waiting >= 0 &&
		r.StepMicros >= 0
	return r, sane
}

// Send gives an order and reports whether the engine accepted it; status is
// the HTTP status, 0 when there was no answer.
func (c *Client) Send(ctx context.Context, addr string, o wire.Order) (accepted bool, status int) {
	ctx, cancel := context.WithDeadline(ctx, time.UnixMilli(int64(o.DeadlineUnixMs)))
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return false, 0
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return false, 0
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false, 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK, resp.StatusCode
}
