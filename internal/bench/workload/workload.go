// Package workload describes the requests of a deployment and draws them from a
// seed: arrivals, lengths with heavy tails, shared prefixes, bursts, drift, and
// faults of engines.
package workload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sort"
	"time"

	"github.com/rotisserie/eris"
)

// Lengths is a log-normal distribution of lengths in tokens.
type Lengths struct {
	// Median is the median length, at least 1.
	Median float64 `json:"median"`
	// Sigma is the standard deviation of the logarithm; above 1 the tail is heavy.
	Sigma float64 `json:"sigma"`
	// Max cuts the tail, at least Median.
	Max int `json:"max"`
}

// MixPart is one component of a mixture of requests.
type MixPart struct {
	// Share is the component's weight.
	Share float64 `json:"share"`
	// Prompt and Output are the lengths in tokens.
	Prompt Lengths `json:"prompt"`
	Output Lengths `json:"output"`
}

// Burst multiplies a workspace's arrivals from time to time.
type Burst struct {
	// EverySeconds is the period, LastSeconds the length of the burst within it.
	EverySeconds float64 `json:"everySeconds"`
	LastSeconds  float64 `json:"lastSeconds"`
	// Factor multiplies the rate within the burst.
	Factor float64 `json:"factor"`
}

// Drift changes a workspace's outputs at some time.
type Drift struct {
	// AtMinute is when.
	AtMinute float64 `json:"atMinute"`
	// OutputFactor multiplies the median of the outputs from then on.
	OutputFactor float64 `json:"outputFactor"`
}

// Workspace is the traffic of one workspace.
type Workspace struct {
	// Name is unique.
	Name string `json:"name"`
	// Share is the workspace's part of the arrivals.
	Share float64 `json:"share"`
	// Region is where its callers connect; empty means all regions alike.
	Region string `json:"region"`
	// Batch marks work that may wait.
	Batch bool `json:"batch"`
	// Mix is the mixture of requests; at least one part.
	Mix []MixPart `json:"mix"`
	// Prefixes is the number of prompt beginnings that requests share, PrefixTokens their length.
	Prefixes     int `json:"prefixes"`
	PrefixTokens int `json:"prefixTokens"`
	// Burst and Drift may be absent.
	Burst *Burst `json:"burst"`
	Drift *Drift `json:"drift"`
	// FromMinute is when a new workspace appears.
	FromMinute float64 `json:"fromMinute"`
}

// Fault is something that happens to an engine.
type Fault struct {
	// AtMinute is when.
	AtMinute float64 `json:"atMinute"`
	// Kind is reclaim.
	Kind string `json:"kind"`
	// Engine counts the deployment's engines from 0.
	Engine int `json:"engine"`
}

// FaultReclaim ends an engine at short notice.
const FaultReclaim = "reclaim"

// Workload is the content of a workload file.
type Workload struct {
	// Name is for reports.
	Name string `json:"name"`
	// LoadFactor is the demand as a part of the engines' nominal capacity.
	LoadFactor float64 `json:"loadFactor"`
	// Workspaces has at least one entry.
	Workspaces []Workspace `json:"workspaces"`
	// Faults may be empty.
	Faults []Fault `json:"faults"`
}

// Load reads and checks a workload file.
func Load(path string) (Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Workload{}, eris.Wrap(err, "read workload")
	}
	return Parse(path, data)
}

// Parse checks a workload; file is for errors.
func Parse(file string, data []byte) (Workload, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	var w Workload
	if err := d.Decode(&w); err != nil {
		return w, eris.Wrapf(err, "%s: read workload", file)
	}
	return w, eris.Wrap(w.check(), file)
}

func (w Workload) check() error {
	if w.LoadFactor <= 0 || w.LoadFactor > 10 {
		return fmt.Errorf("loadFactor: %v must be above 0 and at most 10", w.LoadFactor)
	}
	if len(w.Workspaces) == 0 {
		return eris.New("workspaces: at least one is needed")
	}
	seen := map[string]bool{}
	for i, workspace := range w.Workspaces {
		key := fmt.Sprintf("workspaces[%d]", i)
		switch {
		case workspace.Name == "" || seen[workspace.Name]:
			return fmt.Errorf("%s.name: %q must be present and unique", key, workspace.Name)
		case workspace.Share <= 0:
			return fmt.Errorf("%s.share: %v must be above 0", key, workspace.Share)
		case len(workspace.Mix) == 0:
			return fmt.Errorf("%s.mix: at least one part is needed", key)
		}
		seen[workspace.Name] = true
		for j, part := range workspace.Mix {
			for name, lengths := range map[string]Lengths{"prompt": part.Prompt, "output": part.Output} {
				if part.Share <= 0 || lengths.Median < 1 || lengths.Sigma < 0 || lengths.Sigma > 4 || float64(lengths.Max) < lengths.Median {
					return fmt.Errorf("%s.mix[%d].%s: share above 0, median at least 1, sigma from 0 to 4 and max at least the median are needed", key, j, name)
				}
			}
		}
	}
	for i, fault := range w.Faults {
		if fault.Kind != FaultReclaim || fault.Engine < 0 {
			return fmt.Errorf("faults[%d]: kind must be %s and engine at least 0", i, FaultReclaim)
		}
	}
	return nil
}

