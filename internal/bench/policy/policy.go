package policy

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pimentohinge/pimentohinge/internal/bench/workload"
	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/standin/model"
)

const (
	bytesPerToken = 440 // of one event to a caller, as BenchmarkRelayToken measures
	// stallAfter is the time without a token from which time counts as stall.
	stallAfter   = time.Second
	microsInMs   = 1000.0
	longestMicro = int64(3_600_000_000)
	digits       = 3
)

// layout is what a deployment consists of.
type layout struct {
	regions     []regionLayout
	engine      model.Options
	preemptions bool // the objective
	waitPriceMs int
}

type regionLayout struct {
	name         string
	vms, engines int
}

// layouts are the users' deployments of today.
var layouts = map[string]layout{
	"harbottle": {
		regions: []regionLayout{{"walsall-a", 2, 5}, {"derby-a", 2, 5}, {"leam-a", 2, 5}},
		engine:  model.DefaultOptions(), waitPriceMs: 400,
	},
	"klepsydra": {
		regions: []regionLayout{{"krakow-a", 2, 4}, {"warszawa-a", 2, 3}, {"gdansk-a", 2, 3}},
		engine:  model.DefaultOptions(), preemptions: true, waitPriceMs: 1000,
	},
}

// Deployments returns the known deployments, sorted.
func Deployments() []string { return []string{"harbottle", "klepsydra"} }

type policyMaker struct {
	make   func() control.Policy
	oracle bool
}

var policies = map[string]policyMaker{
	"round-robin":  {make: func() control.Policy { return &control.RoundRobin{} }},
	"least-load":   {make: func() control.Policy { return control.LeastLoad{} }},
	"power-of-two": {make: func() control.Policy { return control.PowerOfTwo{} }},
	"reserve":      {make: func() control.Policy { return control.Reserve{} }},
	"oracle":       {make: func() control.Policy { return control.Reserve{} }, oracle: true},
}

// Policies returns the names of the policies in the order of reports.
func Policies() []string {
	return []string{"round-robin", "least-load", "power-of-two", "reserve", "oracle"}
}

// Options describes a run.
type Options struct {
	// Deployment is one of Deployments.
	Deployment string
	// Workload is what arrives.
	Workload workload.Workload
	// Load replaces the workload's load factor when it is not 0.
	Load float64
	// Seed determines everything that is drawn.
	Seed uint64
	// Length is the virtual time.
	Length time.Duration
	// Policies are names of policies.
	Policies []string
	// Progress gets the share done of each policy; it may be nil.
	Progress func(policy string, done float64)

	// Confidence replaces the admission's reserve when it is not 0, in standard deviations.
	Confidence float64

	churn []churn
}

// churn is a change of the VMs within a run.
type churn struct {
	at  time.Duration
	run func(*sim)
}

