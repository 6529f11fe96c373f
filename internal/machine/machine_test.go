package machine_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/machine"
)

func TestShares(t *testing.T) {
	type shares struct {
		callerConns, internalConns int
		callerHeads, internalHeads int64
	}
	for _, c := range []struct {
		name string
		m    machine.Machine
		want shares
	}{
		{"memoryOnly", machine.Machine{Bytes: 128 << 20}, shares{1024, 64, 16 << 20, 2 << 20}},
		{"platform", machine.Machine{Bytes: 134 << 20, Descriptors: 4100}, shares{1072, 67, 134 << 17, 134 << 14}},
		{"fewDescriptors", machine.Machine{Bytes: 64 << 20, Descriptors: 256}, shares{28, 8, 8 << 20, 1 << 20}},
		{"least", machine.Machine{Bytes: 16 << 20, Descriptors: 216}, shares{8, 8, 2 << 20, 256 << 10}},
	} {
		t.Run(c.name, func(t *testing.T) {
			callers, internal := c.m.Callers(), c.m.Internal()
			got := shares{callers.MaxConns, internal.MaxConns, callers.MemoryBytes, internal.MemoryBytes}
			if diff := cmp.Diff(c.want, got, cmp.AllowUnexported(shares{})); diff != "" {
				t.Errorf("shares (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRefusalIsAWholeResponse parses the refusal, which promises that nothing has run.
func TestRefusalIsAWholeResponse(t *testing.T) {
	refusal := machine.Machine{Bytes: 64 << 20}.Callers().Refusal
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(refusal)), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "1" || !resp.Close {
		t.Errorf("status %d, Retry-After %q, body %q, %v", resp.StatusCode, resp.Header.Get("Retry-After"), body, err)
	}
}
