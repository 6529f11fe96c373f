package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/invariant"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/problem"
)

// ResumeToken identifies a stream, so that a caller can reconnect through any VM.
// It is signed and sent as part of each event id.
type ResumeToken struct {
	// Request and Generation identify the stream; VM is the VM that serves it.
	Request    string `cbor:"1,keyasint"`
	Generation string `cbor:"2,keyasint"`
	VM         string `cbor:"3,keyasint"`
	// Engine is the name of the backend that runs the generation.
	Engine string `cbor:"4,keyasint"`
	// Workspace is the only workspace that may resume the stream.
	Workspace string `cbor:"5,keyasint"`
	// Service is the name of the service.
	Service string `cbor:"6,keyasint"`
	// Chat is true for the chat format.
	Chat bool `cbor:"7,keyasint"`
	// CreatedUnix is when the request was received, in Unix seconds; each chunk
	// contains it.
	CreatedUnix int64 `cbor:"8,keyasint"`
	// PromptTokens and MaxTokens are needed for the usage and the finish reason.
	PromptTokens int `cbor:"9,keyasint"`
	MaxTokens    int `cbor:"10,keyasint"`
	// Revision is the configuration revision under which the request was placed.
	Revision int `cbor:"11,keyasint"`
	// IncludeUsage is true when the caller requested a usage chunk.
	IncludeUsage bool `cbor:"12,keyasint"`
}

// sink receives the tokens of one response in order.
type sink interface {
	// begin sets the generation and the index of the next token.
	begin(token ResumeToken, index int)
	// token writes the token at index; text is a JSON string.
	token(index int, text []byte) error
	// flush sends the tokens written so far and reports whether the caller is gone.
	flush() error
	// end completes the response; tokens is its length.
	end(token ResumeToken, tokens int) error
	// restartable reports whether nothing was delivered yet, so that another
	// generation may replace this one.
	restartable() bool
}

// tokenOrder checks that each token of a response is delivered once, in order and
// from a single generation.
type tokenOrder struct {
	generation string
	next       int
	delivered  bool
}

func (o *tokenOrder) begin(generation string, index int) {
	invariant.Check(!o.delivered || o.generation == generation, "response from one generation",
		"before", o.generation, "now", generation)
	o.generation, o.next = generation, index
}

func (o *tokenOrder) accept(index int) {
	if index != o.next {
		invariant.Check(false, "tokens in order without repetition", "generation", o.generation, "want", o.next, "got", index)
	}
	o.next++
	o.delivered = true
}

// streamSink writes server-sent events.
type streamSink struct {
	tokenOrder
	req    *request
	chat   bool
	buf    []byte
	id     []byte // "id: TOKEN.", followed by the position
	prefix []byte // chunk up to the token text
	suffix []byte // chunk after the token text
}

func newStreamSink(req *request, chat bool) *streamSink {
	return &streamSink{req: req, chat: chat, buf: make([]byte, 0, streamBufferBytes)}
}

const streamBufferBytes = 512

// open writes the response header.
func (s *streamSink) open() {
	if s.req.started {
		return
	}
	s.req.started = true
	h := s.req.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.req.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) begin(token ResumeToken, index int) { s.prepare(token, "", index) }

func (s *streamSink) prepare(token ResumeToken, signedToken string, index int) {
	s.tokenOrder.begin(token.Generation, index)
	s.chat = token.Chat
	if signedToken != "" {
		s.id = []byte("id: " + signedToken + ".")
	}
	id, object, textStart := "cmpl-"+token.Request, "text_completion", `"text":`
	s.suffix = []byte(`,"logprobs":null,"finish_reason":null}]}` + "\n\n")
	if token.Chat {
		id, object, textStart = "chatcmpl-"+token.Request, "chat.completion.chunk", `"delta":{"content":`
		s.suffix = []byte(`},"logprobs":null,"finish_reason":null}]}` + "\n\n")
	}
	s.prefix = fmt.Appendf(nil, `data: {"id":%q,"object":%q,"created":%d,"model":%q,"choices":[{"index":0,%s`,
		id, object, token.CreatedUnix, token.Service, textStart)
}

func (s *streamSink) token(index int, text []byte) error {
	s.accept(index)
	s.open()
	b := s.buf[:0]
	if s.chat && index == 0 {
		b = s.appendRole(b)
	}
	b = s.appendEventID(b)
	b = append(b, s.prefix...)
	b = append(b, text...)
	b = append(b, s.suffix...)
	s.buf = b
	_, err := s.req.w.Write(b)
	return err
}

// appendEventID appends the event id, which holds the position after the last token.
func (s *streamSink) appendEventID(b []byte) []byte {
	if len(s.id) == 0 {
		return b
	}
	b = append(b, s.id...)
	b = strconv.AppendInt(b, int64(s.next), 10)
	return append(b, '\n')
}

