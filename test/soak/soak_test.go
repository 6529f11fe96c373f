// Package soak_test runs the gateway as processes under random faults.
package soak_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/soak"
)

// build returns the path of the program, built without instrumentation.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "pimentohinge")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "../../cmd/pimentohinge").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// TestSoak checks callers' answers and servers' runs while processes, servers and the store
// fail.
func TestSoak(t *testing.T) {
	program := build(t)
	for _, c := range []struct {
		profile  string
		seed     uint64
		duration time.Duration
	}{
		{"leaving", 1, 20 * time.Second},
		{"mixed", 1, 20 * time.Second},
		{"network", 1, 20 * time.Second},
		{"stops", 1, 15 * time.Second},
		{"endless", 1, 8 * time.Second},
	} {
		t.Run(fmt.Sprintf("%s/seed%d", c.profile, c.seed), func(t *testing.T) {
			t.Parallel()
			report, err := soak.Run(t.Context(), soak.Options{
				Seed: c.seed, Duration: c.duration, VMs: 3, Engines: 8, Callers: 66, Profile: c.profile, Program: program, Dir: t.TempDir(),
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report)
			if len(report.Violations) > 0 {
				t.Errorf("%d promises were broken", len(report.Violations))
			}
		})
	}
}
