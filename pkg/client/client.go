// Package client is the Go client of a pimentohinge deployment: it streams
// completions and resumes them through any entry VM, calls plain services and
// obtains tickets.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	maxResponseBytes = 16 << 20
	resumeDelay      = 100 * time.Millisecond
	maxResumes       = 8
)

// ErrTooLong means that the body of a response is longer than this package reads. The
// call has run.
var ErrTooLong = eris.New("response is longer than 16 MiB")

// Client calls entry VMs. Its fields are set before the first call.
type Client struct {
	// Addresses are the URLs of entry VMs or of the load balancer in front of
	// them; at least one.
	Addresses []string
	// Key is the workspace's bearer token.
	Key string
	// HTTP is the HTTP client; nil means http.DefaultClient.
	HTTP *http.Client
}

// Error is an error that the deployment reported: a refused request, or a stream
// that ended before its last token. It also reports a stream whose tokens arrived
// out of order.
type Error struct {
	// Status is the HTTP status; 0 for a stream that ended early.
	Status int
	// Outcome is notRun, unknown or interrupted.
	Outcome string
	// Cause is one of the documented causes.
	Cause string
	// Message describes the cause.
	Message string
	// RequestID identifies the request for pimentohinge explain.
	RequestID string
	// RetryAt is the earliest time for a retry, from the Retry-After header; zero
	// when the response has none.
	RetryAt time.Time
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, %s, request %s)", e.Message, e.Outcome, e.Cause, e.RequestID)
}

// problem is the body of an application/problem+json response.
type problem struct {
	RequestID string `json:"requestId"`
	Outcome   string `json:"outcome"`
	Error     struct {
		Message string `json:"message"`
		Code    string `json:"code"`
	} `json:"error"`
}

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func (c *Client) address(attempt int) string {
	return strings.TrimRight(c.Addresses[attempt%len(c.Addresses)], "/")
}

func (c *Client) do(ctx context.Context, method, url string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.http().Do(req)
	return resp, eris.Wrap(err, "send request")
}

// readError converts an error response to an Error.
func readError(resp *http.Response) *Error {
	var p problem
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&p)
	e := &Error{
		Status: resp.StatusCode, Outcome: p.Outcome, Cause: p.Error.Code, Message: p.Error.Message, RequestID: p.RequestID,
	}
	if wait, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); err == nil {
		e.RetryAt = time.Now().Add(wait)
	}
	return e
}

// Answer is the response of a plain service.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the media type of Body.
	ContentType string
	// Body is the complete response body.
	Body []byte
	// Replayed is true when the call ran earlier and this is its stored response.
	Replayed bool
	// RequestID identifies the request for pimentohinge explain.
	RequestID string
}

// Call is a request to a plain service.
type Call struct {
	// Service, Method and Path select the operation; Path begins with a slash.
	Service string
	Method  string
	Path    string
	// ContentType is the media type of Body.
	ContentType string
	// Body is the complete request body.
	Body []byte
	// Key is an idempotency key and Ticket a ticket from Client.Ticket; at most one
	// is set.
	Key    string
	Ticket string
}

// Do sends one call to the first address. The Outcome of an *Error reports whether
// the call may have run.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	header := http.Header{}
	for k, v := range map[string]string{
		"Content-Type": call.ContentType, "Idempotency-Key": call.Key, "Idempotency-Ticket": call.Ticket,
	} {
		if v != "" {
			header.Set(k, v)
		}
	}
	resp, err := c.do(ctx, call.Method, c.address(0)+"/services/"+call.Service+call.Path, call.Body, header)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		return Answer{}, readError(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return Answer{}, eris.Wrap(err, "read response")
	}
	if len(body) > maxResponseBytes {
		return Answer{}, eris.Wrap(ErrTooLong, "read response")
	}
	return Answer{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
		Replayed:  resp.Header.Get("Idempotent-Replayed") == "true",
		RequestID: resp.Header.Get("X-Request-Id"),
	}, nil
}

// Ticket obtains a ticket for one call that must not run more than once.
func (c *Client) Ticket(ctx context.Context) (string, error) {
	resp, err := c.do(ctx, http.MethodPost, c.address(0)+"/v1/tickets", nil, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusCreated {
		return "", readError(resp)
	}
	var decoded struct {
		Ticket string `json:"ticket"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&decoded); err != nil {
		return "", eris.Wrap(err, "read ticket")
	}
	return decoded.Ticket, nil
}
