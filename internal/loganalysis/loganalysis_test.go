package loganalysis_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/loganalysis"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
)

const (
	at0 = "time=2026-07-26T10:28:00Z level=info "
	at1 = "time=2026-07-26T10:28:01Z level=info "
	at2 = "time=2026-07-26T10:28:02Z level=info "
	at3 = "time=2026-07-26T10:28:03Z level=info "
)

func readSources(t *testing.T, sources map[string][]string) *loganalysis.Log {
	t.Helper()
	log := &loganalysis.Log{}
	for name, lines := range sources {
		if err := log.Read(strings.NewReader(strings.Join(lines, "\n")), name); err != nil {
			t.Fatal(err)
		}
	}
	return log
}

// TestExplainUsesLinesOfSeveralVMs checks that an explanation uses the lines of
// other VMs, since the VM of a request may not have received a notice, and that it
// is not certain when the lines allow another reason.
func TestExplainUsesLinesOfSeveralVMs(t *testing.T) {
	const (
		placed = "event=placed request=r1 server=e-1 repeat=false"
		ended  = "event=ended request=r1 kind=streaming outcome=interrupted cause=engineLost status=200 server=e-1 attempts=1 tookMs=900"
	)
	type finding struct {
		Reason  loganalysis.Reason
		Cause   outcome.Cause
		VM      string
		Certain bool
	}
	for name, c := range map[string]struct {
		sources map[string][]string
		want    finding
	}{
		"VM was killed and started again": {
			map[string][]string{"a": {at0 + "event=started vm=vm-1", at1 + placed, at2 + "event=started vm=vm-1"}},
			finding{loganalysis.VMEnded, outcome.VMLost, "vm-1", true},
		},
		"no line after it was sent": {
			map[string][]string{"a": {at0 + "event=started vm=vm-1", at1 + placed}},
			finding{loganalysis.Other, outcome.None, "vm-1", false},
		},
		"another VM received the notice": {
			map[string][]string{
				"a": {at0 + placed, at2 + ended},
				"b": {at1 + "event=server server=e-1 belief=leaving"},
			},
			finding{loganalysis.NoticeLate, outcome.EngineLost, "a", true},
		},
		"the store removed the server afterwards": {
			map[string][]string{
				"a": {at0 + placed, at2 + ended},
				"b": {at3 + "event=server server=e-1 belief=gone"},
			},
			finding{loganalysis.ServerFailed, outcome.EngineLost, "a", true},
		},
		"no line shows that the server stopped": {
			map[string][]string{"a": {at0 + placed, at2 + ended}},
			finding{loganalysis.ConnectionBroken, outcome.EngineLost, "a", false},
		},
		"merged lines with the VM before the time": {
			map[string][]string{"": {"  1.25 vm-7 " + at0 + placed, "  2.25 vm-7 " + at2 + ended, "  3.25 vm-8 " + at3 + "event=server server=e-1 belief=gone"}},
			finding{loganalysis.ServerFailed, outcome.EngineLost, "vm-7", true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			explanation := readSources(t, c.sources).Explain("r1")
			if diff := cmp.Diff(c.want, finding{explanation.Reason, explanation.Cause, explanation.VM, explanation.Certain}); diff != "" {
				t.Errorf("explanation (-want +got):\n%s\n%s", diff, explanation.Text())
			}
		})
	}
}

// TestReadSkipsMalformedLines reads malformed lines, and explains a request that
// no line contains.
func TestReadSkipsMalformedLines(t *testing.T) {
	log := readSources(t, map[string][]string{"a": {
		"panic: something else", "time=yesterday event=placed", at0 + `event=placed detail="not closed`, at0 + "level=info",
		at0 + `event=ended request=r2 detail="a \"b\" c=d" outcome=finished status=200`,
	}})
	if log.Skipped != 4 {
		t.Errorf("%d lines skipped, want 4", log.Skipped)
	}
	if explanation := log.Explain("r1"); explanation.Reason != loganalysis.NotFound || explanation.Certain {
		t.Errorf("explanation %+v", explanation)
	}
	if explanation := log.Explain("r2"); explanation.Reason != loganalysis.NoFailure {
		t.Errorf("explanation %+v", explanation)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(at0 + `event=ended request=r1 detail="a b" outcome=unknown cause=serviceLost status=502`)
	f.Add(at0 + "event=started vm=vm-1\n" + at1 + "event=placed request=r1 server=e-1")
	f.Fuzz(func(t *testing.T, lines string) {
		log := &loganalysis.Log{}
		if err := log.Read(strings.NewReader(lines), "a"); err != nil {
			return
		}
		if explanation := log.Explain("r1"); explanation.Reason == "" || len(explanation.Sentences) == 0 {
			t.Errorf("no reason for %q", lines)
		}
	})
}
