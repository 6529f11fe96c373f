// Package service is the client for plain services. For each call it reports
// whether the backend may have run it.
package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/readlimit"
	"github.com/pimentohinge/pimentohinge/internal/responsehead"
)

const (
	// MaxResponseBytes is the longest body of a response. A longer one is not delivered.
	MaxResponseBytes = 16 << 20
	// maxStatus is the largest status of a response.
	maxStatus = 599
)

// Timeout limits one call, including the response.
const Timeout = 30 * time.Second

// Call is one call to a plain service.
type Call struct {
	// Address is the backend's host and port.
	Address string
	// Method, Path and Query are those of the caller's request.
	Method string
	Path   string
	Query  string
	// ContentType is the media type of Body.
	ContentType string
	// Key is the idempotency key; empty for none.
	Key string
	// RequestID is sent for the backend's logs.
	RequestID string
	// Body is the complete body.
	Body []byte
}

// Response is the backend's response.
type Response struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the media type of Body.
	ContentType string
	// Body is the complete body.
	Body []byte

	memory *readlimit.Reservation
}

// Release frees the memory that is reserved for the body. It may be called again.
func (r Response) Release() { r.memory.Release() }

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	http   *http.Client
	bodies *readlimit.Budget
}

// New returns a client that sends its requests through h. bodies is the memory for all response bodies
// that have not been released.
func New(h *http.Client, bodies *readlimit.Budget) *Client { return &Client{http: h, bodies: bodies} }

// Do makes one attempt at a call. The Kind of the result is Finished when there is
// a response, NotRun when no connection was obtained and so no byte was sent, and
// otherwise Unknown. The caller must release the response.
func (c *Client) Do(ctx context.Context, call Call) (Response, outcome.Result) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	u := url.URL{Scheme: "http", Host: call.Address, Path: call.Path, RawQuery: call.Query}
	req, err := http.NewRequestWithContext(ctx, call.Method, u.String(), bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, outcome.Refuse(outcome.BadRequest, err.Error())
	}
	// http.Transport retries a request on its own when it has an idempotency key
	// and no body, or when GetBody can supply the body again. A non-nil body
	// without GetBody rules out both.
	//
	// A second copy of a response, sent late on a connection in use again, would be
	// taken for the response to the next call, so connections are not reused.
	if !mutation.Enabled(mutation.TransportRetries) {
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
		req.GetBody = nil
		req.Close = true
	}
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	req.Header.Set("X-Request-Id", call.RequestID)
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, failureOutcome(connected.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return Response{}, outcome.Result{Kind: outcome.Unknown, Cause: outcome.BrokenResponse, Detail: "status " + resp.Status}
	}
	memory := c.bodies.Reserve()
	length := resp.ContentLength
	if call.Method == http.MethodHead {
		length = 0
	}
	body, err := memory.ReadAll(resp.Body, length, MaxResponseBytes)
	if err != nil {
		memory.Release()
	}
	if errors.Is(err, readlimit.ErrBodyTooLong) || errors.Is(err, readlimit.ErrBudgetExhausted) {
		return Response{}, outcome.Result{Kind: outcome.Unknown, Cause: outcome.BrokenResponse, Detail: err.Error()}
	}
	if err != nil {
		return Response{}, failureOutcome(true, err)
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body, memory: memory}, outcome.Done(0)
}

func failureOutcome(connected bool, err error) outcome.Result {
	o := outcome.Refuse(outcome.ServiceLost, err.Error())
	if connected {
		o.Kind = outcome.Unknown
	}
	if errors.Is(err, responsehead.ErrFieldName) {
		o.Cause = outcome.BrokenResponse
	}
	return o
}
