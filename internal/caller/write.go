package caller

import (
	"net/http"
	"strconv"
	"time"
)

const (
	// writeTimeout bounds writing one part of a response to a caller who does not read, and
	// writtenPartBytes is the length of a part.
	writeTimeout     = 10 * time.Second
	writtenPartBytes = 64 << 10
)

// respondJSON writes a response whose body is the given parts.
func (req *request) respondJSON(status int, parts ...[]byte) {
	length := 0
	for _, part := range parts {
		length += len(part)
	}
	req.w.Header().Set("Content-Type", "application/json")
	req.w.Header().Set("Content-Length", strconv.Itoa(length))
	req.w.WriteHeader(status)
	req.started = true
	for _, part := range parts {
		req.write(part)
	}
}

// write writes a body in parts, each with a deadline. A caller who does not read would hold its
// connection and the memory of the response for ever.
func (req *request) write(body []byte) {
	for len(body) > 0 {
		n := min(len(body), writtenPartBytes)
		req.boundWrite()
		if _, err := req.w.Write(body[:n]); err != nil {
			return
		}
		body = body[n:]
	}
	req.boundWrite()
}

// boundWrite bounds writing the next part of the response.
func (req *request) boundWrite() {
	_ = http.NewResponseController(req.w).SetWriteDeadline(time.Now().Add(writeTimeout))
}
