package gateway_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/ingress"
	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

// crashingSegment is a prompt segment that crashes each engine which starts to generate
// for it.
type crashingSegment struct {
	id string
	// from and until bound the time in which requests with it are sent, one in each
	// interval on average.
	from, until, interval time.Duration
	// position is its place in the prompt, from 0; it is never the last.
	position int
}

// crashRun is a run with prompt segments that crash engines.
type crashRun struct {
	seed              uint64
	dataCentres       []string
	vms, engines      int // in each data centre
	segments          []crashingSegment
	length            time.Duration
	soundInterval     time.Duration
	documents         int // segments that sound requests share, besides the first
	restartAfter      time.Duration
	keepsID           bool // an engine starts again with its ID
	silent            bool // engines crash before the header of their response
	lateVM, cutVM     time.Duration
	cutFor            time.Duration
	cut               cutKind
	killAll           time.Duration
	crashWithoutCause time.Duration // interval of crashes of random engines; 0 for none
}

// cutKind says from what the last VM is cut off.
type cutKind int

const (
	cutFromAll cutKind = iota
	cutFromPeers
	cutFromStore
)

// sentRequest is a request of a crashRun.
type sentRequest struct {
	attempt string
	segment string // the crashing segment; empty in a sound request
	at      time.Duration
	vm      int
	took    time.Duration
	resp    response
}

// crashVM is one entry VM of a crashRun.
type crashVM struct {
	host, dataCentre string
	server           *ingress.Server
	// disturbed are the times at which it started, was cut off and was connected again.
	disturbed []time.Duration
}

// crashEngine is a running engine of a crashRun.
type crashEngine struct {
	id, address, dataCentre string
	replica                 *upstream.Replica
}

// crashFleet is a fleet while a crashRun is played.
type crashFleet struct {
	*testEnv
	run   crashRun
	start time.Time
	vms   []*crashVM

	mu      sync.Mutex
	rand    *rand.Rand
	engines map[string]*crashEngine // by address
	started int
	sent    []sentRequest
	wg      sync.WaitGroup
}

