package settings

import (
	"maps"
	"os"
	"slices"
)

// Gateway is everything that an entry VM on the users' platform learns from
// its settings.
type Gateway struct {
	// VM names this entry VM and where it stands.
	VM VM `json:"vm"`
	// Listen holds the addresses of this VM.
	Listen GatewayListen `json:"listen"`
	// Store locates the platform's store.
	Store Store `json:"store"`
	// DataCentres names the region of each data centre.
	DataCentres map[string]string `json:"dataCentres"`
	// Bounds are the deployment's bounds.
	Bounds Bounds `json:"bounds"`
	// MemoryMb is the memory of the process in megabytes.
	MemoryMb int `json:"memoryMb"`
	// Log selects the log level.
	Log Log `json:"log"`
}

// GatewayListen holds the addresses of one VM, each an IP and a port.
type GatewayListen struct {
	// Callers is where callers connect.
	Callers string `json:"callers"`
	// Ready is where readiness and metrics are asked for.
	Ready string `json:"ready"`
	// Peers is where other entry VMs connect.
	Peers string `json:"peers"`
	// Metrics is where metrics are served as text; empty for nowhere else than
	// at Ready.
	Metrics string `json:"metrics"`
}

func (l GatewayListen) check(c *problemCollector) {
	checkIPPort(c, "listen.callers", l.Callers)
	checkIPPort(c, "listen.ready", l.Ready)
	checkIPPort(c, "listen.peers", l.Peers)
	if l.Metrics != "" {
		checkIPPort(c, "listen.metrics", l.Metrics)
	}
	if l.Callers != "" && l.Callers == l.Ready {
		c.add("listen.ready", "must differ from listen.callers")
	}
	if l.Peers != "" && (l.Peers == l.Callers || l.Peers == l.Ready) {
		c.add("listen.peers", "must differ from the other two addresses")
	}
}

// Store locates the platform's store.
type Store struct {
	// Address is an IP and a port.
	Address string `json:"address"`
}

// Bounds are the bounds of a deployment that this VM keeps.
type Bounds struct {
	// GraceS is the time from a stop signal to the kill, in seconds.
	GraceS float64 `json:"graceS"`
	// ConfigMs and DrainMs are the times in which a change of the configuration
	// and the notice of a leaving server must be in force, in milliseconds.
	ConfigMs int `json:"configMs"`
	DrainMs  int `json:"drainMs"`
	// RetryRatio and RetrySlack bound the repeats to a service by all VMs in
	// each window of RetryWindowS seconds: a share of the requests, and more.
	RetryRatio   float64 `json:"retryRatio"`
	RetrySlack   float64 `json:"retrySlack"`
	RetryWindowS float64 `json:"retryWindowS"`
}

const (
	maxGraceS       = 600
	maxRetryWindowS = 600
	minMemoryMb     = 16
	maxMemoryMb     = 1 << 20
	minBoundMs      = 500
	maxBoundMs      = 600_000
)

func (b Bounds) check(c *problemCollector) {
	if b.GraceS < 0 || b.GraceS > maxGraceS {
		c.add("bounds.graceS", "%g must be from 0 to %d", b.GraceS, maxGraceS)
	}
	checkRange(c, "bounds.configMs", b.ConfigMs, minBoundMs, maxBoundMs)
	checkRange(c, "bounds.drainMs", b.DrainMs, minBoundMs, maxBoundMs)
	if b.RetryRatio < 0 || b.RetryRatio > 1 {
		c.add("bounds.retryRatio", "%g must be from 0 to 1", b.RetryRatio)
	}
	if b.RetrySlack < 0 {
		c.add("bounds.retrySlack", "%g must not be negative", b.RetrySlack)
	}
	if b.RetryWindowS <= 0 || b.RetryWindowS > maxRetryWindowS {
		c.add("bounds.retryWindowS", "%g must be above 0 and at most %d", b.RetryWindowS, maxRetryWindowS)
	}
}

// ParseGateway checks data and returns the settings. The error is a *Problems
// that lists every fault; file is used only in its text.
func ParseGateway(file string, data []byte) (Gateway, error) {
	g := Gateway{Log: defaultLog()}
	c := &problemCollector{}
	decodeObject(data, &g, c)
	g.VM.check(c)
	g.Listen.check(c)
	checkIPPort(c, "store.address", g.Store.Address)
	for _, name := range slices.Sorted(maps.Keys(g.DataCentres)) {
		checkName(c, "dataCentres", name)
		checkName(c, "dataCentres."+name, g.DataCentres[name])
	}
	g.Bounds.check(c)
	checkRange(c, "memoryMb", g.MemoryMb, minMemoryMb, maxMemoryMb)
	g.Log.check(c)
	if len(c.problems) > 0 {
		return Gateway{}, &Problems{File: file, List: firstPerKey(c.problems)}
	}
	return g, nil
}

// LoadGateway reads and parses the file at path.
func LoadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, &Problems{File: path, List: []Problem{{Reason: err.Error()}}}
	}
	return ParseGateway(path, data)
}
