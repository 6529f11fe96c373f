// Package headflood_test runs the gateway as a process before callers that send request heads
// of legal size made of very many lines.
package headflood_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
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
)

type object = map[string]any

// vm is a gateway process.
type vm struct {
	t      *testing.T
	cmd    *exec.Cmd
	exited chan struct{}
	// descriptors is the largest number of open descriptors that watch has seen.
	descriptors int
	watched     chan struct{}
}

// startVM starts a store, a plain server and one gateway process, which end with the test.
func startVM(t *testing.T, program string, descriptors int) *vm {
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
		}},
		"services": []object{{"name": "plain", "maxConns": 96}},
		"tenants":  []object{{"name": "flood", "apiKeys": []string{apiKey}}},
		"limits":   object{"headerBytes": 16_384, "bodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
	})
	replica, err := upstream.NewCluster().Start(upstream.Options{ID: "p-1", Address: serverAddr, Network: network.TCP{}, ServiceTime: 15 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(replica.Stop)
	s.Set("servers/p-1", object{
		"service": "plain", "addr": serverAddr, "zone": "dc-a", "version": "v1", "slots": 24, "state": "ready", "coldLeftMs": 0, "seq": 1,
	})
	settings, err := json.Marshal(object{
		"vm":     object{"name": "vm-1", "region": "region-a", "dataCentre": "dc-a"},
		"listen": object{"callers": callers, "ready": ready, "peers": peers},
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
	v := &vm{t: t, cmd: exec.Command(program, "gateway", "--settings", file), exited: make(chan struct{}), watched: make(chan struct{})}
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	v.cmd.Stdout, v.cmd.Stderr = io.Discard, os.Stderr
	if err := v.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = v.cmd.Wait()
		close(v.exited)
	}()
	go v.watch()
	t.Cleanup(func() {
		_ = v.cmd.Process.Kill()
		<-v.exited
		<-v.watched
	})
	for !v.isReady() {
		select {
		case <-v.exited:
			t.Fatal("the process ended at its start")
		case <-time.After(20 * time.Millisecond):
		}
	}
	return v
}

// watch records the open descriptors until the process ends.
func (v *vm) watch() {
	defer close(v.watched)
	for {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.cmd.Process.Pid))
		if err == nil {
			v.descriptors = max(v.descriptors, len(entries))
		}
		select {
		case <-v.exited:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// peakMemoryMb returns the largest resident size of the process so far.
func (v *vm) peakMemoryMb() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		v.t.Fatal(err)
	}
	for line := range bytes.Lines(status) {
		if value, ok := bytes.CutPrefix(line, []byte("VmHWM:")); ok {
			kb, _ := strconv.Atoi(string(bytes.TrimSuffix(bytes.TrimSpace(value), []byte(" kB"))))
			return kb >> 10
		}
	}
	v.t.Fatal("the process has no peak of its memory")
	return 0
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
			select {
			case <-v.exited:
				t.Fatal("the process has ended")
			default:
			}
			peak := v.peakMemoryMb()
			_ = v.cmd.Process.Kill()
			<-v.watched
			t.Logf("peak memory %d MB of %d, %d descriptors of %d", peak, memoryMb, v.descriptors, descriptors)
			if peak > memoryMb {
				t.Errorf("the process took %d MB, its machine has %d", peak, memoryMb)
			}
			if v.descriptors > descriptors {
				t.Errorf("the process had %d descriptors open, its machine has %d", v.descriptors, descriptors)
			}
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
