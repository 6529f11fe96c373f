package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/ingress"
	"github.com/pimentohinge/pimentohinge/internal/logline"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/internal/standin/pipenet"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

const (
	storeHost   = "10.9.0.1"
	storeAddr   = storeHost + ":80"
	vmHost      = "10.1.0.1"
	callersAddr = vmHost + ":8000"
	readyAddr   = vmHost + ":8001"
	apiKey      = "key-of-acme"
)

// testEnv is an entry VM with a simulated store and replicas, on virtual time.
type testEnv struct {
	t *testing.T
	// network is nil in tests over TCP.
	network   *pipenet.Fabric
	store     *store.Store
	upstreams *upstream.Cluster
	vm        *ingress.Server
	logs      *logBuffer
	// callersAddr is the address of the VM to which call sends requests.
	callersAddr string
	replicas    map[string]*upstream.Replica
	// successorStarts holds the starts of the engines that took over the address of another one,
	// by the ID of that one.
	successorStarts map[string]time.Time
	// wrapNetwork, when not nil, replaces the network of the VMs that are started.
	wrapNetwork func(network.Network) network.Network
	// bodyBytes is the longest body of a request.
	bodyBytes int
	// evacuationMs is the bound for evacuations of the VMs that are started.
	evacuationMs int
}

// logBuffer collects the log of the VMs.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), text)
}

// runTest runs a test on virtual time, in parallel with others, with one started VM.
func runTest(t *testing.T, test func(t *testing.T, env *testEnv)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		env := newEnv(t)
		env.network = pipenet.New()
		env.network.Delay = func(from, to string) time.Duration {
			if from == to {
				return 0
			}
			return 250 * time.Microsecond
		}
		env.run(test)
	})
}

// newEnv returns an environment whose network is TCP.
func newEnv(t *testing.T) *testEnv {
	return &testEnv{
		t: t, store: store.New(), upstreams: upstream.NewCluster(), logs: &logBuffer{},
		replicas: map[string]*upstream.Replica{}, successorStarts: map[string]time.Time{}, callersAddr: callersAddr,
		bodyBytes: 1 << 20,
	}
}

// run runs a test with one started VM.
func (env *testEnv) run(test func(t *testing.T, env *testEnv)) {
	defer env.close()
	defer func() {
		if env.t.Failed() {
			env.t.Log(env.logs.text())
		}
	}()
	env.startStore()
	env.configure(1, nil)
	env.startVM()
	test(env.t, env)
}

// host returns the network as a host uses it.
func (env *testEnv) host(host string) network.Network {
	if env.network == nil {
		return loopbackNetwork{}
	}
	return env.network.Host(host)
}

func (env *testEnv) startStore() {
	ln, err := env.host(storeHost).Listen(storeAddr)
	if err != nil {
		env.t.Fatal(err)
	}
	s := &http.Server{Handler: env.store.Handler()}
	go func() { _ = s.Serve(ln) }()
	env.t.Cleanup(func() { _ = s.Close() })
}

func (env *testEnv) close() {
	if env.vm != nil {
		env.vm.Kill()
	}
	for _, replica := range env.replicas {
		replica.Stop()
	}
	if env.network == nil {
		return
	}
	env.network.Close()
	// Gives the simulated servers time to detect that their connections are closed.
	time.Sleep(2 * time.Second)
}

func (env *testEnv) startVM() {
	env.vm = env.newVM("vm-1", vmHost)
	time.Sleep(100 * time.Millisecond)
}

// via returns the same environment with requests sent to another VM.
func (env *testEnv) via(callersAddr string) *testEnv {
	other := *env
	other.callersAddr = callersAddr
	return &other
}

// regions maps each data centre of the tests to its region.
var regions = map[string]string{"a": "r1", "b": "r2", "c": "r3", "d": "r1"}

// newVM starts an entry VM in data centre a.
func (env *testEnv) newVM(name, host string) *ingress.Server { return env.newVMIn("a", name, host) }

