package ingress

import "io"

// ReadEvents returns the numbers of the whole events of a stream, the bytes of
// all of them, and the error at its end.
func ReadEvents(r io.Reader) (ids []int64, raw []byte, err error) {
	events := newEventReader(r)
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
