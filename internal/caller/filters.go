package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"mime"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// singleHeaders may occur at most once; with two values it would be ambiguous
// which one applies.
var singleHeaders = []string{
	"Authorization", "Content-Type", "Idempotency-Key", headerIdempotencyTicket, "Last-Event-Id",
}

// headerIdempotencyTicket carries a ticket instead of an idempotency key.
const headerIdempotencyTicket = "Idempotency-Ticket"

// authenticate determines the workspace from the bearer key.
type authenticate struct{ s *Server }

func (f authenticate) apply(req *request) (outcome.Result, bool) {
	for _, h := range singleHeaders {
		if len(req.r.Header.Values(h)) > 1 {
			return outcome.Refuse(outcome.BadRequest, "header "+h+" is given more than once"), false
		}
	}
	scheme, key, _ := strings.Cut(req.r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return outcome.Refuse(outcome.Unauthorized, "send Authorization: Bearer KEY"), false
	}
	name, known := req.state.Keys[configchain.KeyHash(key)]
	if !known {
		return outcome.Refuse(outcome.Unauthorized, ""), false
	}
	req.workspace = req.state.Workspaces[name]
	return outcome.Result{}, true
}

// refuseUnknownPath refuses paths and methods that are not served.
type refuseUnknownPath struct{}

func (refuseUnknownPath) apply(req *request) (outcome.Result, bool) {
	return outcome.Refuse(outcome.NotFound, req.r.Method+" "+req.r.URL.Path), false
}

// listModels returns the model services that the workspace may use.
type listModels struct{ s *Server }

