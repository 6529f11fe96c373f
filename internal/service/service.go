// Package service calls plain services, and says of each call whether it may
// have run.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
)

// MaxResponseBytes is the largest answer that is passed on.
const MaxResponseBytes = 16 << 20

// Timeout is the longest wait for an answer.
const Timeout = 30 * time.Second

// Call is one call of a plain service.
type Call struct {
	// Address is the backend's host and port.
	Address string
	// Method, Path and Query are passed on as the caller gave them.
	Method string
	Path   string
	Query  string
	// ContentType describes Body.
	ContentType string
	// Key is the idempotency key; empty for none.
	Key string
	// RequestID is passed on for the backend's logs.
	RequestID string
	// Body is the whole body.
	Body []byte
}

// Response is the backend's answer.
type Response struct {
	// Status is the HTTP status.
	Status int
	// ContentType describes Body.
	ContentType string
	// Body is the whole body.
	Body []byte
}

// Client calls services. It is safe for concurrent use.
type Client struct{ http *http.Client }

// New returns a client that uses h.
func New(h *http.Client) *Client { return &Client{http: h} }

// Do makes one attempt. The outcome is finished with an answer, notRun when no
// byte was sent, or unknown.
func (c *Client) Do(ctx context.Context, call Call) (Response, outcome.Outcome) {
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
	// The transport repeats a request by itself when it has a key and no body,
	// or when the body can be had again. Neither must hold here.
	if !mutation.Enabled(mutation.TransportRetries) {
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
		req.GetBody = nil
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes))
	if err != nil {
		return Response{}, failureOutcome(true, err)
	}
	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, outcome.Done(0)
}

func failureOutcome(connected bool, err error) outcome.Outcome {
	o := outcome.Refuse(outcome.ServiceLost, err.Error())
	if connected {
		o.Kind = outcome.Unknown
	}
	return o
}
