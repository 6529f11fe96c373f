package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds one event. Each stream may buffer one.
const maxEventBytes = 256 << 10

var errEventTooLong = eris.New("event too long")

// event is one complete server-sent event.
type event struct {
	// raw is the event as received, including the empty line at the end.
	raw []byte
	// id is the event's numeric ID; hasID is false if there is none.
	id    int64
	hasID bool
}

// eventReader splits a stream into complete events.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 2<<10)}
}

// next returns the next complete event. The error is io.EOF when the stream ended
// after a complete event and io.ErrUnexpectedEOF when it ended inside one.
func (e *eventReader) next() (event, error) {
	var ev event
	start := 0 // offset in ev.raw of the current line
	for {
		piece, err := e.r.ReadSlice('\n')
		ev.raw = append(ev.raw, piece...)
		if len(ev.raw) > maxEventBytes {
			return event{}, errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(ev.raw) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		text := bytes.TrimRight(ev.raw[start:], "\r\n")
		start = len(ev.raw)
		if len(text) == 0 {
			return ev, nil
		}
		if v, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64)
			ev.id, ev.hasID = n, err == nil
		}
	}
}
