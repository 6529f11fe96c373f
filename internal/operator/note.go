package operator

import (
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// ParseNote decodes one release note in JSON. Unknown keys, data after the note and
// a negative base are errors.
func ParseNote(r io.Reader) (wire.ReleaseNote, error) {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	var n wire.ReleaseNote
	if err := d.Decode(&n); err != nil {
		return n, eris.Wrap(err, "read release note")
	}
	if d.More() {
		return n, eris.New("read release note: data after the first JSON value")
	}
	if n.Base < 0 {
		return n, eris.New("read release note: base must not be negative")
	}
	return n, nil
}
