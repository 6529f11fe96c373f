// Package client calls a pimentohinge deployment: it streams completions and
// resumes them through any entry VM, calls plain services, and gets tickets.
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

// Client calls entry VMs. Its fields are set before the first call.
type Client struct {
	// Addresses are URLs of entry VMs or of the balancer before them; at least one.
	Addresses []string
	// Key is the workspace's bearer key.
	Key string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

// Error is a refusal or an early end as the system reported it.
type Error struct {
	// Status is the HTTP status; 0 for a stream that ended early.
	Status int
	// Outcome is notRun, unknown or interrupted.
	Outcome string
	// Cause is one of the documented causes.
	Cause string
	// Message is the cause in plain words.
	Message string
	// RequestID names the request for pimentohinge explain.
	RequestID string
	// RetryAt is when a retry has a chance; zero when none is advised.
	RetryAt time.Time
}

// Error formats the refusal.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, %s, request %s)", e.Message, e.Outcome, e.Cause, e.RequestID)
}

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
		return nil, eris.Wrap(err, "make request")
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.http().Do(req)
	return resp, eris.Wrap(err, "send request")
}

// readError reads a problem answer.
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

// Answer is the answer of a plain service.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// ContentType describes Body.
	ContentType string
	// Body is the whole body.
	Body []byte
	// Replayed is true when the call ran before and this is its stored answer.
	Replayed bool
	// RequestID names the request for pimentohinge explain.
	RequestID string
}

// Call is a call of a plain service.
type Call struct {
	// Service, Method and Path say what is called; Path begins with a slash.
	Service string
	Method  string
	Path    string
	// ContentType describes Body.
	ContentType string
	// Body is the whole body.
	Body []byte
	// Key is the idempotency key and Ticket a ticket; at most one is set.
	Key    string
	Ticket string
}

// Do makes one call through the first address. An *Error says whether it may
// have run.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return Answer{}, eris.Wrap(err, "read answer")
	}
	return Answer{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
		Replayed:  resp.Header.Get("Idempotent-Replayed") == "true",
		RequestID: resp.Header.Get("X-Request-Id"),
	}, nil
}

// Ticket gets a ticket for one call that must not repeat.
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
