package caller

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/headlimit"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/readlimit"
)

const (
	// bodyTimeout bounds reading a request body, and bodyIdleTimeout the wait for its next part.
	bodyTimeout     = 30 * time.Second
	bodyIdleTimeout = 5 * time.Second
	// fullRetryDelay is the advised retry delay when there was no memory for a body.
	fullRetryDelay = time.Second
)

// callerBody reads a body with deadlines.
type callerBody struct {
	io.ReadCloser
	conn *http.ResponseController
	end  time.Time
}

func (b *callerBody) Read(p []byte) (int, error) {
	at := time.Now().Add(bodyIdleTimeout)
	if b.end.Before(at) {
		at = b.end
	}
	_ = b.conn.SetReadDeadline(at)
	return b.ReadCloser.Read(p)
}

// readBody reads the body of a request into memory that is reserved until the request ends.
func (s *Server) readBody(req *request) ([]byte, outcome.Result, bool) {
	limit := int64(s.opts.Limits.BodyBytes)
	req.memory = s.opts.Bodies.Reserve()
	conn := http.NewResponseController(req.w)
	source := &callerBody{ReadCloser: req.r.Body, conn: conn, end: time.Now().Add(bodyTimeout)}
	limited := headlimit.FromContext(req.r.Context())
	limited.AwaitBody()
	body, err := req.memory.ReadAll(http.MaxBytesReader(req.w, source, limit), req.r.ContentLength, limit)
	if !limited.BodyRead() {
		return nil, outcome.Refuse(outcome.CallerGone, "closed for other connections while reading the body"), false
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = conn.SetReadDeadline(time.Time{})
		return body, outcome.Result{}, true
	case errors.Is(err, readlimit.ErrBudgetExhausted):
		return nil, refuseFull(req), false
	case errors.As(err, &tooLarge), errors.Is(err, readlimit.ErrBodyTooLong):
		return nil, outcome.Refuse(outcome.TooLarge, "http: request body too large"), false
	case errors.Is(err, os.ErrDeadlineExceeded):
		req.w.Header().Set("Connection", "close")
		return nil, outcome.Refuse(outcome.SlowBody, ""), false
	}
	return nil, outcome.Refuse(outcome.BadRequest, "body: "+err.Error()), false
}

// refuseFull refuses a request for whose body there is no memory.
func refuseFull(req *request) outcome.Result {
	req.w.Header().Set("Connection", "close")
	o := outcome.Refuse(outcome.VMFull, "")
	o.RetryAt = time.Now().Add(fullRetryDelay)
	return o
}
