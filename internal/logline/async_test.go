package logline_test

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/logline"
)

// stalledWriter blocks every write until release is closed.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *stalledWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

func (s *stalledWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// TestStalledOutputDoesNotBlockWriters logs from 200 goroutines for ten seconds
// while the output blocks, as when the reader of a pipe has stalled.
func TestStalledOutputDoesNotBlockWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalledWriter{release: make(chan struct{})}
		async := logline.NewAsync(out)
		logger := logline.New(async, "info")
		start := time.Now()
		var wg sync.WaitGroup
		for range 200 {
			wg.Go(func() {
				for range 100 {
					logger.Info().Str("event", "ended").Msg("")
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		wg.Wait()
		if took := time.Since(start); took != 10*time.Second {
			t.Errorf("200 goroutines took %v, want 10 s", took)
		}
		if async.Dropped() == 0 {
			t.Error("no line was dropped")
		}
		close(out.release)
		synctest.Wait()
		logger.Info().Str("event", "after").Msg("")
		async.Close()
		text := out.String()
		if !strings.Contains(text, "event=linesLost count=") || !strings.Contains(text, "event=after") {
			t.Errorf("output of %d bytes lacks the number of dropped lines or a later line", len(text))
		}
	})
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out strings.Builder
	async := logline.NewAsync(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = async.Write([]byte(line))
	}
	async.Close()
	if out.String() != "a\nb\nc\n" {
		t.Errorf("output %q", out.String())
	}
}

// TestStalledOutputTakesLittleMemory logs long values while the output blocks.
func TestStalledOutputTakesLittleMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalledWriter{release: make(chan struct{})}
		async := logline.NewAsync(out)
		line := []byte(strings.Repeat("x", 64<<10))
		const lines = 1000
		for range lines {
			_, _ = async.Write(line)
		}
		if queued := (lines - int(async.Dropped())) * len(line); queued > 4<<20 {
			t.Errorf("%d bytes are queued", queued)
		}
		close(out.release)
		async.Close()
		if !strings.Contains(out.String(), string(line)) {
			t.Error("no line was written")
		}
	})
}

// TestLongValuesAreCut logs a value that a caller chose.
func TestLongValuesAreCut(t *testing.T) {
	var out strings.Builder
	logger := logline.New(&out, "info")
	logger.Info().Str("event", "ended").Str("request", strings.Repeat("\t", 15_000)).Str("next", "x").Msg("")
	if text := out.String(); len(text) > 8<<10 || !strings.Contains(text, "...(15000 bytes)") || !strings.Contains(text, "next=x") {
		t.Errorf("line of %d bytes: %s", len(text), text[max(0, len(text)-100):])
	}
}