// appendRole appends the chunk with the role, which precedes the first token of a
// chat.
func (s *streamSink) appendRole(b []byte) []byte {
	head := strings.TrimSuffix(string(s.prefix), `{"content":`)
	return append(b, head+`{"role":"assistant","content":""},"logprobs":null,"finish_reason":null}]}`+"\n\n"...)
}

func (s *streamSink) flush() error {
	if f, ok := s.req.w.(http.Flusher); ok {
		f.Flush()
	}
	return s.req.r.Context().Err()
}

func finishReason(token ResumeToken, tokens int) string {
	if tokens >= token.MaxTokens {
		return "length"
	}
	return "stop"
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func usageOf(token ResumeToken, tokens int) usage {
	return usage{PromptTokens: token.PromptTokens, CompletionTokens: tokens, TotalTokens: token.PromptTokens + tokens}
}

func (s *streamSink) end(token ResumeToken, tokens int) error {
	invariant.Check(tokens == s.next, "response complete", "generation", s.generation, "tokens", tokens, "delivered", s.next)
	s.open()
	b := s.appendEventID(s.buf[:0])
	emptyText := `""`
	if token.Chat {
		// The last chunk has an empty delta.
		b = append(b, strings.TrimSuffix(string(s.prefix), `"content":`)...)
		b = fmt.Appendf(b, `},"logprobs":null,"finish_reason":%q}]}`+"\n\n", finishReason(token, tokens))
	} else {
		b = append(b, s.prefix...)
		b = fmt.Appendf(b, `%s,"logprobs":null,"finish_reason":%q}]}`+"\n\n", emptyText, finishReason(token, tokens))
	}
	if token.IncludeUsage {
		u, _ := json.Marshal(usageOf(token, tokens))
		head, _, _ := strings.Cut(string(s.prefix), `"choices":`)
		b = fmt.Appendf(b, `%s"choices":[],"usage":%s}`+"\n\n", head, u)
	}
	b = append(b, "data: [DONE]\n\n"...)
	if _, err := s.req.w.Write(b); err != nil {
		return err
	}
	return s.flush()
}

func (s *streamSink) restartable() bool { return !s.delivered }

// fail sends an error event if the stream has already begun.
func (s *streamSink) fail(id string, o outcome.Result) {
	if !s.req.started {
		return
	}
	writeStreamError(s.req, problem.New(id, o))
	_ = s.flush()
}

func writeStreamError(req *request, p problem.Problem) {
	body, _ := json.Marshal(p)
	_, _ = req.w.Write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", body))
}

// errResponseFull means that there is no memory left for a response that is not streamed.
var errResponseFull = eris.New("no memory left for the response")

// responseText stands for the text of a response while the rest is encoded.
const responseText = "\x00"

// bufferSink collects the tokens and sends them as one JSON response.
type bufferSink struct {
	tokenOrder
	req *request
	// text is the text as it stands in a JSON string.
	text []byte
}

func (s *bufferSink) begin(token ResumeToken, index int) {
	if token.Generation != s.generation {
		// Nothing was sent yet, so the new generation replaces the previous one.
		s.delivered = false
		s.text = s.text[:0]
	}
	s.tokenOrder.begin(token.Generation, index)
}

func (s *bufferSink) token(index int, text []byte) error {
	s.accept(index)
	text = bytes.TrimSpace(text)
	return s.add(text[1 : len(text)-1])
}

// add appends to the text.
func (s *bufferSink) add(part []byte) error {
	if size := len(s.text) + len(part); size > cap(s.text) {
		grown, ok := s.req.response.Grow(s.text, int64(max(size, 2*cap(s.text))))
		if !ok {
			return errResponseFull
		}
		s.text = grown
	}
	s.text = append(s.text, part...)
	return nil
}

func (s *bufferSink) flush() error { return s.req.r.Context().Err() }

func (s *bufferSink) restartable() bool { return !s.req.started }

func (s *bufferSink) end(token ResumeToken, tokens int) error {
	invariant.Check(tokens == s.next, "response complete", "generation", s.generation, "tokens", tokens, "collected", s.next)
	reason := finishReason(token, tokens)
	choice := map[string]any{"index": 0, "text": responseText, "logprobs": nil, "finish_reason": reason}
	id, object := "cmpl-"+token.Request, "text_completion"
	if token.Chat {
		choice = map[string]any{
			"index": 0, "message": map[string]any{"role": "assistant", "content": responseText},
			"logprobs": nil, "finish_reason": reason,
		}
		id, object = "chatcmpl-"+token.Request, "chat.completion"
	}
	body, err := json.Marshal(map[string]any{
		"id": id, "object": object, "created": token.CreatedUnix, "model": token.Service,
		"choices": []any{choice}, "usage": usageOf(token, tokens),
	})
	if err != nil {
		return err
	}
	placeholder, err := json.Marshal(responseText)
	if err != nil {
		return err
	}
	// The text is written as it is, as it may be long: copies of it would take memory that is not reserved.
	head, tail, _ := bytes.Cut(body, placeholder[1:len(placeholder)-1])
	s.req.respondJSON(http.StatusOK, head, s.text, append(tail, '\n'))
	return nil
}
