package client

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/sleep"
)

// Completion is a request for a streamed completion.
type Completion struct {
	// Model is the name of a service or of its model.
	Model string
	// Prompt is the complete prompt text.
	Prompt string
	// MaxTokens limits the output in tokens; 0 means the deployment's limit.
	MaxTokens int
	// Batch gives the request a lower priority than interactive requests.
	Batch bool
}

// Token is one token of a stream.
type Token struct {
	// Index is the position in the output, from 0.
	Index int
	// Text is the text of the token.
	Text string
}

// Result summarizes a stream.
type Result struct {
	// RequestID identifies the request for pimentohinge explain.
	RequestID string
	// Tokens is the number of tokens received.
	Tokens int
	// Resumes is the number of attempts to resume after a broken connection.
	Resumes int
	// FinishReason is stop or length.
	FinishReason string
}

// Whole is the response to a completion that is not streamed.
type Whole struct {
	// RequestID identifies the request for pimentohinge explain.
	RequestID string
	// Text is the complete output.
	Text string
	// Tokens is the length of Text in tokens.
	Tokens int
	// FinishReason is stop or length.
	FinishReason string
}

// Complete requests a completion without streaming from the first address.
func (c *Client) Complete(ctx context.Context, completion Completion) (Whole, error) {
	resp, err := c.sendCompletion(ctx, completion, false)
	if err != nil {
		return Whole{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Whole{}, readError(resp)
	}
	var decoded struct {
		chunk
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&decoded); err != nil {
		return Whole{}, eris.Wrap(err, "read response")
	}
	if len(decoded.Choices) != 1 || decoded.Choices[0].FinishReason == nil {
		return Whole{}, eris.New("read response: want one choice with a finish reason")
	}
	return Whole{
		RequestID: resp.Header.Get("X-Request-Id"), Text: decoded.Choices[0].Text,
		Tokens: decoded.Usage.CompletionTokens, FinishReason: *decoded.Choices[0].FinishReason,
	}, nil
}

func (c *Client) sendCompletion(ctx context.Context, completion Completion, stream bool) (*http.Response, error) {
	body := map[string]any{"model": completion.Model, "prompt": completion.Prompt, "stream": stream}
	if completion.MaxTokens > 0 {
		body["max_tokens"] = completion.MaxTokens
	}
	if completion.Batch {
		body["service_tier"] = "flex"
	}
	b, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(err, "encode request")
	}
	return c.do(ctx, http.MethodPost, c.address(0)+"/v1/completions", b, http.Header{"Content-Type": {"application/json"}})
}

// stream is the state of one streamed completion across all its connections.
type stream struct {
	Result
	lastEventID string
	done        bool
}

// Stream requests a completion and calls deliver once for each token, in order.
// When a connection breaks, it resumes the stream from the next address, up to 8
// times without a new token. An error from deliver ends the stream and is returned.
// An *Error reports a refused request or a stream that ended early.
func (c *Client) Stream(ctx context.Context, completion Completion, deliver func(Token) error) (Result, error) {
	state := &stream{}
	resp, err := c.sendCompletion(ctx, completion, true)
	for attempt := 1; ; attempt++ {
		tokensBefore := state.Tokens
		if err == nil {
			err = state.readEvents(resp, deliver)
		}
		if state.done || isFinal(err) || state.lastEventID == "" || ctx.Err() != nil {
			return state.Result, err
		}
		if state.Tokens > tokensBefore {
			attempt = 1
		}
		if attempt > maxResumes {
			return state.Result, eris.Wrap(err, "resume stream")
		}
		if !sleep.For(ctx, resumeDelay) {
			return state.Result, ctx.Err()
		}
		state.Resumes++
		resp, err = c.do(ctx, http.MethodGet, c.address(state.Resumes)+"/v1/streams", nil, http.Header{"Last-Event-Id": {state.lastEventID}})
	}
}

// deliveryError wraps an error from the deliver function, which is not retried.
type deliveryError struct{ err error }

func (e *deliveryError) Error() string { return e.err.Error() }
func (e *deliveryError) Unwrap() error { return e.err }

// isFinal reports whether err rules out resuming the stream.
func isFinal(err error) bool {
	var refused *Error
	var delivery *deliveryError
	return errors.As(err, &refused) || errors.As(err, &delivery)
}

var errConnectionLost = eris.New("connection broke before the end of the stream")

// readEvents reads the server-sent events of one connection.
func (s *stream) readEvents(resp *http.Response, deliver func(Token) error) error {
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return readError(resp)
	}
	s.RequestID = resp.Header.Get("X-Request-Id")
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxResponseBytes)
	id, event := "", ""
	for lines.Scan() {
		line := lines.Text()
		switch {
		case line == "":
			id, event = "", ""
		case strings.HasPrefix(line, "id: "):
			id = strings.TrimPrefix(line, "id: ")
		case strings.HasPrefix(line, "event: "):
			event = strings.TrimPrefix(line, "event: ")
		case line == "data: [DONE]":
			s.done = true
			return nil
		case strings.HasPrefix(line, "data: "):
			if err := s.handleData(strings.TrimPrefix(line, "data: "), id, event, deliver); err != nil {
				return err
			}
		}
	}
	return errConnectionLost
}

// chunk is the data of one event: a part of the completion, or a problem.
type chunk struct {
	problem
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// handleData processes the data of one event. The event ID ends in the number of
// tokens sent so far, which shows whether a token is missing or repeated.
func (s *stream) handleData(text, id, event string, deliver func(Token) error) error {
	var decoded chunk
	if err := json.Unmarshal([]byte(text), &decoded); err != nil {
		return errConnectionLost
	}
	if event == "error" {
		return &Error{Outcome: decoded.Outcome, Cause: decoded.Error.Code, Message: decoded.Error.Message, RequestID: decoded.RequestID}
	}
	if len(decoded.Choices) != 1 || id == "" {
		return nil
	}
	s.lastEventID = id
	if reason := decoded.Choices[0].FinishReason; reason != nil {
		s.FinishReason = *reason
		return nil
	}
	next, err := strconv.Atoi(id[strings.LastIndexByte(id, '.')+1:])
	if err != nil || next != s.Tokens+1 {
		return &Error{Outcome: "interrupted", Cause: "outOfOrder", Message: "a token is missing or repeated", RequestID: s.RequestID}
	}
	s.Tokens = next
	if err := deliver(Token{Index: next - 1, Text: decoded.Choices[0].Text}); err != nil {
		return &deliveryError{err}
	}
	return nil
}
