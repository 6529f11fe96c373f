// Package load drives running VMs as callers would: requests start when the
// workload says, whether or not earlier ones have been answered, and every
// answer is checked for order and completeness.
package load

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pimentohinge/pimentohinge/internal/bench/workload"
	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/pkg/client"
)

const (
	longestMicro   = int64(3_600_000_000)
	digits         = 3
	microsInMs     = 1000.0
	microsInSecond = 1e6
	bytesPerToken  = 4
	stallAfter     = time.Second
	// maxOpen bounds the requests under way, so that a stuck target ends the run.
	maxOpen = 20_000
)

// Options describes a run.
type Options struct {
	// Targets are URLs of entry VMs or of a balancer; requests go round them.
	Targets []string
	// Key is the workspace's bearer key and Service the model service.
	Key     string
	Service string
	// Workload is what arrives, at Rate requests a second before scaling.
	Workload workload.Workload
	Rate     float64
	// TimeScale divides all times between arrivals: 2 is twice as fast.
	TimeScale float64
	// Until is when no further requests start.
	Until time.Time
	// MostTokens cuts the outputs, so that short runs end; 0 means no cut.
	MostTokens int
	// Seed determines arrivals and lengths.
	Seed uint64
	// Progress gets the figures so far once a second; it may be nil.
	Progress func(started, finished, failed int)
}

// Result is the measurement.
type Result struct {
	Started         int            `json:"started"`
	Finished        int            `json:"finished"`
	Refused         int            `json:"refused"`
	Interrupted     int            `json:"interrupted"`
	Wrong           int            `json:"wrong"`
	Resumes         int            `json:"resumes"`
	StallSeconds    float64        `json:"stallSecondsTotal"`
	InterTokenP95Ms float64        `json:"interTokenP95Ms"`
	InterTokenP99Ms float64        `json:"interTokenP99Ms"`
	FirstTokenP50   float64        `json:"firstTokenP50Seconds"`
	FirstTokenP95   float64        `json:"firstTokenP95Seconds"`
	TokensPerSecond float64        `json:"tokensPerSecond"`
	Causes          map[string]int `json:"causes"`
	FirstError      string         `json:"firstError"`
}

// run collects the figures of one run.
type run struct {
	opts   Options
	mu     sync.Mutex
	result Result
	tokens int
	stall  time.Duration
	gaps   *hdrhistogram.Histogram
	first  *hdrhistogram.Histogram
}

// Run drives the targets until the time is up and all requests have ended, or
// ctx ends.
func Run(ctx context.Context, o Options) (Result, error) {
	if len(o.Targets) == 0 || o.Rate <= 0 || o.TimeScale <= 0 {
		return Result{}, errors.New("a target, a rate above 0 and a time scale above 0 are needed")
	}
	r := &run{
		opts: o, gaps: hdrhistogram.New(1, longestMicro, digits), first: hdrhistogram.New(1, longestMicro, digits),
	}
	r.result.Causes = map[string]int{}
	begin := time.Now()
	length := time.Duration(float64(o.Until.Sub(begin)) * o.TimeScale)
	stop := r.report(ctx)
	var wg sync.WaitGroup
	for i, q := range o.Workload.Draw(o.Seed, length, o.Rate) {
		due := begin.Add(time.Duration(float64(q.At) / o.TimeScale))
		if !pause.Until(ctx, due) || r.open() >= maxOpen {
			break
		}
		r.note(func(x *Result) { x.Started++ })
		wg.Go(func() { r.request(ctx, i, q, due) })
	}
	wg.Wait()
	stop()
	return r.finish(time.Since(begin)), nil
}

func (r *run) note(change func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.result)
}

func (r *run) open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.result
	return x.Started - x.Finished - x.Refused - x.Interrupted - x.Wrong
}

// report calls the progress function once a second until it is stopped.
func (r *run) report(ctx context.Context) (stop func()) {
	if r.opts.Progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for pause.Until(ctx, time.Now().Add(time.Second)) {
			r.mu.Lock()
			x := r.result
			r.mu.Unlock()
			r.opts.Progress(x.Started, x.Finished, x.Refused+x.Interrupted+x.Wrong)
		}
	}()
	return cancel
}

// request makes one request. Times count from when it was due, so that a slow
// start of the driver does not hide a slow target.
func (r *run) request(ctx context.Context, i int, q workload.Request, due time.Time) {
	output := q.Output
	if r.opts.MostTokens > 0 {
		output = min(output, r.opts.MostTokens)
	}
	text := fmt.Sprintf("length=%d %s ", output, q.Prefix)
	text += strings.Repeat("x", max(0, q.Prompt*bytesPerToken-len(text)))
	c := &client.Client{Key: r.opts.Key}
	for t := range r.opts.Targets {
		c.Addresses = append(c.Addresses, r.opts.Targets[(i+t)%len(r.opts.Targets)])
	}
	last := due
	wrong := false
	got := 0
	res, err := c.Stream(ctx, client.Completion{Model: r.opts.Service, Prompt: text}, func(t client.Token) error {
		wrong = wrong || t.Index != got
		got++
		last = r.token(t.Index, last)
		return nil
	})
	r.ended(res, err, wrong || (err == nil && got != output))
}

func (r *run) token(index int, last time.Time) time.Time {
	now := time.Now()
	gap := now.Sub(last)
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.gaps
	if index == 0 {
		h = r.first
	}
	_ = h.RecordValue(max(1, gap.Microseconds()))
	if gap > stallAfter {
		r.stall += gap - stallAfter
	}
	r.tokens++
	return now
}

func (r *run) ended(res client.Result, err error, wrong bool) {
	r.note(func(x *Result) {
		x.Resumes += res.Resumes
		var refused *client.Error
		switch {
		case wrong:
			x.Wrong++
		case err == nil:
			x.Finished++
			return
		case errors.As(err, &refused) && refused.Outcome == "notRun":
			x.Refused++
			x.Causes[refused.Cause]++
		case errors.As(err, &refused):
			x.Interrupted++
			x.Causes[refused.Cause]++
		default:
			x.Interrupted++
			x.Causes["connection"]++
		}
		if x.FirstError == "" && err != nil {
			x.FirstError = err.Error()
		}
	})
}

func (r *run) finish(took time.Duration) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.result
	x.StallSeconds = r.stall.Seconds()
	x.InterTokenP95Ms = float64(r.gaps.ValueAtQuantile(95)) / microsInMs
	x.InterTokenP99Ms = float64(r.gaps.ValueAtQuantile(99)) / microsInMs
	x.FirstTokenP50 = float64(r.first.ValueAtQuantile(50)) / microsInSecond
	x.FirstTokenP95 = float64(r.first.ValueAtQuantile(95)) / microsInSecond
	x.TokensPerSecond = float64(r.tokens) / took.Seconds()
	return x
}
