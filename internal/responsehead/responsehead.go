// Package responsehead checks the field names of HTTP responses. net/http accepts a
// blank in a name: "Content-Length : 2" is then a field of another name, and the body
// ends where the sender did not end it.
package responsehead

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// ErrFieldName means that a field name is not a token as in RFC 9110, section 5.1.
var ErrFieldName = eris.New("invalid field name")

// Check returns an ErrFieldName unless all names in the header of a response are valid. The trailer
// comes after the body: reading the body returns the error in place of io.EOF if a name there is not.
// The connection of a response with an invalid name must not be used again.
func Check(resp *http.Response) error {
	if err := CheckNames(resp.Header); err != nil {
		return err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailerBody{ReadCloser: resp.Body, resp: resp}
	}
	return nil
}

// CheckNames returns an ErrFieldName unless all names in a header are valid.
func CheckNames(header http.Header) error {
	for name, values := range header {
		// A field of a trailer that is only announced has no values.
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(ErrFieldName, "%q", name)
		}
	}
	return nil
}

// trailerBody is a body in chunks, which a trailer may follow.
type trailerBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read reads the body. The trailer is known at its end.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if nameErr := CheckNames(b.resp.Trailer); nameErr != nil {
		return n, nameErr
	}
	return n, err
}
