// Package lab holds what the cases of the review share: the record, the processes of the
// gateway command, and stand-ins for the platform's store, replicas and callers. All
// addresses are loopback addresses.
package lab

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// maxTime is the longest time of a case.
const maxTime = 110 * time.Second

// Host is the host of all routes, and Key the API key of Workspace.
const (
	Host      = "ficu95.example"
	Key       = "xd9dnn2ctnfzs989anu6"
	Workspace = "huka270"
)

// DataCentre and Region are the location of the entry VM and of all replicas.
const (
	DataCentre = "leam-a"
	Region     = "warks"
)

// Lab is one run of a case. It is safe for concurrent use.
type Lab struct {
	// Trouble is set unless TROUBLE=0: the case then applies its disruption.
	Trouble bool

	dir     string
	temp    string
	started time.Time

	mu       sync.Mutex
	record   *os.File
	gateways []*Gateway
}

// New returns the lab of the case in the folder that is the first argument. It ends the
// process with ExitNotRun if the folder cannot be written.
func New() *Lab {
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		os.Exit(ExitNotRun)
	}
	l.dir = os.Args[1]
	var err error
	if l.record, err = os.Create(filepath.Join(l.dir, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	if l.temp, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		l.Exit(ExitNotRun, "interrupted")
	}()
	time.AfterFunc(maxTime, func() { l.Exit(ExitNotRun, "did not end within %v", maxTime) })
	l.Notef("trouble=%v", l.Trouble)
	return l
}

// Notef writes one line to the record.
func (l *Lab) Notef(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// Exit ends all gateways and then this process. The reason goes to the record and to
// standard output.
func (l *Lab) Exit(code int, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	l.Notef("result code=%d %s", code, reason)
	fmt.Printf("%s: exit %d: %s\n", l.dir, code, reason)
	l.mu.Lock()
	gateways := l.gateways
	l.mu.Unlock()
	for _, g := range gateways {
		g.Kill()
	}
	_ = os.RemoveAll(l.temp)
	os.Exit(code)
}

// Must ends the case with ExitNotRun if err is not nil.
func (l *Lab) Must(err error) {
	if err != nil {
		l.Exit(ExitNotRun, "could not run: %v", err)
	}
}

// Listen opens a listener on a free port of 127.0.0.1.
func (l *Lab) Listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.Must(err)
	return ln
}

// Gateway is one process of the gateway command.
type Gateway struct {
	// Callers, Ready and Peers are its addresses.
	Callers, Ready, Peers string
	// Exited is closed when the process has ended.
	Exited chan struct{}

	cmd *exec.Cmd
}

// StartGateway starts the program of the deploy file with settings from its template, and
// waits until it is ready.
func (l *Lab) StartGateway(name, storeAddress string) *Gateway {
	ip, ports := l.freeAddresses()
	g := &Gateway{
		Callers: fmt.Sprintf("%s:%d", ip, ports[0]), Ready: fmt.Sprintf("%s:%d", ip, ports[1]),
		Peers: fmt.Sprintf("%s:%d", ip, ports[2]), Exited: make(chan struct{}),
	}
	settings := filepath.Join(l.temp, name+".json")
	l.Must(os.WriteFile(settings, l.renderSettings(name, ip, ports, storeAddress), 0o600))
	deploy, err := os.ReadFile("deploy/system.toml")
	l.Must(err)
	run := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(deploy)
	if run == nil {
		l.Exit(ExitNotRun, "deploy/system.toml has no run line")
	}
	words := strings.Fields(string(run[1]))
	g.cmd = exec.Command(words[0], words[1:]...)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "PIMENTOHINGE_BOOT=" + settings}
	output, err := os.Create(filepath.Join(l.temp, name+".log"))
	l.Must(err)
	g.cmd.Stdout, g.cmd.Stderr = output, output
	l.Must(g.cmd.Start())
	go func() {
		_ = g.cmd.Wait()
		close(g.Exited)
	}()
	l.mu.Lock()
	l.gateways = append(l.gateways, g)
	l.mu.Unlock()
	l.Notef("gateway %s started callers=%s", name, g.Callers)
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if g.IsReady() {
			l.Notef("gateway %s ready", name)
			return g
		}
	}
	l.Exit(ExitNotRun, "gateway %s did not become ready", name)
	return nil
}

// IsReady asks the readiness probe, as the platform does.
func (g *Gateway) IsReady() bool {
	status, _, err := Get(g.Ready, "/v1/ready")
	return err == nil && status == 200
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(sig os.Signal) { _ = g.cmd.Process.Signal(sig) }

// Kill ends the process at once, if it still runs.
func (g *Gateway) Kill() {
	select {
	case <-g.Exited:
	default:
		_ = g.cmd.Process.Kill()
		<-g.Exited
	}
}

// metricsPort is the port that the template names for metrics.
const metricsPort = 9464

// freeAddresses returns a loopback IP on which the metrics port is free, and three free
// ports there.
func (l *Lab) freeAddresses() (string, [3]int) {
	for try := range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
		if try == 99 {
			ip = "127.0.0.1"
		}
		metrics, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, metricsPort))
		if err != nil {
			continue
		}
		var ports [3]int
		var open []net.Listener
		for i := range ports {
			ln, err := net.Listen("tcp", ip+":0")
			l.Must(err)
			open = append(open, ln)
			ports[i] = ln.Addr().(*net.TCPAddr).Port
		}
		for _, ln := range append(open, metrics) {
			_ = ln.Close()
		}
		return ip, ports
	}
	l.Exit(ExitNotRun, "no free loopback address")
	return "", [3]int{}
}

// renderSettings fills the template of the deploy file with the figures of the site
// harbottle-tags.
func (l *Lab) renderSettings(name, ip string, ports [3]int, storeAddress string) []byte {
	fields := map[string]any{
		"node": name, "region": Region, "zone": DataCentre, "ip": ip,
		"listen.front": fmt.Sprintf("%s:%d", ip, ports[0]), "listen.ready": fmt.Sprintf("%s:%d", ip, ports[1]),
		"portRange.0": ports[2], "platform.addr": storeAddress, "limits.memoryMb": 134,
		"zones":         map[string]string{"walsall-a": "black-country", "derby-a": "east-mids", DataCentre: Region},
		"bounds.graceS": 8, "bounds.configApplyMs": 3000, "bounds.drainMs": 3000,
		"bounds.retryRatio": 0.2, "bounds.retrySlack": 52, "bounds.retryWindowS": 10,
	}
	template, err := os.ReadFile("deploy/settings.json")
	l.Must(err)
	return regexp.MustCompile(`\{\{([A-Za-z0-9.]+)(\|json)?\}\}`).ReplaceAllFunc(template, func(placeholder []byte) []byte {
		key, asJSON := strings.CutSuffix(strings.Trim(string(placeholder), "{}"), "|json")
		value, known := fields[key]
		if !known {
			l.Exit(ExitNotRun, "unknown placeholder %s in the template", placeholder)
		}
		if !asJSON {
			return []byte(fmt.Sprint(value))
		}
		b, err := json.Marshal(value)
		l.Must(err)
		return b
	})
}
