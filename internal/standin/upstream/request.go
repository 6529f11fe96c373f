package upstream

import (
	"fmt"
	"net/http"
	"time"
)

// Request is a request as a caller of the users' platform makes it.
type Request struct {
	// Attempt and Key are the request's ID and the API key.
	Attempt, Key string
	// Timeout is how long the caller waits.
	Timeout time.Duration
	// PromptTokens and Most are the length of the prompt and the most output tokens;
	// both 0 for a plain request.
	PromptTokens, MaxTokens int
}

// Headers returns the headers of the request.
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
