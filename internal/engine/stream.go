package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
)

const (
	// readBufferBytes is small because there are many streams, and the connection
	// has a read buffer as well.
	readBufferBytes = 512
	// maxLineBytes limits the length of one line of a stream, maxEventLines the lines of
	// one event.
	maxLineBytes  = 64 << 10
	maxEventLines = 16
)

var (
	idField    = []byte("id: ")
	dataField  = []byte("data: ")
	eventField = []byte("event: ")
)

// Token is one token of a stream.
type Token struct {
	// Index is the zero-based position in the generation's output.
	Index int
	// Text is the token as a JSON string. It is valid until the next call to Next.
	Text []byte
}

// End describes how a stream ended.
type End struct {
	// Cause is None when the generation is complete.
	Cause outcome.Cause
	// Tokens is the number of tokens of a complete generation.
	Tokens int
}

// Stream reads the tokens of one generation in order. It is not safe for
// concurrent use.
type Stream struct {
	body       io.ReadCloser
	r          *bufio.Reader
	generation []byte
	next       int
	watchdog   *watchdog
	fieldBuf   []byte
	// uncount ends the count of the stream as open.
	uncount func()
}

func newStream(body io.ReadCloser, generation string, index int, w *watchdog) *Stream {
	return &Stream{
		body: body, r: bufio.NewReaderSize(body, readBufferBytes),
		generation: []byte(generation), next: index, watchdog: w,
	}
}

// Close closes the stream without cancelling the generation.
func (s *Stream) Close() {
	s.uncount()
	s.watchdog.stop()
	_ = s.body.Close()
}

// Await blocks until data has arrived or the stream has ended.
func (s *Stream) Await() { _, _ = s.r.Peek(1) }

// Bind replaces the context whose end closes the stream.
func (s *Stream) Bind(ctx context.Context) {
	s.watchdog.unbind()
	s.watchdog.unbind = context.AfterFunc(ctx, func() { _ = s.watchdog.conn.Close() })
}

// event is one server-sent event of an engine.
type event struct {
	id   []byte
	kind []byte
	data []byte
}

// Buffered reports whether more data has arrived already.
func (s *Stream) Buffered() bool { return s.r.Buffered() > 0 }

// Next returns the token at the next index. Repeated tokens are skipped. ok is
// false at the end of the stream, which end describes. A gap in the indexes or an
// event of another generation ends the stream as stalled, so that the user of the
// stream resumes it at the missing index.
func (s *Stream) Next() (t Token, end End, ok bool) {
	for {
		var e event
		if !s.read(&e) {
			return Token{}, End{Cause: s.endCause()}, false
		}
		s.watchdog.reset()
		if len(e.kind) > 0 {
			return Token{}, s.parseEnd(e), false
		}
		if len(e.id) == 0 {
			continue
		}
		index, matches := s.parseID(e.id)
		if mutation.Enabled(mutation.NoIndexCheck) {
			s.next = index
		}
		if !matches || index > s.next || !json.Valid(e.data) || len(e.data) == 0 || e.data[0] != '"' {
			return Token{}, End{Cause: outcome.StalledLink}, false
		}
		if index < s.next {
			continue
		}
		s.next++
		return Token{Index: index, Text: e.data}, End{}, true
	}
}

func (s *Stream) endCause() outcome.Cause {
	if s.watchdog.expired() {
		return outcome.StalledLink
	}
	return outcome.EngineLost
}

// read reads the next event into e. Its slices are valid until the next call. It reports
// false at the end of the stream and for an event that is too long.
func (s *Stream) read(e *event) bool {
	*e = event{}
	s.fieldBuf = s.fieldBuf[:0]
	for range maxEventLines {
		line, ok := s.line()
		if !ok {
			return false
		}
		switch {
		case len(line) == 0:
			return true
		case bytes.HasPrefix(line, idField):
			e.id = s.copyField(line[len(idField):])
		case bytes.HasPrefix(line, dataField):
			e.data = s.copyField(line[len(dataField):])
		case bytes.HasPrefix(line, eventField):
			e.kind = s.copyField(line[len(eventField):])
		}
	}
	return false
}

// line returns the next line without its line ending. It is valid until the next
// call.
func (s *Stream) line() ([]byte, bool) {
	line, err := s.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.longLine(line)
	}
	if err != nil {
		return nil, false
	}
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return line, true
}

// longLine reads the rest of a line that is longer than the buffer.
func (s *Stream) longLine(start []byte) ([]byte, error) {
	line := append([]byte(nil), start...)
	for {
		part, err := s.r.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
		if len(line) > maxLineBytes {
			return nil, err
		}
	}
}

// copyField copies b to fieldBuf, because the next line overwrites the read
// buffer.
func (s *Stream) copyField(b []byte) []byte {
	start := len(s.fieldBuf)
	if cap(s.fieldBuf)-start < len(b) {
		// Earlier fields of this event still refer to the old array.
		s.fieldBuf = make([]byte, 0, 2*cap(s.fieldBuf)+len(b)+64)
		start = 0
	}
	s.fieldBuf = append(s.fieldBuf, b...)
	return s.fieldBuf[start:len(s.fieldBuf):len(s.fieldBuf)]
}

func (s *Stream) parseID(id []byte) (index int, matches bool) {
	slash := bytes.LastIndexByte(id, '/')
	if slash < 0 || !bytes.Equal(id[:slash], s.generation) {
		return 0, false
	}
	n, err := strconv.Atoi(string(id[slash+1:]))
	return n, err == nil && n >= 0
}

func (s *Stream) parseEnd(e event) End {
	var p struct {
		Reason string `json:"reason"`
		Tokens int    `json:"tokens"`
	}
	if string(e.kind) != "end" || json.Unmarshal(e.data, &p) != nil {
		return End{Cause: outcome.EngineLost}
	}
	switch p.Reason {
	case "stop", "length":
		if p.Tokens != s.next {
			// Tokens before the end are missing; a resume fetches them.
			return End{Cause: outcome.StalledLink}
		}
		return End{Tokens: p.Tokens}
	case "reclaimed":
		return End{Cause: outcome.EngineReclaimed}
	case "cancelled":
		return End{Cause: outcome.CallerGone}
	}
	return End{Cause: outcome.EngineLost}
}

// watchdog closes a connection when no data arrives for idleTimeout or when the
// bound context ends.
type watchdog struct {
	idleTimeout time.Duration
	timer       *time.Timer
	conn        net.Conn
	unbind      func() bool
	fired       atomic.Bool
}

func newWatchdog(ctx context.Context, idleTimeout time.Duration, conn net.Conn) *watchdog {
	w := &watchdog{idleTimeout: idleTimeout, conn: conn}
	w.timer = time.AfterFunc(idleTimeout, func() {
		if mutation.Enabled(mutation.StallUndetected) {
			return
		}
		w.fired.Store(true)
		_ = conn.Close()
	})
	w.unbind = context.AfterFunc(ctx, func() { _ = conn.Close() })
	return w
}

func (w *watchdog) reset()        { w.timer.Reset(w.idleTimeout) }
func (w *watchdog) expired() bool { return w.fired.Load() }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.unbind()
	_ = w.conn.Close()
}