// startEngineAt starts an engine at an address and announces it. An engine that crashes is
// announced until its entry expires, and starts again after run.restartAfter.
func (f *crashFleet) startEngineAt(id, address, dataCentre string) {
	host, _, _ := strings.Cut(address, ":")
	engine := &crashEngine{id: id, address: address, dataCentre: dataCentre}
	var err error
	engine.replica, err = f.upstreams.Start(upstream.Options{
		ID: id, Address: address, Network: f.network.Host(host),
		Engine: &upstream.Engine{
			CapacityTokens: 34000, EventTokens: 4, EventInterval: 30 * time.Millisecond, PromptTokensPerMs: 14, CopyTokensPerMs: 18,
		},
		Crashes: func(segments []string) bool { return f.crashingSegment(segments) != "" },
		OnCrash: func() { f.restart(engine) }, CrashesSilently: f.run.silent,
	})
	if err != nil {
		f.t.Error(err)
		return
	}
	f.mu.Lock()
	f.engines[address] = engine
	f.mu.Unlock()
	f.store.Set("servers/"+id, object{
		"service": "engine", "addr": address, "zone": dataCentre, "version": "v1", "slots": 24,
		"state": "ready", "coldLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
}

// crashingSegment returns the crashing segment of a prompt, or "".
func (f *crashFleet) crashingSegment(segments []string) string {
	for _, s := range f.run.segments {
		if slices.Contains(segments, s.id) {
			return s.id
		}
	}
	return ""
}

// restart starts an engine again after a crash.
func (f *crashFleet) restart(engine *crashEngine) {
	f.mu.Lock()
	delete(f.engines, engine.address)
	f.mu.Unlock()
	f.wg.Go(func() {
		entryGone := f.run.restartAfter * 8 / 10
		time.Sleep(entryGone)
		f.store.Delete("servers/" + engine.id)
		time.Sleep(f.run.restartAfter - entryGone)
		id := engine.id
		if !f.run.keepsID {
			f.mu.Lock()
			f.started++
			id = fmt.Sprintf("e-%d", f.started)
			f.mu.Unlock()
		}
		f.startEngineAt(id, engine.address, engine.dataCentre)
	})
}

// crashRandomEngine stops an engine for no reason.
func (f *crashFleet) crashRandomEngine() {
	f.mu.Lock()
	addresses := slices.Sorted(maps.Keys(f.engines))
	if len(addresses) == 0 {
		f.mu.Unlock()
		return
	}
	engine := f.engines[addresses[f.rand.IntN(len(addresses))]]
	f.mu.Unlock()
	engine.replica.Stop()
	f.restart(engine)
}

// send sends one request with the given segments to a random VM.
func (f *crashFleet) send(attempt, crashing string, segments []string) {
	f.mu.Lock()
	i := f.rand.IntN(len(f.vms))
	running := f.vms[i].server != nil
	f.mu.Unlock()
	if !running {
		return
	}
	at := time.Now()
	ctx, cancel := context.WithTimeout(f.t.Context(), 20*time.Second)
	defer cancel()
	resp := f.via(f.vms[i].host+":8000").call(ctx, http.MethodPost, "/report/x", attempt, http.Header{
		"X-Pimentohinge-Token-Usage":   {"1500,160"},
		"X-Pimentohinge-Prompt-Prefix": {strings.Join(segments, ":300,") + ":300"},
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, sentRequest{
		attempt: attempt, segment: crashing, at: at.Sub(f.start), vm: i, took: time.Since(at), resp: resp,
	})
}

// pause returns a random time with the given mean.
func (f *crashFleet) pause(mean time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rand.ExpFloat64() * float64(mean))
}

// prompt returns the segments of a request: the common first one, one of the documents
// and the request's own. crashing is inserted at its position.
func (f *crashFleet) prompt(attempt string, crashing *crashingSegment) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	segments := []string{"c0", fmt.Sprintf("d%d", f.rand.IntN(f.run.documents)), "own" + attempt}
	if crashing != nil {
		segments = slices.Insert(segments, crashing.position, crashing.id)
	}
	return segments
}

// sendAll sends the requests of the run until its end.
func (f *crashFleet) sendAll() {
	f.wg.Go(func() {
		for i := 0; time.Since(f.start) < f.run.length; i++ {
			attempt := fmt.Sprintf("s%d", i)
			f.wg.Go(func() { f.send(attempt, "", f.prompt(attempt, nil)) })
			time.Sleep(f.pause(f.run.soundInterval))
		}
	})
	for n, segment := range f.run.segments {
		f.wg.Go(func() {
			time.Sleep(segment.from)
			for i := 0; time.Since(f.start) < segment.until; i++ {
				attempt := fmt.Sprintf("c%d-%d", n, i)
				f.wg.Go(func() { f.send(attempt, segment.id, f.prompt(attempt, &segment)) })
				time.Sleep(f.pause(segment.interval))
			}
		})
	}
}

// play plays a run with the VM and store of env.
func (env *testEnv) playCrashes(run crashRun) *crashFleet {
	f := &crashFleet{
		testEnv: env, run: run, rand: rand.New(rand.NewPCG(run.seed, 0)), engines: map[string]*crashEngine{},
	}
	env.vm.Kill()
	env.vm = nil
	for d, dataCentre := range run.dataCentres {
		for i := range run.engines {
			f.started++
			f.startEngineAt(fmt.Sprintf("e-%d", f.started), fmt.Sprintf("10.%d.64.%d:80", crashNetwork+d, i+1), dataCentre)
		}
		for i := range run.vms {
			f.vms = append(f.vms, &crashVM{host: fmt.Sprintf("10.%d.0.%d", crashNetwork+d, i+1), dataCentre: dataCentre})
		}
	}
	for i, vm := range f.vms {
		if i > 0 || run.lateVM == 0 {
			f.startCrashVM(i, vm)
		}
	}
	time.Sleep(10 * time.Second)
	f.start = time.Now()
	for _, vm := range f.vms {
		vm.disturbed = nil
	}
	f.sendAll()
	f.disturb()
	time.Sleep(time.Until(f.start.Add(run.length)))
	f.wg.Wait()
	for _, vm := range f.vms {
		vm.server.Kill()
	}
	for _, engine := range f.engines {
		engine.replica.Stop()
	}
	return f
}

func (f *crashFleet) startCrashVM(i int, vm *crashVM) {
	server := f.newVMIn(vm.dataCentre, fmt.Sprintf("vm-%02d", i), vm.host)
	f.mu.Lock()
	defer f.mu.Unlock()
	vm.server = server
	vm.disturbed = append(vm.disturbed, time.Since(f.start))
}

func (f *crashFleet) runningVM(vm *crashVM) *ingress.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return vm.server
}