func (f listModels) apply(req *request) (outcome.Result, bool) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for _, name := range req.workspace.Services {
		if svc := req.state.Services[name]; svc.Kind == configchain.KindModel {
			list = append(list, model{ID: name, Object: "model", OwnedBy: "pimentohinge"})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return writeJSON(req, http.StatusOK, map[string]any{"object": "list", "data": list})
}

func writeJSON(req *request, status int, v any) (outcome.Result, bool) {
	body, err := json.Marshal(v)
	if err != nil {
		panic("caller: response does not marshal: " + err.Error())
	}
	req.respondJSON(status, append(body, '\n'))
	return outcome.Done(0), false
}

// issueTicket returns a new ticket.
type issueTicket struct{ s *Server }

func (f issueTicket) apply(req *request) (outcome.Result, bool) {
	token, expires := f.s.opts.Tickets.Issue(time.Now(), req.workspace.Name, req.state.Number)
	return writeJSON(req, http.StatusCreated, map[string]any{"ticket": token, "expiresUnixMs": expires.UnixMilli()})
}

// modelRequest holds the supported parameters of a completion or chat request.
type modelRequest struct {
	prompt       string
	promptTokens int
	maxTokens    int
	stream       bool
	includeUsage bool
	class        string
	// segments identify the parts of the prompt that other requests may share.
	segments []string
}

const (
	defaultMaxTokens = 32768
	maxTokensLimit   = 131072
	// bytesPerToken is used to estimate the number of prompt tokens; the engines
	// count them exactly.
	bytesPerToken     = 4
	hashedPrefixBytes = 256
	// maxSegments limits the parts of a prompt that are tracked.
	maxSegments = 32
	// decodeFactor is the memory that decoding a body takes, as a multiple of its length.
	decodeFactor = 16
)

// decodeModel decodes a completion or chat request and determines its service.
type decodeModel struct{ s *Server }

// modelBody holds the supported members of the OpenAI-style request JSON; other
// members are ignored.
type modelBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
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

func (f decodeModel) apply(req *request) (outcome.Result, bool) {
	var body modelBody
	if o, ok := f.s.decode(req, &body); !ok {
		return o, false
	}
	if o, ok := findModel(req, body.Model); !ok {
		return o, false
	}
	prompt, messages, reason := buildPrompt(req.format, body)
	if reason != "" {
		return outcome.Refuse(outcome.BadRequest, reason), false
	}
	maxTokens := defaultMaxTokens
	for _, requested := range []*int{body.MaxTokens, body.MaxCompletionTokens} {
		if requested != nil {
			maxTokens = *requested
		}
	}
	switch {
	case maxTokens < 1 || maxTokens > maxTokensLimit:
		return outcome.Refuse(outcome.BadRequest, "max_tokens must be from 1 to 131072"), false
	case body.N != nil && *body.N != 1:
		return outcome.Refuse(outcome.BadRequest, "n must be 1"), false
	}
	req.model = modelRequest{
		prompt: prompt, promptTokens: len(prompt)/bytesPerToken + 1, maxTokens: maxTokens,
		stream: body.Stream, includeUsage: body.StreamOptions.IncludeUsage, class: control.ClassInteractive,
		segments: segments(prompt, messages),
	}
	if body.ServiceTier == "flex" {
		req.model.class = control.ClassBatch
	}
	req.decoding.Release()
	req.memory.Keep(int64(len(prompt)))
	req.timeline = f.s.opts.Incidents.Start(req.id, req.workspace.Name, req.service.Name)
	req.timeline.SetRevision(req.state.Number)
	return outcome.Result{}, true
}

// segments returns hashes of the parts of a prompt that other requests may share: the
// messages of a chat, or else the beginning and the whole of the prompt.
func segments(prompt string, messages []message) []string {
	parts := []string{prompt[:min(len(prompt), hashedPrefixBytes)], prompt}
	if len(messages) > 0 {
		parts = nil
		for _, m := range messages[:min(len(messages), maxSegments)] {
			parts = append(parts, m.Role+":"+string(m.Content))
		}
	}
	var hashes []string
	for _, part := range parts {
		if hash := strconv.FormatUint(xxhash.Sum64String(part), 16); !slices.Contains(hashes, hash) {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

func (m modelRequest) prefixHash() uint64 {
	return xxhash.Sum64String(m.prompt[:min(len(m.prompt), hashedPrefixBytes)])
}

// decode decodes the request body, one JSON value of limited size, into v.
func (s *Server) decode(req *request, v any) (outcome.Result, bool) {
	if t := req.r.Header.Get("Content-Type"); t != "" {
		if media, _, err := mime.ParseMediaType(t); err != nil || media != "application/json" {
			return outcome.Refuse(outcome.BadRequest, "Content-Type must be application/json"), false
		}
	}
	// A body of known length is refused before it is read.
	length := max(0, min(req.r.ContentLength, int64(s.opts.Limits.BodyBytes)))
	req.decoding = s.opts.Decoding.Reserve()
	if !req.decoding.AddOrAlone(decodeFactor * length) {
		return refuseFull(req), false
	}
	body, o, ok := s.readBody(req)
	if !ok {
		return o, false
	}
	if !req.decoding.AddOrAlone(decodeFactor * (int64(len(body)) - length)) {
		return refuseFull(req), false
	}
	if err := json.Unmarshal(body, v); err != nil {
		return outcome.Refuse(outcome.BadRequest, "body: "+err.Error()), false
	}
	return outcome.Result{}, true
}

// findModel sets the service of the request. model is the name of a service or
// of the model that it serves.
func findModel(req *request, model string) (outcome.Result, bool) {
	svc, found := req.state.Services[model]
	if !found || svc.Kind != configchain.KindModel {
		svc, found = serviceForModel(req, model)
	}
	if !found {
		return outcome.Refuse(outcome.NotFound, "model "+model), false
	}
	return authorizeService(req, svc)
}

func serviceForModel(req *request, model string) (wire.Service, bool) {
	for _, name := range req.workspace.Services {
		if svc := req.state.Services[name]; svc.Kind == configchain.KindModel && svc.Model == model && model != "" {
			return svc, true
		}
	}
	return wire.Service{}, false
}

func authorizeService(req *request, svc wire.Service) (outcome.Result, bool) {
	req.service = svc
	for _, name := range req.workspace.Services {
		if name == svc.Name {
			return outcome.Result{}, true
		}
	}
	return outcome.Refuse(outcome.Forbidden, "service "+svc.Name), false
}

// buildPrompt returns the prompt, or the concatenated messages of a chat and those that are tracked.
// A non-empty reason explains why the request is invalid.
func buildPrompt(f responseFormat, body modelBody) (prompt string, messages []message, reason string) {
	if f == formatChat {
		return chatPrompt(body.Messages)
	}
	if json.Unmarshal(body.Prompt, &prompt) == nil && prompt != "" {
		return prompt, nil, ""
	}
	n := 0
	err := forEachElement(body.Prompt, func(d *json.Decoder) error {
		if n++; n > 1 {
			return errInvalidElement
		}
		return d.Decode(&prompt)
	})
	if err != nil || prompt == "" {
		return "", nil, "prompt must be one string that is not empty"
	}
	return prompt, nil, ""
}

// noMessages is the reason why a chat without messages is refused.
const noMessages = "messages must not be empty"

func chatPrompt(raw json.RawMessage) (prompt string, tracked []message, reason string) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil, noMessages
	}
	var text strings.Builder
	n := 0
	err := forEachElement(raw, func(d *json.Decoder) error {
		var m message
		if err := d.Decode(&m); err != nil {
			return err
		}
		if n++; n <= maxSegments {
			tracked = append(tracked, m)
		}
		if m.Role == "" {
			return errInvalidElement
		}
		text.WriteString(m.Role + ": ")
		if err := writeContent(&text, m.Content); err != nil {
			return err
		}
		text.WriteByte('\n')
		return nil
	})
	switch {
	case err != nil:
		return "", nil, "each message needs a role and text content"
	case n == 0:
		return "", nil, noMessages
	}
	return text.String(), tracked, ""
}

// writeContent appends the text of a message.
func writeContent(text *strings.Builder, raw json.RawMessage) error {
	var whole string
	if json.Unmarshal(raw, &whole) == nil {
		text.WriteString(whole)
		return nil
	}
	return forEachElement(raw, func(d *json.Decoder) error {
		var part struct {
			Type string `json:"type"`
			Text string `json:"text"`
		}
		if err := d.Decode(&part); err != nil {
			return err
		}
		if part.Type != "text" {
			return errInvalidElement
		}
		text.WriteString(part.Text)
		return nil
	})
}

// errInvalidElement ends forEachElement at an element that is not accepted.
var errInvalidElement = errors.New("invalid element")

// forEachElement calls f for each element of a JSON array until it returns an error. An array of
// millions of invalid elements takes no more memory than its text.
func forEachElement(raw json.RawMessage, f func(*json.Decoder) error) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	if start, err := d.Token(); err != nil || start != json.Delim('[') {
		return errInvalidElement
	}
	for d.More() {
		if err := f(d); err != nil {
			return err
		}
	}
	return nil
}
