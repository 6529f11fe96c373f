// Package soak runs entry VMs of the gateway command as separate processes, in front of
// stand-ins of the platform's store and backend servers on loopback addresses. It injects
// random faults and checks what callers received and backend servers ran.
package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/sleep"
)

// Options describes a run.
type Options struct {
	// Seed determines the faults and the requests, but not how they interleave.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// VMs, Engines and Callers are the numbers of entry VMs, engines and callers.
	VMs, Engines, Callers int
	// Profile is the name of the set of faults.
	Profile string
	// Program is the path of the program that the VMs run.
	Program string
	// Dir is the directory for the settings and logs of the VMs.
	Dir string
	// Progress is called every few seconds with a line of text; it may be nil.
	Progress func(line string)
}

// Report is the result of a run.
type Report struct {
	// Requests counts the requests by kind and what came of them.
	Requests map[string]int
	// Faults counts the injected faults by name.
	Faults map[string]int
	// Resumed is the number of runs that resumed a stream on another engine or in place.
	Resumed int
	// CutByEnd is the number of runs with a caller that were cut off by the end of their engine, and
	// ResumePauses holds the times until those that were resumed began again, in order.
	CutByEnd     int
	ResumePauses []time.Duration
	// PeakMemoryMb is the largest resident size of a VM in megabytes.
	PeakMemoryMb int
	// Violations are the broken promises.
	Violations []Violation
}

// String returns the report as lines of text.
func (r Report) String() string {
	var b strings.Builder
	for _, part := range []struct {
		name   string
		counts map[string]int
	}{{"requests", r.Requests}, {"faults", r.Faults}} {
		fmt.Fprintf(&b, "%s:", part.name)
		for _, name := range slices.Sorted(maps.Keys(part.counts)) {
			fmt.Fprintf(&b, " %s=%d", name, part.counts[name])
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(&b, "resumed runs: %d, peak memory of a VM: %d MB\n", r.Resumed, r.PeakMemoryMb)
	fmt.Fprintf(&b, "runs cut off by the end of an engine: %d, resumed: %d", r.CutByEnd, len(r.ResumePauses))
	if n := len(r.ResumePauses); n > 0 {
		fmt.Fprintf(&b, ", pause ms median %d, longest %d", r.ResumePauses[n/2].Milliseconds(), r.ResumePauses[n-1].Milliseconds())
	}
	b.WriteString("\n")
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "%s %s: %s\n", v.Rule, v.Attempt, v.Detail)
	}
	fmt.Fprintf(&b, "violations: %d\n", len(r.Violations))
	return b.String()
}

const (
	progressInterval = 5 * time.Second
	// settleTime is how long the VMs run before callers start.
	settleTime = 2 * time.Second
	// drainTime bounds the wait for open requests at the end of a run.
	drainTime = 45 * time.Second
	// recoveryTime is the time in which the VMs must serve again after all were killed, and
	// recoveryWindow the time of the requests after it that are counted.
	recoveryTime   = 12 * time.Second
	recoveryWindow = 4 * time.Second
	// lateRunTime is the wait for runs that begin after their request has ended.
	lateRunTime = time.Second
)

// Run starts the processes, injects faults and returns the report. The error is set if the
// run could not be made.
func Run(ctx context.Context, opts Options) (Report, error) {
	faults, ok := profiles[opts.Profile]
	if !ok {
		return Report{}, eris.Errorf("unknown profile %q; known are %s", opts.Profile, strings.Join(ProfileNames(), ", "))
	}
	if opts.VMs < 1 || opts.Engines < 2 || opts.Callers < 1 || opts.Duration <= 0 {
		return Report{}, eris.New("a run needs a VM, two engines, a caller and a duration")
	}
	f, err := newFleet(opts)
	if err != nil {
		return Report{}, err
	}
	defer f.close()
	if err := f.start(ctx); err != nil {
		return Report{}, err
	}
	sleep.For(ctx, settleTime)
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callers sync.WaitGroup
	for i := range opts.Callers {
		c := f.newCaller(i, rand.New(rand.NewPCG(opts.Seed, uint64(i)+2)))
		callers.Go(func() { c.run(callersCtx) })
	}
	f.injectFaults(ctx, faults)
	if opts.Profile == profileRecovery {
		f.killAll()
		f.recoverBy = time.Now().Add(recoveryTime)
		sleep.For(ctx, recoveryTime+recoveryWindow)
	}
	stopCallers()
	waited := make(chan struct{})
	go func() {
		callers.Wait()
		close(waited)
	}()
	select {
	case <-waited:
	case <-time.After(drainTime):
	}
	sleep.For(ctx, lateRunTime)
	return f.report(), nil
}

// injectFaults injects one fault after the other until the end of the run.
func (f *fleet) injectFaults(ctx context.Context, faults []weightedFault) {
	total := 0
	for _, fault := range faults {
		total += fault.weight
	}
	nextProgress := time.Now().Add(progressInterval)
	for end := time.Now().Add(f.opts.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		sleep.For(ctx, time.Duration(100+f.random.IntN(400))*time.Millisecond)
		n := f.random.IntN(total)
		for _, fault := range faults {
			if n -= fault.weight; n < 0 {
				f.countFault(fault.name)
				fault.inject(f)
				break
			}
		}
		if now := time.Now(); f.opts.Progress != nil && now.After(nextProgress) {
			nextProgress = now.Add(progressInterval)
			f.opts.Progress(f.progressLine())
		}
	}
	f.endFaults()
}

func (f *fleet) countFault(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[name]++
}

func (f *fleet) progressLine() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	faults := 0
	for _, n := range f.faults {
		faults += n
	}
	return fmt.Sprintf("%d requests ended, %d faults injected", len(f.records), faults)
}
