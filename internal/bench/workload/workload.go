// Package workload describes the requests to a deployment and generates them from a
// seed: arrivals, heavy-tailed lengths, shared prefixes, bursts, drift and engine
// faults.
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
	// Max is the upper limit of a length, at least Median.
	Max int `json:"max"`
}

// MixPart is one component of a mixture of requests.
type MixPart struct {
	// Share is the relative weight of the component.
	Share float64 `json:"share"`
	// Prompt and Output are the distributions of the lengths.
	Prompt Lengths `json:"prompt"`
	Output Lengths `json:"output"`
}

// Burst raises the request rate of a workspace periodically. The mean rate stays the
// same.
type Burst struct {
	// EverySeconds is the period and LastSeconds the duration of the burst at the start
	// of each period.
	EverySeconds float64 `json:"everySeconds"`
	LastSeconds  float64 `json:"lastSeconds"`
	// Factor multiplies the rate during the burst.
	Factor float64 `json:"factor"`
}

// Drift changes the output lengths of a workspace during the run.
type Drift struct {
	// AtMinute is the time of the change.
	AtMinute float64 `json:"atMinute"`
	// OutputFactor multiplies the median output length from then on.
	OutputFactor float64 `json:"outputFactor"`
}

// Workspace describes the requests of one workspace.
type Workspace struct {
	// Name is unique in the workload.
	Name string `json:"name"`
	// Share is the workspace's relative weight in the arrivals.
	Share float64 `json:"share"`
	// Region is the region that its callers connect to; empty means all regions
	// equally.
	Region string `json:"region"`
	// Batch gives the requests batch priority.
	Batch bool `json:"batch"`
	// Mix is the mixture of requests, with at least one component.
	Mix []MixPart `json:"mix"`
	// Prefixes is the number of shared prompt prefixes and PrefixTokens their length in
	// tokens.
	Prefixes     int `json:"prefixes"`
	PrefixTokens int `json:"prefixTokens"`
	// Burst and Drift are optional.
	Burst *Burst `json:"burst"`
	Drift *Drift `json:"drift"`
	// FromMinute is the time of the workspace's first requests.
	FromMinute float64 `json:"fromMinute"`
}

// Fault is a fault of an engine.
type Fault struct {
	// AtMinute is the time of the fault.
	AtMinute float64 `json:"atMinute"`
	// Kind is FaultReclaim.
	Kind string `json:"kind"`
	// Engine is the index of the engine in the deployment, from 0.
	Engine int `json:"engine"`
}

// FaultReclaim reclaims an engine, which ends its generations.
const FaultReclaim = "reclaim"

// Workload is the content of a workload file.
type Workload struct {
	// Name is the name of the workload in reports.
	Name string `json:"name"`
	// LoadFactor is the demand relative to the nominal capacity of the engines.
	LoadFactor float64 `json:"loadFactor"`
	// Workspaces has at least one entry.
	Workspaces []Workspace `json:"workspaces"`
	// Faults are the engine faults during the run; it may be empty.
	Faults []Fault `json:"faults"`
}

// Load reads and validates a workload file.
func Load(path string) (Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Workload{}, eris.Wrap(err, "read workload")
	}
	return Parse(path, data)
}

// Parse decodes and validates a workload. file is its name in error messages.
func Parse(file string, data []byte) (Workload, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	var w Workload
	if err := d.Decode(&w); err != nil {
		return w, eris.Wrapf(err, "%s: read workload", file)
	}
	return w, eris.Wrap(w.validate(), file)
}

func (w Workload) validate() error {
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

// Request is one generated request.
type Request struct {
	// At is the time of arrival since the start of the run.
	At time.Duration
	// Workspace is the index of the workspace in the workload.
	Workspace int
	// Prompt and Output are lengths in tokens, at least 1.
	Prompt int
	Output int
	// Prefix identifies the shared prompt prefix; empty for none.
	Prefix string
	// Draw is a random number for the choices of the caller, such as that of a VM.
	Draw uint64
}

func (l Lengths) draw(r *rand.Rand, factor float64) int {
	n := l.Median * factor * math.Exp(l.Sigma*r.NormFloat64())
	return max(1, min(int(n), l.Max))
}

// moments estimates the mean and the mean square of the lengths from samples.
func (l Lengths) moments(r *rand.Rand) (mean, square float64) {
	const draws = 4000
	for range draws {
		n := float64(l.draw(r, 1))
		mean += n / draws
		square += n * n / draws
	}
	return mean, square
}

// MeanRequest is the average request of a workload.
type MeanRequest struct {
	// Prompt and Output are mean lengths in tokens.
	Prompt, Output float64
	// Context is the mean context length of a decoding sequence in tokens, including
	// its prompt, averaged over time.
	Context float64
}

// MeanRequest returns the averages over all workspaces, weighted by their shares.
func (w Workload) MeanRequest(seed uint64) MeanRequest {
	r := rand.New(rand.NewPCG(seed, 1))
	var mean MeanRequest
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
			mean.Prompt += share * prompt
			mean.Output += share * output
			square += share * outputSquare
			promptOutput += share * prompt * output
		}
	}
	// In an average over time, an output has a weight in proportion to its length.
	mean.Context = (promptOutput + square/2) / mean.Output
	mean.Prompt /= weight
	mean.Output /= weight
	return mean
}

// Draw generates the requests of a run of the given length, in the order of arrival.
// perSecond is the mean rate of all workspaces together.
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

// draw generates arrivals by thinning a Poisson process of the peak rate. Bursts keep
// the mean rate.
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
