package caller

import (
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// singleHeaders may occur once at most: two values would leave open which one
// counts.
var singleHeaders = []string{
	"Authorization", "Content-Type", "Idempotency-Key", headerTicket, "Last-Event-Id",
}

// headerTicket carries a ticket in place of an idempotency key.
const headerTicket = "Idempotency-Ticket"

// authenticate finds the workspace of the bearer key.
type authenticate struct{ s *Server }

func (f authenticate) pass(c *call) (outcome.Outcome, bool) {
	for _, h := range singleHeaders {
		if len(c.r.Header.Values(h)) > 1 {
			return outcome.Refuse(outcome.BadRequest, "header "+h+" is given more than once"), false
		}
	}
	scheme, key, _ := strings.Cut(c.r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return outcome.Refuse(outcome.Unauthorized, "send Authorization: Bearer KEY"), false
	}
	name, known := c.state.Keys[chain.KeyHash(key)]
	if !known {
		return outcome.Refuse(outcome.Unauthorized, ""), false
	}
	c.workspace = c.state.Workspaces[name]
	return outcome.Outcome{}, true
}

// unknownPath answers paths and methods that are not served.
type unknownPath struct{}

func (unknownPath) pass(c *call) (outcome.Outcome, bool) {
	return outcome.Refuse(outcome.NotFound, c.r.Method+" "+c.r.URL.Path), false
}

// listModels answers with the services that the workspace may use.
type listModels struct{ s *Server }

func (f listModels) pass(c *call) (outcome.Outcome, bool) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for _, name := range c.workspace.Services {
		if svc := c.state.Services[name]; svc.Kind == chain.KindModel {
			list = append(list, model{ID: name, Object: "model", OwnedBy: "pimentohinge"})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return answerJSON(c, http.StatusOK, map[string]any{"object": "list", "data": list})
}

func answerJSON(c *call, status int, v any) (outcome.Outcome, bool) {
	c.w.Header().Set("Content-Type", "application/json")
	c.w.WriteHeader(status)
	c.started = true
	_ = json.NewEncoder(c.w).Encode(v)
	return outcome.Done(0), false
}

// issueTicket answers with a fresh ticket.
type issueTicket struct{ s *Server }

func (f issueTicket) pass(c *call) (outcome.Outcome, bool) {
	token, expires := f.s.opts.Tickets.Issue(time.Now(), c.workspace.Name, c.state.Number)
	return answerJSON(c, http.StatusCreated, map[string]any{"ticket": token, "expiresUnixMs": expires.UnixMilli()})
}

// modelRequest is a completion or chat request, as far as it is understood.
type modelRequest struct {
	prompt       string
	promptTokens int
	maxTokens    int
	stream       bool
	includeUsage bool
	class        string
}

const (
	defaultMaxTokens = 32768
	maxMaxTokens     = 131072
	// bytesPerToken estimates the length of a prompt; the engines count exactly.
	bytesPerToken = 4
	prefixBytes   = 256
)

// decodeModel reads a completion or chat request and finds its service.
type decodeModel struct{ s *Server }

// modelBody is the accepted part of the usual JSON; other members are ignored.
type modelBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	N                   *int            `json:"n"`
	ServiceTier         string          `json:"service_tier"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func (f decodeModel) pass(c *call) (outcome.Outcome, bool) {
	var b modelBody
	if o, ok := f.s.decode(c, &b); !ok {
		return o, false
	}
	if o, ok := findModel(c, b.Model); !ok {
		return o, false
	}
	prompt, reason := promptOf(c.format, b)
	if reason != "" {
		return outcome.Refuse(outcome.BadRequest, reason), false
	}
	limit := defaultMaxTokens
	for _, m := range []*int{b.MaxTokens, b.MaxCompletionTokens} {
		if m != nil {
			limit = *m
		}
	}
	switch {
	case limit < 1 || limit > maxMaxTokens:
		return outcome.Refuse(outcome.BadRequest, "max_tokens must be from 1 to 131072"), false
	case b.N != nil && *b.N != 1:
		return outcome.Refuse(outcome.BadRequest, "n must be 1"), false
	}
	c.model = modelRequest{
		prompt: prompt, promptTokens: len(prompt)/bytesPerToken + 1, maxTokens: limit,
		stream: b.Stream, includeUsage: b.StreamOptions.IncludeUsage, class: control.ClassInteractive,
	}
	if b.ServiceTier == "flex" {
		c.model.class = control.ClassBatch
	}
	c.timeline = f.s.opts.Incidents.Start(c.id, c.workspace.Name, c.service.Name)
	c.timeline.SetRevision(c.state.Number)
	return outcome.Outcome{}, true
}

func (m modelRequest) prefixHash() uint64 {
	return xxhash.Sum64String(m.prompt[:min(len(m.prompt), prefixBytes)])
}

// decode reads one JSON object of a bounded size.
func (s *Server) decode(c *call, v any) (outcome.Outcome, bool) {
	if t := c.r.Header.Get("Content-Type"); t != "" {
		if media, _, err := mime.ParseMediaType(t); err != nil || media != "application/json" {
			return outcome.Refuse(outcome.BadRequest, "Content-Type must be application/json"), false
		}
	}
	body, o, ok := s.readBody(c)
	if !ok {
		return o, false
	}
	if err := json.Unmarshal(body, v); err != nil {
		return outcome.Refuse(outcome.BadRequest, "body: "+err.Error()), false
	}
	return outcome.Outcome{}, true
}

func (s *Server) readBody(c *call) ([]byte, outcome.Outcome, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, int64(s.opts.Limits.BodyBytes)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, outcome.Refuse(outcome.TooLarge, err.Error()), false
	}
	if err != nil {
		return nil, outcome.Refuse(outcome.BadRequest, "body: "+err.Error()), false
	}
	return body, outcome.Outcome{}, true
}

// findModel accepts the name of a service, or of the model that it serves.
func findModel(c *call, model string) (outcome.Outcome, bool) {
	svc, found := c.state.Services[model]
	if !found || svc.Kind != chain.KindModel {
		svc, found = serviceOfModel(c, model)
	}
	if !found {
		return outcome.Refuse(outcome.NotFound, "model "+model), false
	}
	return allowed(c, svc)
}

func serviceOfModel(c *call, model string) (wire.Service, bool) {
	for _, name := range c.workspace.Services {
		if svc := c.state.Services[name]; svc.Kind == chain.KindModel && svc.Model == model && model != "" {
			return svc, true
		}
	}
	return wire.Service{}, false
}

func allowed(c *call, svc wire.Service) (outcome.Outcome, bool) {
	c.service = svc
	for _, name := range c.workspace.Services {
		if name == svc.Name {
			return outcome.Outcome{}, true
		}
	}
	return outcome.Refuse(outcome.Forbidden, "service "+svc.Name), false
}

// promptOf joins prompt or messages; reason says why it can't.
func promptOf(f format, b modelBody) (prompt, reason string) {
	if f == formatChat {
		return chatPrompt(b.Messages)
	}
	if json.Unmarshal(b.Prompt, &prompt) == nil && prompt != "" {
		return prompt, ""
	}
	var list []string
	if json.Unmarshal(b.Prompt, &list) == nil && len(list) == 1 && list[0] != "" {
		return list[0], ""
	}
	return "", "prompt must be one string that is not empty"
}

func chatPrompt(messages []message) (prompt, reason string) {
	if len(messages) == 0 {
		return "", "messages must not be empty"
	}
	var text strings.Builder
	for _, m := range messages {
		content, ok := contentOf(m.Content)
		if m.Role == "" || !ok {
			return "", "each message needs a role and text content"
		}
		text.WriteString(m.Role + ": " + content + "\n")
	}
	return text.String(), ""
}

func contentOf(raw json.RawMessage) (string, bool) {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s, true
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		s += p.Text
	}
	return s, true
}