// Request is one drawn request.
type Request struct {
	// At is the time since the begin.
	At time.Duration
	// Workspace is the position of the workspace.
	Workspace int
	// Prompt and Output are lengths in tokens, at least 1.
	Prompt int
	Output int
	// Prefix is the shared beginning; empty for none.
	Prefix string
	// Draw is a random number for choices of the driver.
	Draw uint64
}

func (l Lengths) draw(r *rand.Rand, factor float64) int {
	n := l.Median * factor * math.Exp(l.Sigma*r.NormFloat64())
	return max(1, min(int(n), l.Max))
}

// moments estimates the mean and the mean square of the lengths by drawing.
func (l Lengths) moments(r *rand.Rand) (mean, square float64) {
	const draws = 4000
	for range draws {
		n := float64(l.draw(r, 1))
		mean += n / draws
		square += n * n / draws
	}
	return mean, square
}

// Shape is what a workload demands of an engine on average.
type Shape struct {
	// Prompt and Output are mean lengths in tokens.
	Prompt, Output float64
	// Context is the mean context of a decoding sequence in tokens, over time and with its prompt.
	Context float64
}

// Shape returns the averages over all workspaces.
func (w Workload) Shape(seed uint64) Shape {
	r := rand.New(rand.NewPCG(seed, 1))
	var shape Shape
	var weight, square, promptOutput float64
	for _, workspace := range w.Workspaces {
		total := 0.0
		for _, part := range workspace.Mix {
			total += part.Share
		}
		for _, part := range workspace.Mix {
			share := workspace.Share * part.Share / total
			prompt, _ := part.Prompt.moments(r)
			output, outputSquare := part.Output.moments(r)
			weight += share
			shape.Prompt += share * prompt
			shape.Output += share * output
			square += share * outputSquare
			promptOutput += share * prompt * output
		}
	}
	// Over time, long outputs count in proportion to their length.
	shape.Context = (promptOutput + square/2) / shape.Output
	shape.Prompt /= weight
	shape.Output /= weight
	return shape
}

// Draw returns the requests of a time in order of arrival, at a mean rate for
// all workspaces together.
func (w Workload) Draw(seed uint64, length time.Duration, perSecond float64) []Request {
	total := 0.0
	for _, workspace := range w.Workspaces {
		total += workspace.Share
	}
	var all []Request
	for i, workspace := range w.Workspaces {
		r := rand.New(rand.NewPCG(seed, uint64(i)+100))
		all = append(all, workspace.draw(r, i, length, perSecond*workspace.Share/total)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// draw thins a Poisson process of the highest rate. Bursts keep the mean rate.
func (ws Workspace) draw(r *rand.Rand, index int, length time.Duration, rate float64) []Request {
	base, peak := rate, rate
	if burst := ws.Burst; burst != nil {
		base = rate * burst.EverySeconds / (burst.EverySeconds + burst.LastSeconds*(burst.Factor-1))
		peak = max(base, base*burst.Factor)
	}
	var requests []Request
	for at := 0.0; ; {
		at += r.ExpFloat64() / peak
		if at >= length.Seconds() {
			return requests
		}
		currentRate := base
		if burst := ws.Burst; burst != nil && math.Mod(at, burst.EverySeconds) < burst.LastSeconds {
			currentRate = base * burst.Factor
		}
		if r.Float64()*peak > currentRate || at < 60*ws.FromMinute {
			continue
		}
		requests = append(requests, ws.drawRequest(r, index, at))
	}
}

func (ws Workspace) drawRequest(r *rand.Rand, index int, at float64) Request {
	part := ws.drawPart(r)
	factor := 1.0
	if drift := ws.Drift; drift != nil && at >= 60*drift.AtMinute {
		factor = drift.OutputFactor
	}
	request := Request{
		At: time.Duration(at * float64(time.Second)), Workspace: index,
		Prompt: part.Prompt.draw(r, 1), Output: part.Output.draw(r, factor), Draw: r.Uint64(),
	}
	if ws.Prefixes > 0 {
		request.Prefix = fmt.Sprintf("%s/%d", ws.Name, r.IntN(ws.Prefixes))
	}
	return request
}

func (ws Workspace) drawPart(r *rand.Rand) MixPart {
	total := 0.0
	for _, part := range ws.Mix {
		total += part.Share
	}
	remaining := r.Float64() * total
	for _, part := range ws.Mix {
		if remaining -= part.Share; remaining < 0 {
			return part
		}
	}
	return ws.Mix[len(ws.Mix)-1]
}
