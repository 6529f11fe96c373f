package upstream

import (
	"fmt"
	"net/http"
	"time"
)

// Ask is a request as a caller of the users' platform makes it.
type Ask struct {
	// Attempt and Key are the request's ID and the API key.
	Attempt, Key string
	// Left is how long the caller waits.
	Left time.Duration
	// Prompt and Most are the length of the prompt and the most output tokens;
	// both 0 for a plain request.
	Prompt, Most int
}

// Headers returns the headers of the request.
func (a Ask) Headers() http.Header {
	h := http.Header{}
	h.Set("Authorization", "Token "+a.Key)
	h.Set("X-Pimentohinge-Attempt-Id", a.Attempt)
	h.Set("X-Pimentohinge-Deadline-Ms", fmt.Sprint(a.Left.Milliseconds()))
	if a.Prompt > 0 {
		h.Set("X-Pimentohinge-Token-Usage", fmt.Sprintf("%d,%d", a.Prompt, a.Most))
	}
	return h
}