// disturb starts a VM late, cuts one off, and kills all, as the run says.
func (f *crashFleet) disturb() {
	if f.run.lateVM > 0 {
		f.wg.Go(func() {
			time.Sleep(f.run.lateVM)
			f.startCrashVM(0, f.vms[0])
		})
	}
	if f.run.cutVM > 0 {
		f.wg.Go(func() {
			time.Sleep(f.run.cutVM)
			f.cutLastVM(true)
			time.Sleep(f.run.cutFor)
			f.cutLastVM(false)
		})
	}
	if f.run.crashWithoutCause > 0 {
		f.wg.Go(func() {
			for time.Sleep(f.pause(f.run.crashWithoutCause)); time.Since(f.start) < f.run.length; time.Sleep(f.pause(f.run.crashWithoutCause)) {
				f.crashRandomEngine()
			}
		})
	}
	if f.run.killAll > 0 {
		f.wg.Go(func() {
			time.Sleep(f.run.killAll)
			for i, vm := range f.vms {
				if server := f.runningVM(vm); server != nil {
					server.Kill()
					f.startCrashVM(i, vm)
				}
			}
		})
	}
}

// cutLastVM cuts the last VM off as the run says, or heals the cut.
func (f *crashFleet) cutLastVM(cut bool) {
	vm := f.vms[len(f.vms)-1]
	f.mu.Lock()
	vm.disturbed = append(vm.disturbed, time.Since(f.start))
	f.mu.Unlock()
	var hosts []string
	if f.run.cut != cutFromPeers {
		hosts = append(hosts, storeHost)
	}
	for _, other := range f.vms[:len(f.vms)-1] {
		if f.run.cut != cutFromStore {
			hosts = append(hosts, other.host)
		}
	}
	for _, host := range hosts {
		if cut {
			f.network.Cut(vm.host, host)
			f.network.Cut(host, vm.host)
			continue
		}
		f.network.Heal(vm.host, host)
		f.network.Heal(host, vm.host)
	}
}

// inTouch reports whether a VM had no disturbance within contactTime before a time and is
// not cut off from the store.
func (f *crashFleet) inTouch(vm int, at time.Duration) bool {
	cut := f.run.cutVM > 0 && f.run.cut != cutFromPeers && vm == len(f.vms)-1 && at >= f.run.cutVM && at < f.run.cutVM+f.run.cutFor
	return !cut && !slices.ContainsFunc(f.vms[vm].disturbed, func(d time.Duration) bool { return at >= d && at < d+contactTime })
}

// newCrashEngines starts four engines that crash on segment bad1 and start again after 20 s,
// and sends them sound requests for some seconds.
func (env *testEnv) newCrashEngines() *crashFleet {
	f := &crashFleet{testEnv: env, run: crashRun{segments: []crashingSegment{{id: "bad1"}}, restartAfter: 20 * time.Second}, engines: map[string]*crashEngine{}}
	for i := range 4 {
		f.startEngineAt(fmt.Sprintf("e-%d", i), fmt.Sprintf("10.20.64.%d:80", i+1), "a")
	}
	time.Sleep(time.Second)
	for i := range 16 {
		env.requireComplete(env.request(fmt.Sprintf("sound%d", i), 100, fmt.Sprint("d", i)), 40)
	}
	return f
}

// request sends a request with a segment.
func (env *testEnv) request(attempt string, promptTokens int, segment string) response {
	return env.call(env.t.Context(), http.MethodPost, "/report/x", attempt, http.Header{
		"X-Pimentohinge-Token-Usage":   {fmt.Sprintf("%d,160", promptTokens)},
		"X-Pimentohinge-Prompt-Prefix": {segment + ":300,own" + attempt + ":300"},
	})
}

// stop waits until all engines have started again, and stops them.
func (f *crashFleet) stop() {
	f.wg.Wait()
	for _, engine := range f.engines {
		engine.replica.Stop()
	}
}

// requestBad1 sends a request with segment bad1.
func (env *testEnv) requestBad1(attempt string, promptTokens int) response {
	return env.request(attempt, promptTokens, "bad1")
}

// crashEngines sends requests with segment bad1, one after the other.
func (env *testEnv) crashEngines(attempts ...string) {
	f := env.newCrashEngines()
	for _, attempt := range attempts {
		env.requestBad1(attempt, 100)
		time.Sleep(100 * time.Millisecond)
	}
	f.stop()
}
