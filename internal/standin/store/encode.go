package store

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
)

// meta, object, event and page are the wire format of the object API.
type meta struct {
	Name string `json:"name"`
	Rev  int64  `json:"rev"`
}

type object struct {
	Meta meta            `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	Deleted bool
	Object  object
}

type page struct {
	Items     []object
	Events    []event
	Truncated bool
	Revision  int64
}

func newObject(key string, v objectVersion) object {
	_, name, _ := strings.Cut(key, "/")
	return object{Meta: meta{Name: name, Rev: v.version}, Spec: v.value}
}

// The values of objects are written as they are: encoding/json limits their nesting and
// refuses bytes that are no JSON.

func (o object) encode() []byte {
	b := append([]byte(`{"metadata":`), encodeMeta(o.Meta)...)
	if len(o.Spec) > 0 {
		b = append(append(b, `,"spec":`...), o.Spec...)
	}
	return append(b, '}')
}

func (e event) encode() []byte {
	b := []byte(`{"deleted":false,"object":`)
	if e.Deleted {
		b = []byte(`{"deleted":true,"object":`)
	}
	return append(append(b, e.Object.encode()...), '}')
}

func (p page) encode() []byte {
	var b bytes.Buffer
	b.WriteByte('{')
	if p.Items != nil {
		writeArray(&b, "items", p.Items, object.encode)
	}
	if p.Events != nil {
		writeArray(&b, "events", p.Events, event.encode)
	}
	rest, err := json.Marshal(map[string]any{"truncated": p.Truncated, "storeRevision": p.Revision})
	if err != nil {
		panic("store: encode page: " + err.Error())
	}
	b.Write(rest[1:])
	return b.Bytes()
}

func writeArray[T any](b *bytes.Buffer, name string, elements []T, encode func(T) []byte) {
	b.WriteString(`"` + name + `":[`)
	for i, element := range elements {
		if i > 0 {
			b.WriteByte(',')
		}
		b.Write(encode(element))
	}
	b.WriteString("],")
}

func encodeMeta(m meta) []byte {
	b, err := json.Marshal(m)
	if err != nil {
		panic("store: encode metadata: " + err.Error())
	}
	return b
}

func writeBody(w http.ResponseWriter, code int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(body)
}
