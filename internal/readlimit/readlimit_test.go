package readlimit_test

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/heapgate"
	"github.com/pimentohinge/pimentohinge/internal/readlimit"
)

// endless is a body without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	return len(b), nil
}

func TestHeaderEndsAtItsLimit(t *testing.T) {
	header := &readlimit.Header{R: endless{}}
	header.Begin(10_000)
	line, err := bufio.NewReader(header).ReadString('\n')
	if !errors.Is(err, readlimit.ErrHeaderTooLong) || len(line) != 10_000 {
		t.Errorf("read %d bytes, error %v", len(line), err)
	}
	header.End()
	if n, err := io.ReadFull(header, make([]byte, 20_000)); err != nil {
		t.Errorf("read %d bytes after the header, error %v", n, err)
	}
}

func TestReadAllKeepsItsLimits(t *testing.T) {
	for _, c := range []struct {
		name              string
		body              io.Reader
		announced, budget int64
		length            int
		err               error
	}{
		{"whole", strings.NewReader(strings.Repeat("x", 9000)), -1, 1 << 20, 9000, nil},
		{"announced", strings.NewReader(strings.Repeat("x", 9000)), 9000, 9001, 9000, nil},
		{"longerThanAnnounced", strings.NewReader(strings.Repeat("x", 9000)), 100, 1 << 20, 9000, nil},
		{"empty", strings.NewReader(""), -1, 1 << 20, 0, nil},
		{"byteByByte", iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 9000))), -1, 1 << 20, 9000, nil},
		{"endless", endless{}, -1, 1 << 20, 0, readlimit.ErrBodyTooLong},
		{"announcedTooLong", endless{}, 1 << 40, 1 << 20, 0, readlimit.ErrBodyTooLong},
		{"budget", endless{}, -1, 20 << 10, 0, readlimit.ErrBudgetExhausted},
		{"announcedBeyondBudget", endless{}, 30 << 10, 20 << 10, 0, readlimit.ErrBudgetExhausted},
		{"broken", iotest.ErrReader(io.ErrUnexpectedEOF), -1, 1 << 20, 0, io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := readlimit.New(c.budget, nil)
			reservation := budget.Reserve()
			body, err := reservation.ReadAll(c.body, c.announced, 64<<10)
			if !errors.Is(err, c.err) || c.err == nil && len(body) != c.length {
				t.Errorf("read %d bytes, error %v", len(body), err)
			}
			if budget.Used() > c.budget || budget.Used() < int64(len(body)) {
				t.Errorf("%d bytes reserved for %d, budget %d", budget.Used(), len(body), c.budget)
			}
			reservation.Release()
			reservation.Release()
			if diff := cmp.Diff(int64(0), budget.Used()); diff != "" {
				t.Errorf("after the release (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLongBodiesDoNotKeepShortOnesOut guards against requests that fail because other
// servers send bodies without end.
func TestLongBodiesDoNotKeepShortOnesOut(t *testing.T) {
	budget := readlimit.New(64<<10, nil)
	long := budget.Reserve()
	if _, err := long.ReadAll(endless{}, -1, 1<<20); !errors.Is(err, readlimit.ErrBudgetExhausted) {
		t.Fatalf("error %v", err)
	}
	for _, length := range []int64{-1, 800} {
		reservation := budget.Reserve()
		if body, err := reservation.ReadAll(strings.NewReader(strings.Repeat("x", 800)), length, 1<<20); err != nil || len(body) != 800 {
			t.Errorf("announced %d: read %d bytes, error %v", length, len(body), err)
		}
		reservation.Release()
	}
	long.Release()
	if budget.Used() != 0 {
		t.Errorf("%d bytes reserved after the release", budget.Used())
	}
}

// TestBodyAtItsLimitTakesLittleMore checks that a body does not take twice its limit.
func TestBodyAtItsLimitTakesLittleMore(t *testing.T) {
	budget := readlimit.New(1<<20, nil)
	if _, err := budget.Reserve().ReadAll(endless{}, -1, 64<<10); !errors.Is(err, readlimit.ErrBodyTooLong) {
		t.Fatalf("error %v", err)
	}
	if budget.Used() > 64<<10+1 {
		t.Errorf("%d bytes reserved for a body of at most %d", budget.Used(), 64<<10)
	}
}

// TestSingleReservationMayExceedTheBudget reserves more than the budget while nothing else is reserved.
func TestSingleReservationMayExceedTheBudget(t *testing.T) {
	budget := readlimit.New(100, nil)
	first, second := budget.Reserve(), budget.Reserve()
	if !first.AddOrAlone(300) {
		t.Error("the only reservation failed")
	}
	if second.AddOrAlone(1) {
		t.Error("a second reservation exceeded the budget")
	}
	first.Keep(60)
	if !second.AddOrAlone(40) || second.AddOrAlone(1) {
		t.Errorf("%d bytes are reserved", budget.Used())
	}
	first.Release()
	second.Release()
	if budget.Used() != 0 {
		t.Errorf("%d bytes are left", budget.Used())
	}
}

// TestLongBodiesAwaitTheHeap reads bodies while the heap of the process is full.
func TestLongBodiesAwaitTheHeap(t *testing.T) {
	for _, c := range []struct {
		name      string
		length    int
		announced int64
		// free is when the heap becomes free, 0 for never.
		free        time.Duration
		err         error
		least, most time.Duration
	}{
		{name: "short", length: 20 << 10, announced: 20 << 10},
		{name: "long", length: 100 << 10, announced: 100 << 10, err: readlimit.ErrBudgetExhausted, least: 900 * time.Millisecond, most: 1100 * time.Millisecond},
		{name: "longNotAnnounced", length: 100 << 10, announced: -1, err: readlimit.ErrBudgetExhausted, least: 900 * time.Millisecond, most: 1100 * time.Millisecond},
		{name: "becomesFree", length: 100 << 10, announced: -1, free: 300 * time.Millisecond, least: 300 * time.Millisecond, most: 400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var heapBytes atomic.Int64
				heapBytes.Store(1 << 20)
				if c.free > 0 {
					time.AfterFunc(c.free, func() { heapBytes.Store(0) })
				}
				budget := readlimit.New(1<<20, heapgate.New(heapgate.Options{MaxBytes: 1 << 20, HeapBytes: heapBytes.Load, Collect: func() {}}))
				began := time.Now()
				body, err := budget.Reserve().ReadAll(strings.NewReader(strings.Repeat("x", c.length)), c.announced, 1<<20)
				if !errors.Is(err, c.err) || c.err == nil && len(body) != c.length {
					t.Errorf("read %d bytes, error %v", len(body), err)
				}
				if took := time.Since(began); took < c.least || took > c.most {
					t.Errorf("it took %v", took)
				}
			})
		})
	}
}
