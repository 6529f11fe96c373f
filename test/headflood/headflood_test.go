// Package headflood_test runs the gateway as a process before callers that send request heads
// of legal size made of very many lines.
package headflood_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

const (
	// memoryMb is the memory of the VM, and maxDescriptors the descriptors that it may use.
	memoryMb       = 64
	maxDescriptors = 256
	// manyDescriptors are enough for the whole crowd.
	manyDescriptors = 4100
	// crowdSize is the number of connections of the crowd. Each sends a head of headBytes.
	crowdSize = 400
	headBytes = 15_000
	// crowdRounds is the number of requests that a caller of the crowd sends in turn.
	crowdRounds = 4
	// ordinaryAttempts bounds how often the ordinary caller retries.
	ordinaryAttempts = 20
	ordinaryPause    = 500 * time.Millisecond

	host       = "flood.example"
	apiKey     = "flood-key"
	storeAddr  = "127.9.0.1:8742"
	serverAddr = "127.9.2.1:8469"
	callers    = "127.9.1.1:8740"
	ready      = "127.9.1.1:8749"
	peers      = "127.9.1.1:7200"

	// unreadCrowd is the number of callers that send more than their request, fewer than the VM takes
	// at once.
	unreadCrowd = 500
	// longResponseBytes is the length of responses. Those of pipelined requests do not fit into the
	// buffers of a connection whose caller has a buffer of smallBuffer and does not read.
	longResponseBytes = 320 << 10

	// streamedEvents is the number of events of a stream.
	streamedEvents = 2000
	eventBytes     = 2 << 10

	slowServerAddr   = "127.9.2.2:8469"
	longServerAddr   = "127.9.2.3:8469"
	eventsServerAddr = "127.9.2.4:8469"
	metricsAddr      = "127.9.1.1:9464"
)

type object = map[string]any

// vm is a gateway process.
type vm struct{ *process }

// startVM starts a store, two plain servers and one gateway process, which end with the test.
func startVM(t *testing.T, program string, descriptors int) *vm {
	t.Helper()
	return startVMWithOutput(t, program, descriptors, io.Discard)
}

