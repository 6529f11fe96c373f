package settings

import (
	"net"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"
)

// Limits of valid values.
const (
	minPeerKeyBytes     = 16
	minOperatorKeyBytes = 8
	maxBodyBytes        = 64 << 20
	maxRetryPercent     = 100
	maxQueueLength      = 1_000_000
	maxWaitMs           = 3_600_000
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// VM is the name and location of an entry VM.
type VM struct {
	// Name is unique among all entry VMs.
	Name string `json:"name"`
	// Region is the name of the region.
	Region string `json:"region"`
	// DataCentre is the name of the data centre, unique among all regions.
	DataCentre string `json:"dataCentre"`
}

func (v VM) check(problems *problemCollector) {
	checkName(problems, "vm.name", v.Name)
	checkName(problems, "vm.region", v.Region)
	checkName(problems, "vm.dataCentre", v.DataCentre)
}

// Listen holds the listen addresses of one VM. Each consists of an IP and a port.
type Listen struct {
	// Callers is the address for callers.
	Callers string `json:"callers"`
	// Peers is the address for other entry VMs.
	Peers string `json:"peers"`
	// Operators is the address for operators, metrics and health checks.
	Operators string `json:"operators"`
	// AllowPlain permits listening without TLS on addresses that are not loopback.
	AllowPlain bool `json:"allowPlain"`
}

func (l Listen) check(problems *problemCollector, tls TLS) {
	for _, endpoint := range []struct{ key, addr, needs, has string }{
		{"listen.callers", l.Callers, "tls.certificate", tls.Certificate},
		{"listen.peers", l.Peers, "tls.peerCa", tls.PeerCA},
		{"listen.operators", l.Operators, "tls.certificate", tls.Certificate},
	} {
		ap, ok := checkIPPort(problems, endpoint.key, endpoint.addr)
		if ok && endpoint.has == "" && !l.AllowPlain && !ap.Addr().IsLoopback() {
			problems.add(endpoint.key, "%s is not loopback: set %s, or listen.allowPlain to true", endpoint.addr, endpoint.needs)
		}
	}
	if l.Callers != "" && (l.Callers == l.Peers || l.Callers == l.Operators) {
		problems.add("listen.callers", "must differ from the other two addresses")
	}
	if l.Peers != "" && l.Peers == l.Operators {
		problems.add("listen.peers", "must differ from listen.operators")
	}
}

// Platform holds the address of the platform's object service.
type Platform struct {
	// Address is an http or https URL without a path.
	Address string `json:"address"`
}

func (p Platform) check(problems *problemCollector) {
	if p.Address == "" {
		problems.add("platform.address", "is missing; give a URL such as http://127.0.0.1:7100")
		return
	}
	u, err := url.Parse(p.Address)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		problems.add("platform.address", "%q is not an http or https URL", p.Address)
	}
}

// Peers configures the links between entry VMs and failure detection.
type Peers struct {
	// Key authenticates entry VMs to each other. It is the same on all of them.
	Key string `json:"key"`
	// Seeds are peer addresses that are tried when the platform's list of VMs is not
	// available.
	Seeds []string `json:"seeds"`
	// ProbeIntervalMs is the interval between liveness probes in milliseconds.
	ProbeIntervalMs int `json:"probeIntervalMs"`
	// SuspicionMs is how long a VM that does not respond stays suspect before it is
	// considered failed, in milliseconds.
	SuspicionMs int `json:"suspicionMs"`
}

func defaultPeers() Peers { return Peers{ProbeIntervalMs: 500, SuspicionMs: 2000} }

func (p Peers) check(problems *problemCollector) {
	if len(p.Key) < minPeerKeyBytes {
		problems.add("peers.key", "must have at least %d bytes", minPeerKeyBytes)
	}
	for _, s := range p.Seeds {
		checkIPPort(problems, "peers.seeds", s)
	}
	checkRange(problems, "peers.probeIntervalMs", p.ProbeIntervalMs, 10, 60_000)
	checkRange(problems, "peers.suspicionMs", p.SuspicionMs, p.ProbeIntervalMs, 600_000)
}

// Callers limits requests of callers and the waiting for engines.
type Callers struct {
	// BodyBytes is the largest accepted request body in bytes.
	BodyBytes int `json:"bodyBytes"`
	// QueueLength is the largest number of requests on this VM that wait for an engine.
	QueueLength int `json:"queueLength"`
	// WaitMs is the longest wait for an engine in milliseconds.
	WaitMs int `json:"waitMs"`
	// TokenDeadlineMs is how long an engine may send no data before its link counts
	// as stalled, in milliseconds.
	TokenDeadlineMs int `json:"tokenDeadlineMs"`
	// DrainMs is the longest wait for open requests when the VM stops, in
	// milliseconds; 0 means no limit.
	DrainMs int `json:"drainMs"`
	// NotReadyMs is how long a stopping VM still accepts requests, so that the load
	// balancer can remove it, in milliseconds.
	NotReadyMs int `json:"notReadyMs"`
}

