package machine_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pimentohinge/pimentohinge/internal/headlimit"
	"github.com/pimentohinge/pimentohinge/internal/logline"
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

// TestDetectedMachine checks that limits can be derived from what the system says.
func TestDetectedMachine(t *testing.T) {
	m := machine.Detect()
	if m.Bytes < 16<<20 || m.Callers().MaxConns < 1 || m.Internal().MaxConns < 1 {
		t.Errorf("%+v, callers %+v", m, m.Callers())
	}
	if diff := cmp.Diff(machine.Machine{Bytes: 64 << 20, Descriptors: 256}, m.With(64, 256)); diff != "" {
		t.Errorf("machine with settings (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(m, m.With(0, 0)); diff != "" {
		t.Errorf("machine without settings (-want +got):\n%s", diff)
	}
}

// TestListenersReport counts what two listeners refuse, as a metric and once in the log.
func TestListenersReport(t *testing.T) {
	var listeners machine.Listeners
	options := headlimit.Options{MaxConns: 1, MemoryBytes: 1 << 20}
	for _, name := range []string{"callers", "peers"} {
		limiter := listeners.Add(name, options)
		for range 3 {
			client, server := net.Pipe()
			t.Cleanup(func() { _ = client.Close() })
			if limiter.Wrap(server) == nil {
				t.Fatal("a connection was refused")
			}
		}
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(&listeners)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, family := range families {
		for _, m := range family.GetMetric() {
			name := family.GetName()
			for _, label := range m.GetLabel() {
				name += " " + label.GetValue()
			}
			if value := m.GetCounter().GetValue(); value > 0 {
				got[name] = value
			}
		}
	}
	want := map[string]float64{"pimentohinge_listener_limits_total headClosed callers": 2, "pimentohinge_listener_limits_total headClosed peers": 2}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("metrics (-want +got):\n%s", diff)
	}
	var out strings.Builder
	logger := logline.New(&out, "info")
	listeners.Report(logger)
	listeners.Report(logger)
	if lines := strings.Count(out.String(), "\n"); lines != 2 || !strings.Contains(out.String(), "event=listenerLimited listener=peers headsRefused=0 headsClosed=2") {
		t.Errorf("%d lines:\n%s", lines, out.String())
	}
}