// startVMWithOutput is startVM with a process that writes its log lines to out.
func startVMWithOutput(t *testing.T, program string, descriptors int, out io.Writer) *vm {
	t.Helper()
	s := store.New()
	ln, err := net.Listen("tcp", storeAddr)
	if err != nil {
		t.Fatal(err)
	}
	storeServer := &http.Server{Handler: s.Handler()}
	go func() { _ = storeServer.Serve(ln) }()
	t.Cleanup(func() { _ = storeServer.Close() })
	s.Set("config/main", object{
		"version": 1,
		"routes": []object{{
			"name": "lookup", "host": host, "pathPrefix": "/lookup/", "kind": "safe", "service": "plain",
			"maxAttempts": 2, "timeoutMs": 3000, "goalMs": 200,
		}, {
			"name": "slow", "host": host, "pathPrefix": "/slow/", "kind": "safe", "service": "slow",
			"maxAttempts": 2, "timeoutMs": 3000, "goalMs": 2000,
		}, {
			"name": "events", "host": host, "pathPrefix": "/events/", "kind": "streaming", "service": "events",
			"maxAttempts": 1, "timeoutMs": 3000, "goalMs": 2000,
		}, {
			"name": "long", "host": host, "pathPrefix": "/long/", "kind": "safe", "service": "long",
			"maxAttempts": 2, "timeoutMs": 3000, "goalMs": 2000,
		}},
		"services": []object{{"name": "plain", "maxConns": 96}, {"name": "slow", "maxConns": 2 * crowdSize}, {"name": "long", "maxConns": 96}, {"name": "events", "maxConns": 2 * crowdSize}},
		"tenants":  []object{{"name": "flood", "apiKeys": []string{apiKey}}},
		"limits":   object{"headerBytes": 16_384, "bodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
	})
	startServer(t, s, "plain", serverAddr, 15*time.Millisecond)
	listenAndServe(t, longServerAddr, http.HandlerFunc(respondLong))
	enterServer(s, "long", longServerAddr)
	listenAndServe(t, eventsServerAddr, http.HandlerFunc(respondWithEvents))
	enterServer(s, "events", eventsServerAddr)
	startServer(t, s, "slow", slowServerAddr, 2*time.Second)
	settings, err := json.Marshal(object{
		"vm":     object{"name": "vm-1", "region": "region-a", "dataCentre": "dc-a"},
		"listen": object{"callers": callers, "ready": ready, "peers": peers, "metrics": metricsAddr},
		"store":  object{"address": storeAddr}, "memoryMb": memoryMb, "maxDescriptors": descriptors,
		"dataCentres": object{"dc-a": "region-a"},
		"bounds":      object{"graceS": 8, "configMs": 3000, "drainMs": 3000, "retryRatio": 0.2, "retrySlack": 52, "retryWindowS": 10},
	})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "vm.json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	return &vm{start(t, out, isReady, program, "gateway", "--settings", file)}
}

// startServer starts a plain server of a service and enters it in the store.
func startServer(t *testing.T, s *store.Store, service, addr string, serviceTime time.Duration) {
	t.Helper()
	replica, err := upstream.NewCluster().Start(upstream.Options{
		ID: service + "-1", Address: addr, Network: network.TCP{}, ServiceTime: serviceTime,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(replica.Stop)
	enterServer(s, service, addr)
}

// respondLong responds with longResponseBytes as a server does that ran the request.
func respondLong(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Pimentohinge-Attempt-Id")
	w.Header().Set("X-Pimentohinge-Attempt-Id", attempt)
	w.Header().Set("X-Pimentohinge-Response-Stamp", "stamp-"+attempt)
	w.Header().Set("Content-Length", strconv.Itoa(longResponseBytes))
	_, _ = w.Write(make([]byte, longResponseBytes))
}

// respondWithEvents responds with a stream of streamedEvents events, each of eventBytes.
func respondWithEvents(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Pimentohinge-Attempt-Id")
	w.Header().Set("X-Pimentohinge-Attempt-Id", attempt)
	w.Header().Set("X-Pimentohinge-Response-Stamp", "stamp-"+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	text := strings.Repeat("x", eventBytes)
	for i := range streamedEvents {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, text); err != nil {
			return
		}
	}
}

// enterServer enters the only server of a service in the store.
func enterServer(s *store.Store, service, addr string) {
	s.Set("servers/"+service+"-1", object{
		"service": service, "addr": addr, "zone": "dc-a", "version": "v1", "slots": unreadCrowd, "state": "ready", "coldLeftMs": 0, "seq": 1,
	})
}

func isReady() bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// head returns the start of an ordinary request, without the blank line at its end.
func head(attempt string) string {
	return "GET /lookup/x HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Token " + apiKey +
		"\r\nX-Pimentohinge-Attempt-Id: " + attempt + "\r\nX-Pimentohinge-Deadline-Ms: 3000\r\n"
}

// shapes are the lines with which a head is filled, by name.
var shapes = map[string]func(i int) string{
	"distinct": func(i int) string { return strconv.FormatInt(int64(i), 36) + ":\r\n" },
	"repeated": func(int) string { return "a:\r\n" },
	"folded": func(i int) string {
		if i%2 == 0 {
			return strconv.FormatInt(int64(i), 36) + ":\r\n"
		}
		return " \r\n"
	},
}

// flood returns a head of headBytes, without the blank line at its end.
func flood(attempt string, line func(int) string) []byte {
	out := []byte(head(attempt))
	for i := 0; len(out) < headBytes; i++ {
		out = append(out, line(i)...)
	}
	return out
}

// crowd opens crowdSize connections and sends a head on each. If held is set, the last byte of
// each head stays out, otherwise the responses are read and more requests follow. The returned
// function closes the connections.
func crowd(line func(int) string, held bool) (end func()) {
	var conns sync.Map
	var senders sync.WaitGroup
	for i := range crowdSize {
		senders.Go(func() {
			conn, err := net.DialTimeout("tcp", callers, 5*time.Second)
			if err != nil {
				return
			}
			conns.Store(i, conn)
			for round := range crowdRounds {
				request := append(flood(fmt.Sprintf("flood-%d-%d", i, round), line), "\r\n"...)
				if held {
					request = request[:len(request)-1]
				}
				if _, err := conn.Write(request); err != nil || held {
					return
				}
				// What the responses say does not matter here.
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				if _, err := conn.Read(make([]byte, 4096)); err != nil {
					return
				}
			}
		})
	}
	senders.Wait()
	return func() {
		conns.Range(func(_, conn any) bool {
			_ = conn.(net.Conn).Close()
			return true
		})
	}
}

// ordinaryRequest sends one ordinary request, again if it is refused, and reports whether a
// server's response came.
func ordinaryRequest(attempt string) bool {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range ordinaryAttempts {
		req, err := http.NewRequest(http.MethodGet, "http://"+callers+"/lookup/x", nil)
		if err != nil {
			return false
		}
		req.Host = host
		req.Header.Set("Authorization", "Token "+apiKey)
		req.Header.Set("X-Pimentohinge-Attempt-Id", fmt.Sprintf("%s-%d", attempt, i))
		req.Header.Set("X-Pimentohinge-Deadline-Ms", "3000")
		resp, err := client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(ordinaryPause)
	}
	return false
}

// eventually reports whether a condition is true in one of ordinaryAttempts attempts.
func eventually(condition func() bool) bool {
	for range ordinaryAttempts {
		if condition() {
			return true
		}
		time.Sleep(ordinaryPause)
	}
	return false
}

func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "pimentohinge")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "../../cmd/pimentohinge").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// crowds are the crowds that meet a process, each a new one.
var crowds = []struct {
	name, shape string
	held        bool
}{
	{"distinct-held", "distinct", true},
	{"distinct-sent", "distinct", false},
	{"repeated-held", "repeated", true},
	{"repeated-sent", "repeated", false},
	{"folded-held", "folded", true},
	{"folded-sent", "folded", false},
}

// checkCrowds lets each crowd meet a process that may use a number of descriptors.
func checkCrowds(t *testing.T, descriptors int) {
	program := build(t)
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			v := startVM(t, program, descriptors)
			end := crowd(shapes[c.shape], c.held)
			defer end()
			if !ordinaryRequest("ordinary-" + c.name) {
				t.Error("an ordinary request got no response of a server")
			}
			v.checkAndKill(limits{memoryMb, descriptors})
		})
	}
}

// TestHeadFlood guards against callers whose heads take a process beyond the memory or the
// descriptors of its machine.
func TestHeadFlood(t *testing.T) { checkCrowds(t, maxDescriptors) }

// TestHeadFloodWithManyDescriptors leaves room for all connections, so that only the memory for
// heads is short.
func TestHeadFloodWithManyDescriptors(t *testing.T) { checkCrowds(t, manyDescriptors) }

// TestLargestHeadIsServedInCalm sends one request whose head has as many lines as fit into the
// limit of the configuration.
func TestLargestHeadIsServedInCalm(t *testing.T) {
	startVM(t, build(t), maxDescriptors)
	for name, line := range shapes {
		conn, err := net.Dial("tcp", callers)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := conn.Write(append(flood("calm-"+name, line), "\r\n"...)); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		got := make([]byte, 12)
		if _, err := io.ReadFull(conn, got); err != nil || string(got) != "HTTP/1.1 200" {
			t.Errorf("%s: got %q, %v", name, got, err)
		}
	}
}
