package outcome_test

import (
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
)

// TestLongDetailsAreCut refuses requests with long text of a caller.
func TestLongDetailsAreCut(t *testing.T) {
	for _, text := range []string{strings.Repeat("x", 1<<20), strings.Repeat("ż", 1<<20), strings.Repeat("x", 511) + "ż"} {
		got := outcome.Refuse(outcome.NotFound, text).Detail
		if len(got) > 1024 || !utf8.ValidString(got) || !strings.HasSuffix(got, "...") {
			t.Errorf("%d bytes, ends with %q", len(got), got[max(0, len(got)-10):])
		}
	}
	if got := outcome.Refuse(outcome.NotFound, "configuration 5").Detail; got != "configuration 5" {
		t.Errorf("short detail: %q", got)
	}
}
