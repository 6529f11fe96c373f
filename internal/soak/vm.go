package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/sleep"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	callersPort = 8740
	readyPort   = 8749
	peersPort   = 7200
	vmMemoryMb  = 112
	// startTimeout bounds the wait until a VM is ready.
	startTimeout = 15 * time.Second
	// probeInterval is the interval of readiness probes; after maxMisses failed ones in a row
	// callers open no new connections to a VM.
	probeInterval = time.Second
	maxMisses     = 2
)

// vm is an entry VM and its process.
type vm struct {
	fleet    *fleet
	name     string
	callers  string
	ready    string
	settings string
	log      *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{} // closed when process has ended
	// expectEnd is set when the process was sent a signal that ends it.
	expectEnd bool
	// busy is set while a fault of the VM is in progress.
	busy bool
	// misses counts the failed readiness probes in a row.
	misses int
	// disturbed holds when the VM was frozen, killed, stopping or starting, and stops the
	// times of the signals for planned stops.
	disturbed intervals
	stops     []time.Time
	closed    bool
}

func (f *fleet) newVM(i int) (*vm, error) {
	host := i + 1
	v := &vm{
		fleet: f, name: "vm-" + strconv.Itoa(host),
		callers: f.address(groupVM, host, callersPort), ready: f.address(groupVM, host, readyPort),
	}
	settings, err := json.Marshal(object{
		"vm":     object{"name": v.name, "region": region, "dataCentre": dataCentre},
		"listen": object{"callers": v.callers, "ready": v.ready, "peers": f.address(groupVM, host, peersPort)},
		"store":  object{"address": f.address(groupStore, 1, storePort)}, "memoryMb": vmMemoryMb,
		"dataCentres": object{dataCentre: region, otherDataCentre: region},
		"bounds": object{
			"evacuationMs": f.evacuationMs(),
			"graceS":       gracePeriod.Seconds(), "configMs": drainBoundMs, "drainMs": drainBoundMs,
			"retryRatio": 0.2, "retrySlack": 52, "retryWindowS": 10,
		},
	})
	if err != nil {
		return nil, eris.Wrap(err, "encode settings")
	}
	v.settings = filepath.Join(f.opts.Dir, v.name+".json")
	if err := os.WriteFile(v.settings, settings, 0o600); err != nil {
		return nil, eris.Wrap(err, "write settings")
	}
	v.log, err = os.Create(filepath.Join(f.opts.Dir, v.name+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "create log")
	}
	go v.probe()
	return v, nil
}

// start starts the process.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return nil
	}
	cmd := exec.Command(v.fleet.opts.Program, "gateway", "--settings", v.settings)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", v.name)
	}
	v.process, v.exited, v.expectEnd = cmd, make(chan struct{}), false
	go v.awaitExit(cmd, v.exited)
	return nil
}

// awaitExit records a process that ends by itself as a violation.
func (v *vm) awaitExit(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	v.mu.Lock()
	unexpected := !v.expectEnd
	v.mu.Unlock()
	close(exited)
	if unexpected {
		v.fleet.violate(Violation{Rule: ruleExit, Attempt: v.name, Detail: fmt.Sprintf("the process ended by itself: %v", err)})
	}
}

// awaitReady waits until the VM is ready.
func (v *vm) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); {
		if v.isReady() {
			return nil
		}
		if !sleep.For(ctx, 20*time.Millisecond) {
			return ctx.Err()
		}
	}
	return eris.Errorf("%s did not become ready", v.name)
}

func (v *vm) isReady() bool {
	client := http.Client{Timeout: probeInterval}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + v.ready + platform.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// probe updates misses and the peak memory of all VMs until the VM is closed.
func (v *vm) probe() {
	for {
		time.Sleep(probeInterval)
		ready := v.isReady()
		v.mu.Lock()
		closed, process := v.closed, v.process
		v.misses++
		if ready {
			v.misses = 0
		}
		v.mu.Unlock()
		if closed {
			return
		}
		if process != nil {
			v.fleet.notePeakMemory(peakMemoryMb(process.Process.Pid))
		}
	}
}

// inRotation reports whether callers open new connections to the VM.
func (v *vm) inRotation() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.misses < maxMisses
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Process.Signal(s)
	}
}

// begin marks the VM as busy with a fault. It reports false if it is already.
func (v *vm) begin() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.busy || v.closed {
		return false
	}
	v.busy = true
	v.disturbed = append(v.disturbed, [2]time.Time{time.Now()})
	return true
}

func (v *vm) isBusy() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.busy
}

// finish marks the end of the fault.
func (v *vm) finish() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.busy = false
	v.disturbed[len(v.disturbed)-1][1] = time.Now()
}

// freeze suspends the process for a while.
func (v *vm) freeze(d time.Duration) {
	v.signal(syscall.SIGSTOP)
	time.Sleep(d)
	v.signal(syscall.SIGCONT)
	v.finish()
}

// restart ends the process with a signal and starts it again. A process that does not end
// within the grace period is killed.
func (v *vm) restart(s syscall.Signal, pause time.Duration) {
	v.mu.Lock()
	v.expectEnd = true
	exited := v.exited
	if s == syscall.SIGTERM {
		v.stops = append(v.stops, time.Now())
	}
	v.mu.Unlock()
	v.signal(s)
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		v.signal(syscall.SIGKILL)
		<-exited
		v.fleet.violate(Violation{Rule: ruleExit, Attempt: v.name, Detail: "the process did not end within its grace period"})
	}
	time.Sleep(pause)
	if err := v.start(); err == nil {
		_ = v.awaitReady(context.Background())
	}
	v.finish()
}

// end kills the process.
func (v *vm) end() {
	v.mu.Lock()
	v.closed, v.expectEnd = true, true
	process, exited := v.process, v.exited
	v.mu.Unlock()
	if process != nil {
		_ = process.Process.Signal(syscall.SIGKILL)
		<-exited
	}
	_ = v.log.Close()
}

// peakMemoryMb returns the largest resident size of a process so far, or 0.
func peakMemoryMb(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		if value, ok := bytes.CutPrefix(line, []byte("VmHWM:")); ok {
			kb, _ := strconv.Atoi(string(bytes.TrimSuffix(bytes.TrimSpace(value), []byte(" kB"))))
			return kb >> 10
		}
	}
	return 0
}

func (f *fleet) notePeakMemory(mb int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peakMemoryMb = max(f.peakMemoryMb, mb)
}