func defaultCallers() Callers {
	return Callers{
		BodyBytes: 1 << 20, QueueLength: 1000, WaitMs: 30_000,
		TokenDeadlineMs: 2000, NotReadyMs: 2000,
	}
}

func (l Callers) check(problems *problemCollector) {
	checkRange(problems, "callers.bodyBytes", l.BodyBytes, 1, maxBodyBytes)
	checkRange(problems, "callers.queueLength", l.QueueLength, 0, maxQueueLength)
	checkRange(problems, "callers.waitMs", l.WaitMs, 1, maxWaitMs)
	checkRange(problems, "callers.tokenDeadlineMs", l.TokenDeadlineMs, 10, maxWaitMs)
	checkRange(problems, "callers.drainMs", l.DrainMs, 0, 24*maxWaitMs)
	checkRange(problems, "callers.notReadyMs", l.NotReadyMs, 0, maxWaitMs)
}

// Operators lists the operators, who may change the configuration.
type Operators struct {
	// Keys are the operators' bearer keys.
	Keys []OperatorKey `json:"keys"`
}

// OperatorKey is the name and key of one operator.
type OperatorKey struct {
	// Name is recorded with each change.
	Name string `json:"name"`
	// Key is the bearer key.
	Key string `json:"key"`
}

func (o Operators) check(problems *problemCollector) {
	if len(o.Keys) == 0 {
		problems.add("operators.keys", "is missing; give at least one operator's name and key")
	}
	for _, k := range o.Keys {
		if k.Name == "" {
			problems.add("operators.keys.name", "is missing")
		}
		if len(k.Key) < minOperatorKeyBytes {
			problems.add("operators.keys.key", "must have at least %d bytes", minOperatorKeyBytes)
		}
	}
}

// Values of Policy.Objective.
const (
	ObjectiveStall       = "stall"
	ObjectivePreemptions = "preemptions"
)

// Policy holds the admission objective and the retry budget.
type Policy struct {
	// Objective is the measure that weighs more in admission: stall or preemptions.
	Objective string `json:"objective"`
	// RetryPercent limits retries to a percentage of first attempts.
	RetryPercent int `json:"retryPercent"`
}

func defaultPolicy() Policy { return Policy{Objective: ObjectiveStall, RetryPercent: 10} }

func (p Policy) check(problems *problemCollector) {
	if p.Objective != ObjectiveStall && p.Objective != ObjectivePreemptions {
		problems.add("policy.objective", "%q must be %s or %s", p.Objective, ObjectiveStall, ObjectivePreemptions)
	}
	checkRange(problems, "policy.retryPercent", p.RetryPercent, 0, maxRetryPercent)
}

// TLS holds paths of PEM files. Certificate and Key are both set or both empty;
// PeerCA may be set only with them.
type TLS struct {
	// Certificate is the path of this VM's certificate.
	Certificate string `json:"certificate"`
	// Key is the path of the certificate's private key.
	Key string `json:"key"`
	// PeerCA, when set, is the path of the CA certificate for mutual TLS on peer
	// links: both sides must present a certificate that this CA signed.
	PeerCA string `json:"peerCa"`
}

func (t TLS) check(problems *problemCollector) {
	if (t.Certificate == "") != (t.Key == "") {
		problems.add("tls", "certificate and key must be given together")
	}
	if t.PeerCA != "" && t.Certificate == "" {
		problems.add("tls.peerCa", "needs tls.certificate and tls.key")
	}
	for _, f := range []struct{ key, path string }{
		{"tls.certificate", t.Certificate},
		{"tls.key", t.Key},
		{"tls.peerCa", t.PeerCA},
	} {
		if f.path == "" {
			continue
		}
		if _, err := os.Stat(f.path); err != nil {
			problems.add(f.key, "cannot be read: %v", err)
		}
	}
}

// Log holds the log level.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string `json:"level"`
}

func defaultLog() Log { return Log{Level: "info"} }

func (l Log) check(problems *problemCollector) {
	levels := []string{"debug", "info", "warn", "error"}
	if !slices.Contains(levels, l.Level) {
		problems.add("log.level", "%q must be one of %s", l.Level, strings.Join(levels, ", "))
	}
}

func checkName(problems *problemCollector, key, name string) {
	if name == "" {
		problems.add(key, "is missing")
		return
	}
	if !namePattern.MatchString(name) {
		problems.add(key, "%q must consist of at most 63 lower-case letters, digits, dots and hyphens", name)
	}
}

func checkRange(problems *problemCollector, key string, value, low, high int) {
	if value < low || value > high {
		problems.add(key, "%d must be from %d to %d", value, low, high)
	}
}

func checkIPPort(problems *problemCollector, key, addr string) (netip.AddrPort, bool) {
	if addr == "" {
		problems.add(key, "is missing; give an IP address and a port such as 127.0.0.1:7001")
		return netip.AddrPort{}, false
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		problems.add(key, "%q is not an address: %v", addr, err)
		return netip.AddrPort{}, false
	}
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		problems.add(key, "%q is not an IP address and a port", addr)
		return netip.AddrPort{}, false
	}
	return ap, true
}
