package upstream

import (
	"fmt"
	"net/http"
	"time"
)

// Request describes a request from a caller of the users' platform.
type Request struct {
	// Attempt is the attempt ID and Key the API key.
	Attempt, Key string
	// Timeout is how long the caller waits.
	Timeout time.Duration
	// PromptTokens is the length of the prompt and MaxTokens the limit of the output;
	// both are 0 for a plain service.
	PromptTokens, MaxTokens int
}

// Headers returns the HTTP headers of the request.
func (r Request) Headers() http.Header {
	h := http.Header{}
	h.Set("Authorization", "Token "+r.Key)
	h.Set("X-Pimentohinge-Attempt-Id", r.Attempt)
	h.Set("X-Pimentohinge-Deadline-Ms", fmt.Sprint(r.Timeout.Milliseconds()))
	if r.PromptTokens > 0 {
		h.Set("X-Pimentohinge-Token-Usage", fmt.Sprintf("%d,%d", r.PromptTokens, r.MaxTokens))
	}
	return h
}

// IsStamped reports whether a response carries the stamp of a replica.
func IsStamped(h http.Header) bool { return h.Get("X-Pimentohinge-Response-Stamp") != "" }
