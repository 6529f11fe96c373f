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
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	var note wire.ReleaseNote
	if err := decoder.Decode(&note); err != nil {
		return note, eris.Wrap(err, "read release note")
	}
	if decoder.More() {
		return note, eris.New("read release note: data after the first JSON value")
	}
	if note.Base < 0 {
		return note, eris.New("read release note: base must not be negative")
	}
	return note, nil
}
