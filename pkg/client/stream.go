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

	"github.com/pimentohinge/pimentohinge/internal/pause"
)

// Completion is a request for a streamed completion.
type Completion struct {
	// Model is the name of a service or of its model.
	Model string
	// Prompt is the whole prompt.
	Prompt string
	// MaxTokens bounds the output in tokens; 0 leaves it to the system.
	MaxTokens int
	// Batch marks work that may wait behind interactive work.
	Batch bool
}

// Token is one token of a stream.
type Token struct {
	// Index is the position in the answer, from 0.
	Index int
	// Text is the token.
	Text string
}

// Result is the end of a whole stream.
type Result struct {
	// RequestID names the request for pimentohinge explain.
	RequestID string
	// Tokens is the length of the answer.
	Tokens int
	// Resumes counts how often the stream went on after a broken connection.
	Resumes int
	// FinishReason is stop or length.
	FinishReason string
}

// Whole is an answer that was not streamed.
type Whole struct {
	// RequestID names the request for pimentohinge explain.
	RequestID string
	// Text is the whole answer.
	Text string
	// Tokens is its length.
	Tokens int
	// FinishReason is stop or length.
	FinishReason string
}

// Complete gets an answer in one piece through the first address.
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
		return Whole{}, eris.Wrap(err, "read answer")
	}
	if len(decoded.Choices) != 1 || decoded.Choices[0].FinishReason == nil {
		return Whole{}, eris.New("read answer: no finished choice")
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

// stream is the state of one streamed answer over its connections.
type stream struct {
	Result
	lastEventID string
	done        bool
}

// Stream delivers the tokens of one answer in order and once each, resuming
// through the next address when a connection breaks. An error of deliver ends
// the stream. An *Error reports a refusal or an early end.
func (c *Client) Stream(ctx context.Context, completion Completion, deliver func(Token) error) (Result, error) {
	state := &stream{}
	resp, err := c.sendCompletion(ctx, completion, true)
	for attempt := 1; ; attempt++ {
		before := state.Tokens
		if err == nil {
			err = state.readEvents(resp, deliver)
		}
		if state.done || isFinal(err) || state.lastEventID == "" || ctx.Err() != nil {
			return state.Result, err
		}
		if state.Tokens > before {
			attempt = 1
		}
		if attempt > maxResumes {
			return state.Result, eris.Wrap(err, "resume stream")
		}
		if !pause.For(ctx, resumeDelay) {
			return state.Result, ctx.Err()
		}
		state.Resumes++
		resp, err = c.do(ctx, http.MethodGet, c.address(state.Resumes)+"/v1/streams", nil, http.Header{"Last-Event-Id": {state.lastEventID}})
	}
}

// deliveryError is an error of the receiver of tokens.
type deliveryError struct{ err error }

func (e *deliveryError) Error() string { return e.err.Error() }
func (e *deliveryError) Unwrap() error { return e.err }

// isFinal reports whether a stream can't go on after an error.
func isFinal(err error) bool {
	var refused *Error
	var delivery *deliveryError
	return errors.As(err, &refused) || errors.As(err, &delivery)
}

var errConnectionLost = eris.New("connection broke before the end of the stream")

// readEvents takes the events of one connection.
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

type chunk struct {
	problem
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

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
