package settings

import (
	"maps"
	"os"
	"slices"
)

// Gateway is the content of the settings file of an entry VM that runs the gateway
// command, on the users' platform.
type Gateway struct {
	// VM is the name and location of this entry VM.
	VM VM `json:"vm"`
	// Listen holds the listen addresses of this VM.
	Listen GatewayListen `json:"listen"`
	// Store holds the address of the platform's object store.
	Store Store `json:"store"`
	// DataCentres maps the name of each data centre to that of its region.
	DataCentres map[string]string `json:"dataCentres"`
	// Bounds holds the time and retry limits of the deployment.
	Bounds Bounds `json:"bounds"`
	// MemoryMb is the memory available to the process in megabytes.
	MemoryMb int `json:"memoryMb"`
	// MaxDescriptors is the number of descriptors available to the process; 0 means that only the
	// memory limits connections.
	MaxDescriptors int `json:"maxDescriptors"`
	// Log holds the log level.
	Log Log `json:"log"`
}

// GatewayListen holds the listen addresses of one VM. Each consists of an IP and a
// port.
type GatewayListen struct {
	// Callers is the address for callers.
	Callers string `json:"callers"`
	// Ready is the address for readiness probes and metrics.
	Ready string `json:"ready"`
	// Peers is the address for other entry VMs.
	Peers string `json:"peers"`
	// Metrics is an additional address for metrics in text format; empty means that
	// metrics are served only at Ready.
	Metrics string `json:"metrics"`
}

func (l GatewayListen) check(problems *problemCollector) {
	checkIPPort(problems, "listen.callers", l.Callers)
	checkIPPort(problems, "listen.ready", l.Ready)
	checkIPPort(problems, "listen.peers", l.Peers)
	if l.Metrics != "" {
		checkIPPort(problems, "listen.metrics", l.Metrics)
	}
	if l.Callers != "" && l.Callers == l.Ready {
		problems.add("listen.ready", "must differ from listen.callers")
	}
	if l.Peers != "" && (l.Peers == l.Callers || l.Peers == l.Ready) {
		problems.add("listen.peers", "must differ from the other two addresses")
	}
}

// Store holds the address of the platform's object store.
type Store struct {
	// Address consists of an IP and a port.
	Address string `json:"address"`
}

// Bounds holds the time and retry limits of a deployment.
type Bounds struct {
	// GraceS is the time from the stop signal until the process is killed, in
	// seconds.
	GraceS float64 `json:"graceS"`
	// ConfigMs is the time within which a change of the configuration must take
	// effect, and DrainMs that for the notice of a leaving server, in milliseconds.
	ConfigMs int `json:"configMs"`
	DrainMs  int `json:"drainMs"`
	// RetryRatio and RetrySlack limit the retries that all VMs together send to a
	// service in each window of RetryWindowS seconds: RetryRatio times the number
	// of requests, plus RetrySlack.
	RetryRatio   float64 `json:"retryRatio"`
	RetrySlack   float64 `json:"retrySlack"`
	RetryWindowS float64 `json:"retryWindowS"`
	// EvacuationMs is the time within which the evacuation of a data centre must take effect, in
	// milliseconds; 0 means that data centres are not evacuated.
	EvacuationMs int `json:"evacuationMs"`
	// ColdRatio, when not 0, says that a server which has just started may get at most about
	// ColdRatio times the requests that its service bears. The VMs together send it no more than
	// it bears; the rest is for VMs that do not know each other yet.
	ColdRatio float64 `json:"coldRatio"`
}

const (
	maxGraceS       = 600
	maxRetryWindowS = 600
	minMemoryMb     = 16
	maxMemoryMb     = 1 << 20
	minDescriptors  = 216
	maxDescriptors  = 1 << 24
	minBoundMs      = 500
	maxBoundMs      = 600_000
)

func (b Bounds) check(problems *problemCollector) {
	if b.GraceS < 0 || b.GraceS > maxGraceS {
		problems.add("bounds.graceS", "%g must be from 0 to %d", b.GraceS, maxGraceS)
	}
	checkRange(problems, "bounds.configMs", b.ConfigMs, minBoundMs, maxBoundMs)
	checkRange(problems, "bounds.drainMs", b.DrainMs, minBoundMs, maxBoundMs)
	if b.RetryRatio < 0 || b.RetryRatio > 1 {
		problems.add("bounds.retryRatio", "%g must be from 0 to 1", b.RetryRatio)
	}
	if b.RetrySlack < 0 {
		problems.add("bounds.retrySlack", "%g must not be negative", b.RetrySlack)
	}
	if b.EvacuationMs != 0 {
		checkRange(problems, "bounds.evacuationMs", b.EvacuationMs, minBoundMs, maxBoundMs)
	}
	if b.ColdRatio != 0 && !(b.ColdRatio >= 1) {
		problems.add("bounds.coldRatio", "%g must be 0 or at least 1", b.ColdRatio)
	}
	if b.RetryWindowS <= 0 || b.RetryWindowS > maxRetryWindowS {
		problems.add("bounds.retryWindowS", "%g must be above 0 and at most %d", b.RetryWindowS, maxRetryWindowS)
	}
}

// Regions returns the names of the regions, sorted.
func (g Gateway) Regions() []string {
	return slices.Compact(slices.Sorted(maps.Values(g.DataCentres)))
}

// ParseGateway decodes and validates settings. The error is a *Problems that lists
// every problem; file is used only in its text.
func ParseGateway(file string, data []byte) (Gateway, error) {
	config := Gateway{Log: defaultLog()}
	problems := &problemCollector{}
	decodeObject(data, &config, problems)
	config.VM.check(problems)
	config.Listen.check(problems)
	checkIPPort(problems, "store.address", config.Store.Address)
	for _, name := range slices.Sorted(maps.Keys(config.DataCentres)) {
		checkName(problems, "dataCentres", name)
		checkName(problems, "dataCentres."+name, config.DataCentres[name])
	}
	config.Bounds.check(problems)
	checkRange(problems, "memoryMb", config.MemoryMb, minMemoryMb, maxMemoryMb)
	checkDescriptors(problems, config.MaxDescriptors)
	config.Log.check(problems)
	if len(problems.list) > 0 {
		return Gateway{}, &Problems{File: file, List: firstPerKey(problems.list)}
	}
	return config, nil
}

// checkDescriptors checks a number of descriptors, unless it is 0.
func checkDescriptors(problems *problemCollector, descriptors int) {
	if descriptors != 0 {
		checkRange(problems, "maxDescriptors", descriptors, minDescriptors, maxDescriptors)
	}
}

// LoadGateway reads and parses the file at path.
func LoadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, &Problems{File: path, List: []Problem{{Reason: err.Error()}}}
	}
	return ParseGateway(path, data)
}
