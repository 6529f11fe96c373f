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
	storeHost = "10.9.0.1"
	storeAddr = storeHost + ":80"
	vmHost    = "10.1.0.1"
	callers   = vmHost + ":8000"
	readyAddr = vmHost + ":8001"
	key       = "key-of-acme"
)

// world is one entry VM with a store and replicas on virtual time.
type world struct {
	t     *testing.T
	net   *pipenet.Fabric
	store *store.Store
	grid  *upstream.Cluster
	vm    *ingress.Server
	log   *lines
	// callers is the VM that calls go to.
	callers string
	up      map[string]*upstream.Replica
}

// lines keeps what the VM logs.
type lines struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func (l *lines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), text)
}

// run plays a test on virtual time.
func run(t *testing.T, f func(t *testing.T, w *world)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, net: pipenet.New(), store: store.New(), grid: upstream.NewCluster(), log: &lines{},
			up: map[string]*upstream.Replica{}, callers: callers,
		}
		w.net.Delay = func(from, to string) time.Duration {
			if from == to {
				return 0
			}
			return 250 * time.Microsecond
		}
		defer w.close()
		w.openStore()
		w.configure(1, nil)
		w.startVM()
		f(t, w)
		if t.Failed() {
			t.Log(w.log.b.String())
		}
	})
}

func (w *world) openStore() {
	ln, err := w.net.Host(storeHost).Listen(storeAddr)
	if err != nil {
		w.t.Fatal(err)
	}
	s := &http.Server{Handler: w.store.Handler()}
	go func() { _ = s.Serve(ln) }()
	w.t.Cleanup(func() { _ = s.Close() })
}

func (w *world) close() {
	if w.vm != nil {
		w.vm.Kill()
	}
	for _, u := range w.up {
		u.Stop()
	}
	w.net.Close()
	// Lets stand-ins see that their connections are gone.
	time.Sleep(2 * time.Second)
}

func (w *world) startVM() {
	w.vm = w.newVM("vm-1", vmHost)
	time.Sleep(100 * time.Millisecond)
}

// at is the same world with calls going to another VM.
func (w *world) at(callers string) *world {
	other := *w
	other.callers = callers
	return &other
}

// newVM starts an entry VM in data centre a.
func (w *world) newVM(name, host string) *ingress.Server {
	vm := ingress.New(ingress.Options{
		Network: w.net.Host(host), Log: logline.New(w.log, "info"),
		Settings: settings.Gateway{
			VM:          settings.VM{Name: name, Region: "r1", DataCentre: "a"},
			Listen:      settings.GatewayListen{Callers: host + ":8000", Ready: host + ":8001", Peers: host + ":8002"},
			Store:       settings.Store{Address: storeAddr},
			MemoryMb:    64,
			DataCentres: map[string]string{"a": "r1", "b": "r2"},
			Bounds:      settings.Bounds{GraceS: 8, ConfigMs: 3000, DrainMs: 3000, RetryRatio: 0.2, RetrySlack: 50, RetryWindowS: 10},
		},
	})
	if err := vm.Start(); err != nil {
		w.t.Fatal(err)
	}
	return vm
}

type object = map[string]any

// configure puts a version of the configuration in force. With extra it has one
// more route.
func (w *world) configure(version int, extra object) {
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
	w.store.Set("config/main", object{
		"version": version, "routes": routes,
		"services": []object{
			{"name": "plain", "maxConns": 96},
			{"name": "engine", "maxConns": 200, "engine": object{
				"slots": 24, "kvCapacity": 34000, "kvTokenBytes": 163840, "linkMbps": 24000.0,
				"moves": true, "stride": 4, "handleS": 5.0,
			}},
		},
		"limits":  object{"headerBytes": 16384, "bodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []object{{"name": "acme", "apiKeys": []string{key}}},
	})
}

// plain starts a replica of the plain service.
func (w *world) plain(id string, fault func(string) upstream.Fault) {
	w.start(id, "plain", "a", nil, fault)
}

// engine starts a model replica in a data centre.
func (w *world) engine(id, dataCentre string) {
	w.start(id, "engine", dataCentre, &upstream.Engine{
		CapacityTokens: 34000, EventTokens: 4, EventInterval: 30 * time.Millisecond, PromptTokensPerMs: 14, CopyTokensPerMs: 18,
	}, nil)
}

func (w *world) start(id, service, dataCentre string, e *upstream.Engine, fault func(string) upstream.Fault) {
	host := "10.1.64." + strconv.Itoa(len(w.up)+1)
	address := host + ":80"
	u, err := w.grid.Start(upstream.Options{
		ID: id, Address: address, Network: w.net.Host(host), Engine: e, ServiceTime: 15 * time.Millisecond, Fault: fault,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.up[id] = u
	w.announce(id, service, address, dataCentre, "ready")
	time.Sleep(50 * time.Millisecond)
}

func (w *world) announce(id, service, address, dataCentre, state string) {
	w.store.Set("servers/"+id, object{
		"service": service, "addr": address, "zone": dataCentre, "version": "v1", "slots": 24,
		"state": state, "coldLeftMs": 0, "seq": 1,
	})
}

// leave announces that an engine leaves.
func (w *world) leave(id string) {
	w.announce(id, "engine", w.up[id].Address(), "a", "draining")
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	// events and longest describe a stream: the numbers in order, and the
	// longest pause between two of them.
	events  []int
	longest time.Duration
}

// call makes one request as a caller.
func (w *world) call(ctx context.Context, method, path, attempt string, header http.Header) answer {
	return w.callWith(ctx, method, path, attempt, header, "")
}

// callWith is call with a body.
func (w *world) callWith(ctx context.Context, method, path, attempt string, header http.Header, body string) answer {
	client := network.Client(w.net.Host("10.3.0.1"))
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.callers+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Host = "acme.example"
	req.Header = upstream.Request{Attempt: attempt, Key: key, Timeout: 39 * time.Second}.Headers()
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, header: resp.Header}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		b, err := io.ReadAll(resp.Body)
		a.body, a.err = string(b), err
		return a
	}
	a.readEvents(resp.Body)
	return a
}

func (a *answer) readEvents(body io.Reader) {
	r := bufio.NewReader(body)
	last := time.Now()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			if err != io.EOF {
				a.err = err
			}
			return
		}
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(id))
			if len(a.events) > 0 {
				a.longest = max(a.longest, time.Since(last))
			}
			last = time.Now()
			a.events = append(a.events, n)
		}
	}
}

// report asks for a stream of a number of events.
func (w *world) report(ctx context.Context, attempt string, events int) answer {
	return w.call(ctx, http.MethodPost, "/report/x", attempt, http.Header{
		"X-Pimentohinge-Token-Usage": {fmt.Sprintf("3000,%d", 4*events)},
	})
}

// whole fails the test unless the stream is complete and in order.
func (w *world) whole(a answer, events int) {
	w.t.Helper()
	if a.err != nil || a.status != http.StatusOK || len(a.events) != events {
		w.t.Fatalf("status %d, %d of %d events, %v", a.status, len(a.events), events, a.err)
	}
	for i, n := range a.events {
		if n != i+1 {
			w.t.Fatalf("event %d has number %d", i, n)
		}
	}
}
