package ingress

import (
	"io"

	"github.com/pimentohinge/pimentohinge/internal/readlimit"
)

// ReadEvents returns the IDs of the complete events of a stream, the bytes of all
// complete events and the error that ended the stream.
func ReadEvents(r io.Reader) (ids []int64, raw []byte, err error) {
	events := newEventReader(r, readlimit.New(1<<20, nil))
	for {
		ev, err := events.next()
		if err != nil {
			return ids, raw, err
		}
		raw = append(raw, ev.raw...)
		if ev.hasID {
			ids = append(ids, ev.id)
		}
	}
}
