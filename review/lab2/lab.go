// Command lab2 plays the scripts of the second review: it starts the gateway as separate
// processes before small stand-ins of the store, of replicas and of clients, all on loopback
// addresses, and judges what the stand-ins have seen.
//
//	lab2 SCENARIO
//
// It writes record.txt into the current folder and exits with 1 if the rule was broken, 0 if it
// held and 2 if the scenario could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// scenarios maps the name of each scenario to its function, which reports whether the rule held.
var scenarios = map[string]func(*lab) (held bool, err error){
	"withdrawn":  withdrawn,
	"latenotice": lateNotice,
	"cutwatch":   cutWatch,
	"homes":      homes,
	"lostanswer": lostAnswer,
}

func main() {
	if len(os.Args) != 2 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 SCENARIO")
		os.Exit(exitFailed)
	}
	os.Exit(play(scenarios[os.Args[1]]))
}

func play(scenario func(*lab) (bool, error)) int {
	l, err := newLab()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer l.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		l.note("could not run: stopped by a signal")
		l.close()
		os.Exit(exitFailed)
	}()
	held, err := scenario(l)
	switch {
	case err != nil:
		l.note("could not run: %v", err)
		return exitFailed
	case held:
		l.note("result: the rule held")
		return exitHeld
	}
	l.note("result: the rule was broken")
	return exitBroken
}

// lab is the surroundings of one scenario.
type lab struct {
	began   time.Time
	trouble bool
	program string
	folder  string
	store   *store

	mu       sync.Mutex
	record   *os.File
	gateways []*gateway
	closers  []func()
	closed   sync.Once
	// given holds the addresses that processes listen on, or will.
	given map[string]bool
}

func newLab() (*lab, error) {
	program, err := filepath.Abs(os.Getenv("LAB_PROGRAM"))
	if err != nil || os.Getenv("LAB_PROGRAM") == "" {
		return nil, errors.New("LAB_PROGRAM does not name the program")
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	record, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		return nil, err
	}
	l := &lab{began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", program: program, folder: folder, record: record, given: map[string]bool{}}
	l.note("trouble: %v", l.trouble)
	return l, nil
}

// note writes a line of the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(l.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = l.record.WriteString(line)
	fmt.Print(line)
}

func (l *lab) onClose(f func()) { l.closers = append(l.closers, f) }

// close ends all processes and stand-ins, once.
func (l *lab) close() {
	l.closed.Do(func() {
		for _, g := range l.gateways {
			g.kill()
		}
		for _, f := range l.closers {
			f()
		}
		_ = l.record.Close()
		if os.Getenv("LAB_KEEP") == "" {
			_ = os.RemoveAll(l.folder)
		}
	})
}

// loopback is a loopback address of this run: runs beside each other do not take each other's ports,
// nor do outgoing connections, which come from 127.0.0.1.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))

// listen opens a listener at a free loopback port.
func listen() (net.Listener, error) { return net.Listen("tcp", loopback+":0") }

// freeAddress returns a loopback address at which nothing listens, each only once.
func (l *lab) freeAddress() (string, error) {
	for {
		ln, err := listen()
		if err != nil {
			return "", err
		}
		address := ln.Addr().String()
		_ = ln.Close()
		if !l.given[address] {
			l.given[address] = true
			return address, nil
		}
	}
}

// bounds are the figures of the small deployments' sheet.
var bounds = map[string]any{
	"graceS": 8, "configMs": configApplyMs, "drainMs": drainMs, "retryRatio": 0.2, "retrySlack": 54, "retryWindowS": 10,
}

const (
	configApplyMs = 3000
	drainMs       = 3000
	contactMs     = 4000
)

// gateway is one process of the role that the deploy file names.
type gateway struct {
	name, callers, ready string
	lab                  *lab
	cmd                  *exec.Cmd
	log                  string

	mu sync.Mutex
	// killed is set when the lab itself ends the process.
	killed bool
	// exited is closed when the process has ended, with its state.
	exited chan struct{}
	state  string
}

// startGateway starts a machine's process with the settings that the template of the deploy file
// gives.
func (l *lab) startGateway(name string) (*gateway, error) {
	var addresses [3]string
	for i := range addresses {
		address, err := l.freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	g := &gateway{
		name: name, lab: l, callers: addresses[0], ready: addresses[1], exited: make(chan struct{}),
		log: filepath.Join(l.folder, name+".log"),
	}
	settings := map[string]any{
		"vm":     map[string]string{"name": name, "region": regions[zone], "dataCentre": zone},
		"listen": map[string]string{"callers": g.callers, "ready": g.ready, "peers": addresses[2]},
		"store":  map[string]string{"address": l.store.address}, "memoryMb": 284, "maxDescriptors": 4100,
		"dataCentres": regions, "bounds": bounds,
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(l.folder, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(g.log)
	if err != nil {
		return nil, err
	}
	g.cmd = exec.Command(l.program, "gateway")
	g.cmd.Env = append(os.Environ(), "PIMENTOHINGE_BOOT="+file)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	l.gateways = append(l.gateways, g)
	go func() {
		_ = g.cmd.Wait()
		_ = out.Close()
		g.mu.Lock()
		g.state = g.cmd.ProcessState.String()
		killed := g.killed
		g.mu.Unlock()
		close(g.exited)
		if !killed {
			l.note("process of %s ended by itself: %s", name, g.state)
		}
	}()
	l.note("process of %s started, clients at %s", name, g.callers)
	return g, nil
}

func (g *gateway) signal(sig syscall.Signal) { _ = g.cmd.Process.Signal(sig) }

func (g *gateway) kill() {
	g.mu.Lock()
	g.killed = true
	g.mu.Unlock()
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGKILL)
	<-g.exited
}

// endedByItself reports whether the process has ended though the lab did not end it.
func (g *gateway) endedByItself() bool {
	select {
	case <-g.exited:
		g.mu.Lock()
		defer g.mu.Unlock()
		return !g.killed
	default:
		return false
	}
}

// lastWords returns why the process ended: the first line from "panic:" on and the functions of the
// stack.
func (g *gateway) lastWords() string {
	text, err := os.ReadFile(g.log)
	if err != nil {
		return err.Error()
	}
	_, stack, found := bytes.Cut(text, []byte("panic: "))
	if !found {
		return "no panic"
	}
	var words []string
	for line := range strings.Lines(string(stack)) {
		// Lines that begin with a tab name files of the machine that built the program.
		if line = strings.TrimRight(line, "\n"); line != "" && line[0] != '\t' && len(words) < maxWords {
			words = append(words, line)
		}
	}
	return strings.Join(words, "\n    ")
}

// maxWords is the number of lines of lastWords.
const maxWords = 8

// startLimit is how long the machines may take to be ready.
const startLimit = 10 * time.Second

// waitReady waits until the machines say that they are ready.
func (l *lab) waitReady() error {
	until := time.Now().Add(startLimit)
	for _, g := range l.gateways {
		for !isReady(g.ready) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	l.note("all machines are ready")
	// Traffic starts 10 s after the machines do.
	time.Sleep(10 * time.Second)
	return nil
}
