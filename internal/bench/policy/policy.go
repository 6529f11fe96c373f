package policy

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pimentohinge/pimentohinge/internal/bench/workload"
	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/standin/enginesim"
)

const (
	eventBytes = 440 // size of one token event to a caller, from BenchmarkRelayToken
	// stallThreshold is the time without a token after which a request counts as
	// stalled.
	stallThreshold    = time.Second
	microsInMs        = 1000.0
	maxRecordedMicros = int64(3_600_000_000) // 1 h
	significantDigits = 3
)

// layout describes the machines and the settings of a deployment.
type layout struct {
	regions             []regionLayout
	engine              enginesim.Options
	minimizePreemptions bool // objective of the deployment
	waitPriceMs         int  // wait in the queue before a route to another region may be used
}

type regionLayout struct {
	name         string
	vms, engines int
}

// layouts are the users' present deployments.
var layouts = map[string]layout{
	"harbottle": {
		regions: []regionLayout{{"walsall-a", 2, 5}, {"derby-a", 2, 5}, {"leam-a", 2, 5}},
		engine:  enginesim.DefaultOptions(), waitPriceMs: 400,
	},
	"klepsydra": {
		regions: []regionLayout{{"krakow-a", 2, 4}, {"warszawa-a", 2, 3}, {"gdansk-a", 2, 3}},
		engine:  enginesim.DefaultOptions(), minimizePreemptions: true, waitPriceMs: 1000,
	},
}

// Deployments returns the names of the deployments, sorted.
func Deployments() []string { return []string{"harbottle", "klepsydra"} }

type policyFactory struct {
	make   func() control.Policy
	oracle bool // admission uses the actual output lengths
}

var policies = map[string]policyFactory{
	"round-robin":  {make: func() control.Policy { return &control.RoundRobin{} }},
	"least-load":   {make: func() control.Policy { return control.LeastLoad{} }},
	"power-of-two": {make: func() control.Policy { return control.PowerOfTwo{} }},
	"reserve":      {make: func() control.Policy { return control.Reserve{} }},
	"oracle":       {make: func() control.Policy { return control.Reserve{} }, oracle: true},
}

// Policies returns the names of the policies in the order of their reports.
func Policies() []string {
	return []string{"round-robin", "least-load", "power-of-two", "reserve", "oracle"}
}

// Options describes a run.
type Options struct {
	// Deployment is one of Deployments.
	Deployment string
	// Workload describes the requests.
	Workload workload.Workload
	// Load replaces the workload's load factor if it is not 0.
	Load float64
	// Seed determines all random choices.
	Seed uint64
	// Length is the virtual duration of the run.
	Length time.Duration
	// Policies are the names of the policies to measure.
	Policies []string
	// Progress is called with the completed fraction of a policy's run; it may be nil.
	Progress func(policy string, done float64)

	// Confidence replaces the safety margin of the admission, in standard deviations,
	// if it is not 0.
	Confidence float64

	vmChanges []vmChange
}

// vmChange is a change to the VMs at a time of the run.
type vmChange struct {
	at  time.Duration
	run func(*sim)
}

// KillVM makes one VM fail at a time of the run.
func (o *Options) KillVM(at time.Duration, vm int) {
	o.vmChanges = append(o.vmChanges, vmChange{at: at, run: func(s *sim) { s.vms[vm].failed = true }})
}

// Result is the measurement of one policy.
type Result struct {
	Name                string  `json:"name"`
	StallSecondsTotal   float64 `json:"stallSecondsTotal"`
	StallP99Seconds     float64 `json:"stallP99Seconds"`
	Preemptions         int     `json:"preemptions"`
	InterTokenP95Ms     float64 `json:"interTokenP95Ms"`
	InterTokenP99Ms     float64 `json:"interTokenP99Ms"`
	FirstTokenP50       float64 `json:"firstTokenP50Seconds"`
	FirstTokenP95       float64 `json:"firstTokenP95Seconds"`
	TokensPerSecond     float64 `json:"tokensPerSecond"`
	Finished            int     `json:"finished"`
	Refused             int     `json:"refused"`
	Interrupted         int     `json:"interrupted"`
	CrossRegionBytes    int     `json:"crossRegionBytes"`
	WorstWorkspaceShare float64 `json:"worstWorkspaceShare"`
}

// Report is the result of a run.
type Report struct {
	Deployment string   `json:"deployment"`
	Workload   string   `json:"workload"`
	Load       float64  `json:"load"`
	Seed       uint64   `json:"seed"`
	Policies   []Result `json:"policies"`
}

func (o Options) load() float64 {
	if o.Load > 0 {
		return o.Load
	}
	return o.Workload.LoadFactor
}

// requestRate returns the requests per second that produce the load factor. At a load
// factor of 1, the demanded tokens per second equal what the engines produce when
// their KV caches or their slots are always full.
func (o Options) requestRate() float64 {
	deployment := layouts[o.Deployment]
	engines := 0
	for _, region := range deployment.regions {
		engines += region.engines
	}
	mean := o.Workload.MeanRequest(o.Seed)
	engine := deployment.engine
	contextTokens := mean.Context
	batch := min(float64(engine.Slots), float64(engine.CapacityBlocks*engine.BlockTokens)/contextTokens)
	prefill := batch * mean.Prompt / mean.Output * engine.StepPerPrefillToken.Seconds()
	step := engine.StepBase.Seconds() + batch*engine.StepPerSequence.Seconds() +
		batch*contextTokens*engine.StepPerContextToken.Seconds() + prefill
	return o.load() * float64(engines) * batch / step / mean.Output
}

