package client_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pimentohinge/pimentohinge/pkg/client"
)

// TestLongResponseIsNotCut checks that the body of a response is returned whole or not at
// all.
func TestLongResponseIsNotCut(t *testing.T) {
	const limit = 16 << 20
	for _, c := range []struct {
		name  string
		bytes int
		err   error
	}{{"longest", limit, nil}, {"tooLong", limit + 1, client.ErrTooLong}} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, strings.Repeat("x", c.bytes))
			}))
			defer server.Close()
			caller := client.Client{Addresses: []string{server.URL}, Key: "k"}
			answer, err := caller.Do(t.Context(), client.Call{Service: "s", Method: http.MethodGet, Path: "/"})
			if !errors.Is(err, c.err) || err == nil && len(answer.Body) != c.bytes {
				t.Errorf("%d bytes, error %v, want %v", len(answer.Body), err, c.err)
			}
		})
	}
}
