// Package load is an open-loop load generator for running VMs: requests start at the
// times that the workload gives, whether or not earlier ones have finished. It checks
// every stream for order and completeness.
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
	"github.com/pimentohinge/pimentohinge/internal/sleep"
	"github.com/pimentohinge/pimentohinge/pkg/client"
)

const (
	maxRecordedMicros = int64(3_600_000_000) // 1 h
	significantDigits = 3
	microsInMs        = 1000.0
	microsInSecond    = 1e6
	bytesPerToken     = 4 // of prompt text
	stallThreshold    = time.Second
	// maxOpenRequests limits the requests in flight. No further requests start when
	// it is reached, so that an unresponsive target ends the run.
	maxOpenRequests = 20_000
)

// Options describes a run.
type Options struct {
	// Targets are the URLs of entry VMs or of a load balancer, used in round-robin
	// order.
	Targets []string
	// Key is the workspace's bearer token and Service the model service.
	Key     string
	Service string
	// Workload describes the requests, and Rate is their rate per second before
	// scaling.
	Workload workload.Workload
	Rate     float64
	// TimeScale divides the times between arrivals; 2 doubles the rate.
	TimeScale float64
	// Until is the time after which no further requests start.
	Until time.Time
	// MaxOutputTokens limits the output lengths so that short runs end; 0 means no
	// limit.
	MaxOutputTokens int
	// Seed determines arrivals and lengths.
	Seed uint64
	// Progress is called with the counts so far once a second; it may be nil.
	Progress func(started, finished, failed int)
}

// Result is the measurement of a run. Wrong counts streams whose tokens were out of
// order or whose length was not the expected one. Stalls are the times beyond 1 s
// without a token.
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

// run is the state of one run.
type run struct {
	opts       Options
	mu         sync.Mutex
	result     Result
	tokens     int
	stall      time.Duration
	interToken *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
}

// Run sends requests to the targets until Options.Until and then waits for all of them
// to end. If ctx is done, it ends early.
func Run(ctx context.Context, opts Options) (Result, error) {
	if len(opts.Targets) == 0 || opts.Rate <= 0 || opts.TimeScale <= 0 {
		return Result{}, errors.New("at least one target, a rate above 0 and a time scale above 0 are required")
	}
	r := &run{
		opts: opts, interToken: hdrhistogram.New(1, maxRecordedMicros, significantDigits), firstToken: hdrhistogram.New(1, maxRecordedMicros, significantDigits),
	}
	r.result.Causes = map[string]int{}
	begin := time.Now()
	length := time.Duration(float64(opts.Until.Sub(begin)) * opts.TimeScale)
	stop := r.startProgress(ctx)
	var wg sync.WaitGroup
	for i, request := range opts.Workload.Draw(opts.Seed, length, opts.Rate) {
		due := begin.Add(time.Duration(float64(request.At) / opts.TimeScale))
		if !sleep.Until(ctx, due) || r.open() >= maxOpenRequests {
			break
		}
		r.update(func(result *Result) { result.Started++ })
		wg.Go(func() { r.sendRequest(ctx, i, request, due) })
	}
	wg.Wait()
	stop()
	return r.summarize(time.Since(begin)), nil
}

func (r *run) update(change func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.result)
}

// open returns the number of requests in flight.
func (r *run) open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.result
	return result.Started - result.Finished - result.Refused - result.Interrupted - result.Wrong
}

// startProgress calls the progress function once a second until stop is called.
func (r *run) startProgress(ctx context.Context) (stop func()) {
	if r.opts.Progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for sleep.Until(ctx, time.Now().Add(time.Second)) {
			r.mu.Lock()
			result := r.result
			r.mu.Unlock()
			r.opts.Progress(result.Started, result.Finished, result.Refused+result.Interrupted+result.Wrong)
		}
	}()
	return cancel
}

// sendRequest sends one request. The time to the first token counts from the scheduled
// start, so that a delay in the load generator does not hide a slow target. Request i
// goes to target i first and resumes at the following ones.
func (r *run) sendRequest(ctx context.Context, i int, request workload.Request, due time.Time) {
	output := request.Output
	if r.opts.MaxOutputTokens > 0 {
		output = min(output, r.opts.MaxOutputTokens)
	}
	text := fmt.Sprintf("length=%d %s ", output, request.Prefix)
	text += strings.Repeat("x", max(0, request.Prompt*bytesPerToken-len(text)))
	apiClient := &client.Client{Key: r.opts.Key}
	for offset := range r.opts.Targets {
		apiClient.Addresses = append(apiClient.Addresses, r.opts.Targets[(i+offset)%len(r.opts.Targets)])
	}
	last := due
	wrong := false
	got := 0
	res, err := apiClient.Stream(ctx, client.Completion{Model: r.opts.Service, Prompt: text}, func(token client.Token) error {
		wrong = wrong || token.Index != got
		got++
		last = r.recordToken(token.Index, last)
		return nil
	})
	r.recordEnd(res, err, wrong || (err == nil && got != output))
}

// recordToken records the time since the last token and returns the present time.
func (r *run) recordToken(index int, last time.Time) time.Time {
	now := time.Now()
	gap := now.Sub(last)
	r.mu.Lock()
	defer r.mu.Unlock()
	histogram := r.interToken
	if index == 0 {
		histogram = r.firstToken
	}
	_ = histogram.RecordValue(max(1, gap.Microseconds()))
	if gap > stallThreshold {
		r.stall += gap - stallThreshold
	}
	r.tokens++
	return now
}

func (r *run) recordEnd(res client.Result, err error, wrong bool) {
	r.update(func(result *Result) {
		result.Resumes += res.Resumes
		var refused *client.Error
		switch {
		case wrong:
			result.Wrong++
		case err == nil:
			result.Finished++
			return
		case errors.As(err, &refused) && refused.Outcome == "notRun":
			result.Refused++
			result.Causes[refused.Cause]++
		case errors.As(err, &refused):
			result.Interrupted++
			result.Causes[refused.Cause]++
		default:
			result.Interrupted++
			result.Causes["connection"]++
		}
		if result.FirstError == "" && err != nil {
			result.FirstError = err.Error()
		}
	})
}

func (r *run) summarize(took time.Duration) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.result
	result.StallSeconds = r.stall.Seconds()
	result.InterTokenP95Ms = float64(r.interToken.ValueAtQuantile(95)) / microsInMs
	result.InterTokenP99Ms = float64(r.interToken.ValueAtQuantile(99)) / microsInMs
	result.FirstTokenP50 = float64(r.firstToken.ValueAtQuantile(50)) / microsInSecond
	result.FirstTokenP95 = float64(r.firstToken.ValueAtQuantile(95)) / microsInSecond
	result.TokensPerSecond = float64(r.tokens) / took.Seconds()
	return result
}