// newVMIn starts an entry VM in a data centre.
func (env *testEnv) newVMIn(dataCentre, name, host string) *ingress.Server {
	vmNetwork := env.host(host)
	if env.wrapNetwork != nil {
		vmNetwork = env.wrapNetwork(vmNetwork)
	}
	vm := ingress.New(ingress.Options{
		Network: vmNetwork, Log: logline.New(env.logs, "info"),
		Settings: settings.Gateway{
			VM:          settings.VM{Name: name, Region: regions[dataCentre], DataCentre: dataCentre},
			Listen:      settings.GatewayListen{Callers: host + ":8000", Ready: host + ":8001", Peers: host + ":8002"},
			Store:       settings.Store{Address: storeAddr},
			MemoryMb:    64,
			DataCentres: regions,
			Bounds:      settings.Bounds{GraceS: 8, ConfigMs: 3000, DrainMs: 3000, RetryRatio: 0.2, RetrySlack: 50, RetryWindowS: 10, EvacuationMs: env.evacuationMs},
		},
	})
	if err := vm.Start(); err != nil {
		env.t.Fatal(err)
	}
	return vm
}

type object = map[string]any

// configure stores a version of the configuration. A non-nil extra is added to its
// routes.
func (env *testEnv) configure(version int, extra object) {
	env.configureWorkspaces(version, extra, []object{{"name": "acme", "apiKeys": []string{apiKey}}})
}

