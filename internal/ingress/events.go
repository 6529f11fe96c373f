package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/readlimit"
)

// maxEventBytes bounds one event.
const maxEventBytes = 256 << 10

var errEventTooLong = eris.New("event too long")

// event is one complete server-sent event.
type event struct {
	// raw is the event as received, including the empty line at the end. It is valid until the
	// next one is read.
	raw []byte
	// id is the event's numeric ID; hasID is false if there is none.
	id    int64
	hasID bool
}

// freeEventBytes is the size up to which an event takes no memory of the budget for bodies.
const freeEventBytes = 4 << 10

// eventReader splits a stream into complete events. Long events take memory of a budget until
// the next one is read.
type eventReader struct {
	r      *bufio.Reader
	memory *readlimit.Reservation
	raw    []byte
}

func newEventReader(r io.Reader, budget *readlimit.Budget) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 2<<10), memory: budget.Reserve()}
}

// close releases the memory of the last event.
func (e *eventReader) close() { e.memory.Release() }

// add appends bytes to the event that is being read.
func (e *eventReader) add(piece []byte) error {
	size := len(e.raw) + len(piece)
	if size > maxEventBytes {
		return errEventTooLong
	}
	if size > cap(e.raw) {
		grown := max(size, 2*cap(e.raw))
		if grown > freeEventBytes && !e.memory.Add(int64(grown-cap(e.raw))) {
			return readlimit.ErrBudgetExhausted
		}
		e.raw = append(make([]byte, 0, grown), e.raw...)
	}
	e.raw = append(e.raw, piece...)
	return nil
}

// next returns the next complete event. The error is io.EOF when the stream ended
// after a complete event and io.ErrUnexpectedEOF when it ended inside one.
func (e *eventReader) next() (event, error) {
	var ev event
	e.memory.Release()
	if e.raw = e.raw[:0]; cap(e.raw) > freeEventBytes {
		e.raw = nil
	}
	start := 0 // offset in e.raw of the current line
	for {
		piece, err := e.r.ReadSlice('\n')
		if err := e.add(piece); err != nil {
			return event{}, err
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(e.raw) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		text := bytes.TrimRight(e.raw[start:], "\r\n")
		start = len(e.raw)
		if len(text) == 0 {
			ev.raw = e.raw
			return ev, nil
		}
		if v, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64)
			ev.id, ev.hasID = n, err == nil
		}
	}
}
