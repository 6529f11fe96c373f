package ingress_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/ingress"
)

func TestEventReaderReturnsOnlyCompleteEvents(t *testing.T) {
	long := "id: 2\ndata: " + strings.Repeat("x", 9000) + "\n\n"
	for _, c := range []struct {
		name, text string
		ids        []int64
		raw        string
		err        error
	}{
		{"whole", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []int64{1, 2}, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", io.EOF},
		{"carriageReturns", "id: 1\r\ndata: a\r\n\r\n", []int64{1}, "id: 1\r\ndata: a\r\n\r\n", io.EOF},
		{"cutInside", "id: 1\ndata: a\n\nid: 2\ndata:", []int64{1}, "id: 1\ndata: a\n\n", io.ErrUnexpectedEOF},
		{"cutBeforeTheEmptyLine", "id: 1\ndata: a\n", nil, "", io.ErrUnexpectedEOF},
		{"version", "x-version: 3\nid: 7\ndata: a\n\n", []int64{7}, "x-version: 3\nid: 7\ndata: a\n\n", io.EOF},
		{"longLine", long, []int64{2}, long, io.EOF},
		{"noNumber", "id: x\ndata: a\n\n", nil, "id: x\ndata: a\n\n", io.EOF},
		{"nothing", "", nil, "", io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			ids, raw, err := ingress.ReadEvents(iotest.OneByteReader(strings.NewReader(c.text)))
			if diff := cmp.Diff(c.ids, ids); diff != "" {
				t.Error(diff)
			}
			if string(raw) != c.raw || !errors.Is(err, c.err) {
				t.Errorf("read %d bytes, error %v", len(raw), err)
			}
		})
	}
}

// FuzzEventReader checks that the bytes returned are a prefix of the input that ends
// with a complete line, and all of the input if no error is reported.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("\n\n\r\n:x\nid:\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, raw, err := ingress.ReadEvents(bytes.NewReader(b))
		if !bytes.HasPrefix(b, raw) {
			t.Error("returned bytes are not a prefix of the input")
		}
		if len(raw) > 0 && raw[len(raw)-1] != '\n' {
			t.Error("returned bytes end inside a line")
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && len(raw) != len(b) {
			t.Errorf("returned %d of %d bytes at a clean end", len(raw), len(b))
		}
	})
}