// configureWorkspaces is configure with a list of workspaces; nil stores none.
func (env *testEnv) configureWorkspaces(version int, extra object, workspaces []object) {
	route := func(name, prefix, kind, service string, attempts, timeout int) object {
		return object{
			"name": name, "host": "acme.example", "pathPrefix": prefix, "kind": kind, "service": service,
			"maxAttempts": attempts, "timeoutMs": timeout, "goalMs": 200, "priority": 1, "gapGoalMs": 180,
		}
	}
	routes := []object{
		route("r-safe", "/safe/", "safe", "plain", 2, 1500),
		route("r-unsafe", "/unsafe/", "unsafe", "plain", 2, 1500),
		route("r-report", "/report/", "streaming", "engine", 1, 39000),
	}
	if extra != nil {
		routes = append(routes, extra)
	}
	config := object{
		"version": version, "routes": routes,
		"services": []object{
			{"name": "plain", "maxConns": 96},
			{"name": "engine", "maxConns": 200, "engine": object{
				"slots": 24, "kvCapacity": 34000, "kvTokenBytes": 163840, "linkMbps": 24000.0,
				"moves": true, "stride": 4, "handleS": 5.0,
			}},
		},
		"limits": object{"headerBytes": 16384, "bodyBytes": env.bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if workspaces != nil {
		config["tenants"] = workspaces
	}
	env.store.Set("config/main", config)
}

// startPlain starts a replica of the plain service.
func (env *testEnv) startPlain(id string, fault func(string) upstream.Fault) {
	env.startReplica(id, "plain", "a", nil, fault)
}

// startEngine starts a replica of the engine service in a data centre.
func (env *testEnv) startEngine(id, dataCentre string) { env.startFaultyEngine(id, dataCentre, nil) }

// startFaultyEngine starts a replica of the engine service that injects faults.
func (env *testEnv) startFaultyEngine(id, dataCentre string, fault func(string) upstream.Fault) {
	env.startReplica(id, "engine", dataCentre, testEngine(), fault)
}

// testEngine is the model replica of the tests.
func testEngine() *upstream.Engine {
	return &upstream.Engine{
		CapacityTokens: 34000, EventTokens: 4, EventInterval: 30 * time.Millisecond, PromptTokensPerMs: 14, CopyTokensPerMs: 18,
	}
}

func (env *testEnv) startReplica(id, service, dataCentre string, engine *upstream.Engine, fault func(string) upstream.Fault) {
	env.startReplicaWith(id, service, dataCentre, upstream.Options{Engine: engine, Fault: fault})
}

// startReplicaWith starts a replica with options of which it sets the ID, the address and
// the service time.
func (env *testEnv) startReplicaWith(id, service, dataCentre string, opts upstream.Options) {
	host := "10.1.64." + strconv.Itoa(len(env.replicas)+1)
	address := host + ":80"
	opts.ID, opts.Address, opts.Network, opts.ServiceTime = id, address, env.host(host), 15*time.Millisecond
	replica, err := env.upstreams.Start(opts)
	if err != nil {
		env.t.Fatal(err)
	}
	env.replicas[id] = replica
	env.announce(id, service, address, dataCentre, "ready")
	time.Sleep(50 * time.Millisecond)
}

func (env *testEnv) announce(id, service, address, dataCentre, state string) {
	env.store.Set("servers/"+id, object{
		"service": service, "addr": address, "zone": dataCentre, "version": "v1", "slots": 24,
		"state": state, "coldLeftMs": 0, "seq": 1,
	})
}

// announceLeaving marks an engine as leaving in the server list.
func (env *testEnv) announceLeaving(id string) {
	env.announce(id, "engine", env.replicas[id].Address(), "a", "draining")
}

// response is what a caller received.
type response struct {
	status int
	header http.Header
	body   string
	err    error
	// events holds the event numbers of a stream in order of arrival. longestPause is
	// the longest time between two consecutive events.
	events       []int
	longestPause time.Duration
}

// call sends a request as a caller.
func (env *testEnv) call(ctx context.Context, method, path, attempt string, header http.Header) response {
	return env.callWithBody(ctx, method, path, attempt, header, "")
}

// callWithBody is call with a body.
func (env *testEnv) callWithBody(ctx context.Context, method, path, attempt string, header http.Header, body string) response {
	client := network.Client(env.host("10.3.0.1"))
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+env.callersAddr+path, strings.NewReader(body))
	if err != nil {
		env.t.Fatal(err)
	}
	req.Host = "acme.example"
	req.Header = upstream.Request{Attempt: attempt, Key: apiKey, Timeout: 39 * time.Second}.Headers()
	for k, v := range header {
		req.Header[k] = v
	}
	httpResp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = httpResp.Body.Close() }()
	resp := response{status: httpResp.StatusCode, header: httpResp.Header}
	if !strings.HasPrefix(httpResp.Header.Get("Content-Type"), "text/event-stream") {
		b, err := io.ReadAll(httpResp.Body)
		resp.body, resp.err = string(b), err
		return resp
	}
	resp.readEvents(httpResp.Body)
	return resp
}

func (resp *response) readEvents(body io.Reader) {
	r := bufio.NewReader(body)
	last := time.Now()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			if err != io.EOF {
				resp.err = err
			}
			return
		}
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(id))
			if len(resp.events) > 0 {
				resp.longestPause = max(resp.longestPause, time.Since(last))
			}
			last = time.Now()
			resp.events = append(resp.events, n)
		}
	}
}

// stream requests a stream of the given number of events and reads it to its end.
func (env *testEnv) stream(ctx context.Context, attempt string, events int) response {
	return env.call(ctx, http.MethodPost, "/report/x", attempt, http.Header{
		"X-Pimentohinge-Token-Usage": {fmt.Sprintf("3000,%d", 4*events)},
	})
}

// requireComplete fails the test unless the stream is complete and in order.
func (env *testEnv) requireComplete(resp response, events int) {
	env.t.Helper()
	if resp.err != nil || resp.status != http.StatusOK || len(resp.events) != events {
		env.t.Fatalf("status %d, %d of %d events, %v", resp.status, len(resp.events), events, resp.err)
	}
	for i, n := range resp.events {
		if n != i+1 {
			env.t.Fatalf("event %d has number %d", i, n)
		}
	}
}