// KillVM makes one VM die at a time of the run.
func (o *Options) KillVM(at time.Duration, vm int) {
	o.churn = append(o.churn, churn{at: at, run: func(s *sim) { s.vms[vm].dead = true }})
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

// Report is the outcome of a run.
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

// perSecond is the rate of requests that makes the workload's load: at 1 the
// demanded tokens equal what the engines give when their memory or their slots
// are full all the time.
func (o Options) perSecond() float64 {
	l := layouts[o.Deployment]
	engines := 0
	for _, r := range l.regions {
		engines += r.engines
	}
	shape := o.Workload.Shape(o.Seed)
	e := l.engine
	perSequence := shape.Context
	batch := min(float64(e.Slots), float64(e.CapacityBlocks*e.BlockTokens)/perSequence)
	prefill := batch * shape.Prompt / shape.Output * e.StepPerPrefillToken.Seconds()
	step := e.StepBase.Seconds() + batch*e.StepPerSequence.Seconds() +
		batch*perSequence*e.StepPerContextToken.Seconds() + prefill
	return o.load() * float64(engines) * batch / step / shape.Output
}

// Run measures every policy, side by side.
func Run(o Options) (Report, error) {
	if _, ok := layouts[o.Deployment]; !ok {
		return Report{}, fmt.Errorf("deployment %q is not one of %v", o.Deployment, Deployments())
	}
	rep := Report{
		Deployment: o.Deployment, Workload: o.Workload.Name, Load: o.load(), Seed: o.Seed,
		Policies: make([]Result, len(o.Policies)),
	}
	sims := make([]*sim, len(o.Policies))
	for i, name := range o.Policies {
		s, err := newSim(o, name)
		if err != nil {
			return Report{}, err
		}
		sims[i] = s
	}
	var wg sync.WaitGroup
	for i, s := range sims {
		wg.Go(func() {
			name := o.Policies[i]
			var progress func(float64)
			if o.Progress != nil {
				progress = func(done float64) { o.Progress(name, done) }
			}
			rep.Policies[i] = s.play(progress)
			rep.Policies[i].Name = name
		})
	}
	wg.Wait()
	return rep, nil
}

// metrics collects one run's figures.
type metrics struct {
	gaps        *hdrhistogram.Histogram // between tokens, in microseconds
	first       *hdrhistogram.Histogram // to the first token, in microseconds
	stalls      []time.Duration         // of each request
	stallTotal  time.Duration
	preemptions int
	done        int
	doneTokens  int
	refused     int
	interrupted int
	crossBytes  int
	tokensOf    map[int]int // by workspace
}

func newMetrics() *metrics {
	return &metrics{
		gaps:     hdrhistogram.New(1, longestMicro, digits),
		first:    hdrhistogram.New(1, longestMicro, digits),
		tokensOf: map[int]int{},
	}
}

func (m *metrics) token(r *simRequest, now time.Time) {
	gap := now.Sub(r.last)
	r.last = now
	h := m.gaps
	if r.tokens == 0 {
		h = m.first
	}
	_ = h.RecordValue(max(1, gap.Microseconds()))
	if gap > stallAfter {
		r.stall += gap - stallAfter
	}
	r.tokens++
	m.tokensOf[r.Workspace]++
}

func (m *metrics) finished(r *simRequest) {
	m.done++
	m.doneTokens += r.tokens
	m.ended(r)
}

func (m *metrics) ended(r *simRequest) {
	m.stalls = append(m.stalls, r.stall)
	m.stallTotal += r.stall
}

// open accounts for a request that has not ended.
func (m *metrics) open(r *simRequest, end time.Time) {
	gap := end.Sub(r.last)
	if gap > stallAfter {
		r.stall += gap - stallAfter
	}
	if r.tokens == 0 {
		_ = m.first.RecordValue(max(1, gap.Microseconds()))
	}
	m.ended(r)
}

func (m *metrics) result(s *sim) Result {
	sort.Slice(m.stalls, func(i, j int) bool { return m.stalls[i] < m.stalls[j] })
	r := Result{
		StallSecondsTotal: m.stallTotal.Seconds(), Preemptions: m.preemptions,
		InterTokenP95Ms: float64(m.gaps.ValueAtQuantile(95)) / microsInMs,
		InterTokenP99Ms: float64(m.gaps.ValueAtQuantile(99)) / microsInMs,
		FirstTokenP50:   float64(m.first.ValueAtQuantile(50)) / microsInMs / 1000,
		FirstTokenP95:   float64(m.first.ValueAtQuantile(95)) / microsInMs / 1000,
		TokensPerSecond: float64(m.doneTokens) / s.opts.Length.Seconds(),
		Finished:        m.done, Refused: m.refused, Interrupted: m.interrupted, CrossRegionBytes: m.crossBytes,
		WorstWorkspaceShare: m.worstShare(s),
	}
	if n := len(m.stalls); n > 0 {
		r.StallP99Seconds = m.stalls[(n-1)*99/100].Seconds()
	}
	return r
}

// worstShare is the smallest part of its demanded tokens that a workspace got,
// relative to the part that all workspaces got together.
func (m *metrics) worstShare(s *sim) float64 {
	demanded := map[int]int{}
	total, got := 0, 0
	for _, r := range s.order {
		demanded[r.Workspace] += r.Output
		total += r.Output
	}
	for _, n := range m.tokensOf {
		got += n
	}
	if got == 0 {
		return 0
	}
	worst := 1.0
	for w, d := range demanded {
		part := float64(m.tokensOf[w]) / float64(d) / (float64(got) / float64(total))
		worst = min(worst, part)
	}
	return worst
}