// Run measures all policies, in parallel.
func Run(opts Options) (Report, error) {
	if _, ok := layouts[opts.Deployment]; !ok {
		return Report{}, fmt.Errorf("deployment %q is not one of %v", opts.Deployment, Deployments())
	}
	report := Report{
		Deployment: opts.Deployment, Workload: opts.Workload.Name, Load: opts.load(), Seed: opts.Seed,
		Policies: make([]Result, len(opts.Policies)),
	}
	sims := make([]*sim, len(opts.Policies))
	for i, name := range opts.Policies {
		s, err := newSim(opts, name)
		if err != nil {
			return Report{}, err
		}
		sims[i] = s
	}
	var wg sync.WaitGroup
	for i, s := range sims {
		wg.Go(func() {
			name := opts.Policies[i]
			var progress func(float64)
			if opts.Progress != nil {
				progress = func(done float64) { opts.Progress(name, done) }
			}
			report.Policies[i] = s.runWorkload(progress)
			report.Policies[i].Name = name
		})
	}
	wg.Wait()
	return report, nil
}

// metrics collects the measurements of one policy.
type metrics struct {
	interToken       *hdrhistogram.Histogram // between tokens, in microseconds
	firstToken       *hdrhistogram.Histogram // to the first token, in microseconds
	stalls           []time.Duration         // total stall of each request, except refused and interrupted ones
	stallTotal       time.Duration
	preemptions      int
	finishedRequests int
	finishedTokens   int
	refused          int
	interrupted      int
	crossRegionBytes int
	workspaceTokens  map[int]int // by workspace
}

func newMetrics() *metrics {
	return &metrics{
		interToken:      hdrhistogram.New(1, maxRecordedMicros, significantDigits),
		firstToken:      hdrhistogram.New(1, maxRecordedMicros, significantDigits),
		workspaceTokens: map[int]int{},
	}
}

func (m *metrics) recordToken(request *simRequest, now time.Time) {
	gap := now.Sub(request.lastTokenAt)
	request.lastTokenAt = now
	histogram := m.interToken
	if request.tokens == 0 {
		histogram = m.firstToken
	}
	_ = histogram.RecordValue(max(1, gap.Microseconds()))
	if gap > stallThreshold {
		request.stall += gap - stallThreshold
	}
	request.tokens++
	m.workspaceTokens[request.Workspace]++
}

func (m *metrics) recordFinished(request *simRequest) {
	m.finishedRequests++
	m.finishedTokens += request.tokens
	m.recordStall(request)
}

func (m *metrics) recordStall(request *simRequest) {
	m.stalls = append(m.stalls, request.stall)
	m.stallTotal += request.stall
}

// recordUnfinished records a request that has not ended at the end of the run. Its wait
// since the last token, or for the first, counts up to that time.
func (m *metrics) recordUnfinished(request *simRequest, end time.Time) {
	gap := end.Sub(request.lastTokenAt)
	if gap > stallThreshold {
		request.stall += gap - stallThreshold
	}
	if request.tokens == 0 {
		_ = m.firstToken.RecordValue(max(1, gap.Microseconds()))
	}
	m.recordStall(request)
}

func (m *metrics) result(s *sim) Result {
	sort.Slice(m.stalls, func(i, j int) bool { return m.stalls[i] < m.stalls[j] })
	result := Result{
		StallSecondsTotal: m.stallTotal.Seconds(), Preemptions: m.preemptions,
		InterTokenP95Ms: float64(m.interToken.ValueAtQuantile(95)) / microsInMs,
		InterTokenP99Ms: float64(m.interToken.ValueAtQuantile(99)) / microsInMs,
		FirstTokenP50:   float64(m.firstToken.ValueAtQuantile(50)) / microsInMs / 1000,
		FirstTokenP95:   float64(m.firstToken.ValueAtQuantile(95)) / microsInMs / 1000,
		TokensPerSecond: float64(m.finishedTokens) / s.opts.Length.Seconds(),
		Finished:        m.finishedRequests, Refused: m.refused, Interrupted: m.interrupted, CrossRegionBytes: m.crossRegionBytes,
		WorstWorkspaceShare: m.worstShare(s),
	}
	if n := len(m.stalls); n > 0 {
		result.StallP99Seconds = m.stalls[(n-1)*99/100].Seconds()
	}
	return result
}

// worstShare returns the smallest fraction of its demanded tokens that a workspace
// received, relative to the fraction that all workspaces together received.
func (m *metrics) worstShare(s *sim) float64 {
	demanded := map[int]int{}
	total, got := 0, 0
	for _, request := range s.arrivals {
		demanded[request.Workspace] += request.Output
		total += request.Output
	}
	for _, n := range m.workspaceTokens {
		got += n
	}
	if got == 0 {
		return 0
	}
	worst := 1.0
	for workspace, tokens := range demanded {
		share := float64(m.workspaceTokens[workspace]) / float64(tokens) / (float64(got) / float64(total))
		worst = min(worst, share)
	}
	return worst
}
