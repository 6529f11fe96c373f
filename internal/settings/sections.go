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

// Limits of accepted values.
const (
	minPeerKeyBytes     = 16
	minOperatorKeyBytes = 8
	maxBodyBytes        = 64 << 20
	maxRetryPercent     = 100
	maxQueueLength      = 1_000_000
	maxWaitMs           = 3_600_000
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// VM names an entry VM.
type VM struct {
	// Name is unique among all entry VMs.
	Name string `json:"name"`
	// Region is the region's name.
	Region string `json:"region"`
	// DataCentre is the data centre's name, unique over all regions.
	DataCentre string `json:"dataCentre"`
}

func (v VM) check(c *problemCollector) {
	checkName(c, "vm.name", v.Name)
	checkName(c, "vm.region", v.Region)
	checkName(c, "vm.dataCentre", v.DataCentre)
}

// Listen holds the addresses of one VM, each an IP and a port.
type Listen struct {
	// Callers is where callers connect.
	Callers string `json:"callers"`
	// Peers is where other entry VMs connect.
	Peers string `json:"peers"`
	// Operators is where operators, metrics and health checks connect.
	Operators string `json:"operators"`
	// AllowPlain permits plain HTTP outside loopback.
	AllowPlain bool `json:"allowPlain"`
}

func (l Listen) check(c *problemCollector, tls TLS) {
	for _, endpoint := range []struct{ key, addr, needs, has string }{
		{"listen.callers", l.Callers, "tls.certificate", tls.Certificate},
		{"listen.peers", l.Peers, "tls.peerCa", tls.PeerCA},
		{"listen.operators", l.Operators, "tls.certificate", tls.Certificate},
	} {
		ap, ok := checkIPPort(c, endpoint.key, endpoint.addr)
		if ok && endpoint.has == "" && !l.AllowPlain && !ap.Addr().IsLoopback() {
			c.add(endpoint.key, "%s is not loopback: set %s, or listen.allowPlain to true", endpoint.addr, endpoint.needs)
		}
	}
	if l.Callers != "" && (l.Callers == l.Peers || l.Callers == l.Operators) {
		c.add("listen.callers", "must differ from the other two addresses")
	}
	if l.Peers != "" && l.Peers == l.Operators {
		c.add("listen.peers", "must differ from listen.operators")
	}
}

// Platform locates the platform's object service.
type Platform struct {
	// Address is an http or https URL without a path.
	Address string `json:"address"`
}

func (p Platform) check(c *problemCollector) {
	if p.Address == "" {
		c.add("platform.address", "is missing; give a URL such as http://127.0.0.1:7100")
		return
	}
	u, err := url.Parse(p.Address)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.add("platform.address", "%q is not an http or https URL", p.Address)
	}
}

// Peers holds what the links between entry VMs need.
type Peers struct {
	// Key authenticates entry VMs to each other; the same on all of them.
	Key string `json:"key"`
	// Seeds are peer addresses to try when the platform's list is not to be had.
	Seeds []string `json:"seeds"`
	// ProbeIntervalMs is the pause between liveness probes in milliseconds.
	ProbeIntervalMs int `json:"probeIntervalMs"`
	// SuspicionMs is how long a silent VM stays suspect before it is taken for dead, in milliseconds.
	SuspicionMs int `json:"suspicionMs"`
}

func defaultPeers() Peers { return Peers{ProbeIntervalMs: 500, SuspicionMs: 2000} }

func (p Peers) check(c *problemCollector) {
	if len(p.Key) < minPeerKeyBytes {
		c.add("peers.key", "must have at least %d bytes", minPeerKeyBytes)
	}
	for _, s := range p.Seeds {
		checkIPPort(c, "peers.seeds", s)
	}
	checkRange(c, "peers.probeIntervalMs", p.ProbeIntervalMs, 10, 60_000)
	checkRange(c, "peers.suspicionMs", p.SuspicionMs, p.ProbeIntervalMs, 600_000)
}

// Callers bounds what callers may send.
type Callers struct {
	// BodyBytes is the largest accepted request body.
	BodyBytes int `json:"bodyBytes"`
	// QueueLength is the largest number of requests that wait for an engine on this VM.
	QueueLength int `json:"queueLength"`
	// WaitMs is the longest wait for an engine in milliseconds.
	WaitMs int `json:"waitMs"`
	// TokenDeadlineMs is the longest silence of an engine before its link counts as stalled, in milliseconds.
	TokenDeadlineMs int `json:"tokenDeadlineMs"`
	// DrainMs is the longest wait for open requests at a stop, in milliseconds; 0 means no bound.
	DrainMs int `json:"drainMs"`
	// NotReadyMs is how long a stopping VM still answers while the balancer takes it out, in milliseconds.
	NotReadyMs int `json:"notReadyMs"`
}

func defaultCallers() Callers {
	return Callers{
		BodyBytes: 1 << 20, QueueLength: 1000, WaitMs: 30_000,
		TokenDeadlineMs: 2000, NotReadyMs: 2000,
	}
}

func (l Callers) check(c *problemCollector) {
	checkRange(c, "callers.bodyBytes", l.BodyBytes, 1, maxBodyBytes)
	checkRange(c, "callers.queueLength", l.QueueLength, 0, maxQueueLength)
	checkRange(c, "callers.waitMs", l.WaitMs, 1, maxWaitMs)
	checkRange(c, "callers.tokenDeadlineMs", l.TokenDeadlineMs, 10, maxWaitMs)
	checkRange(c, "callers.drainMs", l.DrainMs, 0, 24*maxWaitMs)
	checkRange(c, "callers.notReadyMs", l.NotReadyMs, 0, maxWaitMs)
}

// Operators holds who may change the configuration.
type Operators struct {
	// Keys are the operators' bearer keys.
	Keys []OperatorKey `json:"keys"`
}

// OperatorKey is one operator's key.
type OperatorKey struct {
	// Name is logged with each change.
	Name string `json:"name"`
	// Key is the bearer key.
	Key string `json:"key"`
}

func (o Operators) check(c *problemCollector) {
	if len(o.Keys) == 0 {
		c.add("operators.keys", "is missing; give at least one operator's name and key")
	}
	for _, k := range o.Keys {
		if k.Name == "" {
			c.add("operators.keys.name", "is missing")
		}
		if len(k.Key) < minOperatorKeyBytes {
			c.add("operators.keys.key", "must have at least %d bytes", minOperatorKeyBytes)
		}
	}
}

// Objectives that a deployment can set.
const (
	ObjectiveStall       = "stall"
	ObjectivePreemptions = "preemptions"
)

// Policy tunes the decisions to the deployment.
type Policy struct {
	// Objective is stall or preemptions: which of the two measures weighs more.
	Objective string `json:"objective"`
	// RetryPercent bounds retries as a share of first attempts.
	RetryPercent int `json:"retryPercent"`
}

func defaultPolicy() Policy { return Policy{Objective: ObjectiveStall, RetryPercent: 10} }

func (p Policy) check(c *problemCollector) {
	if p.Objective != ObjectiveStall && p.Objective != ObjectivePreemptions {
		c.add("policy.objective", "%q must be %s or %s", p.Objective, ObjectiveStall, ObjectivePreemptions)
	}
	checkRange(c, "policy.retryPercent", p.RetryPercent, 0, maxRetryPercent)
}

// TLS names PEM files. All are empty, or Certificate and Key are both set.
type TLS struct {
	// Certificate is the certificate of this VM.
	Certificate string `json:"certificate"`
	// Key is the private key of the certificate.
	Key string `json:"key"`
	// PeerCA, when set, makes peer links use TLS with certificates that it signed, at both sides.
	PeerCA string `json:"peerCa"`
}

func (t TLS) check(c *problemCollector) {
	if (t.Certificate == "") != (t.Key == "") {
		c.add("tls", "certificate and key must be given together")
	}
	if t.PeerCA != "" && t.Certificate == "" {
		c.add("tls.peerCa", "needs tls.certificate and tls.key")
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
			c.add(f.key, "cannot be read: %v", err)
		}
	}
}

// Log selects what is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

func defaultLog() Log { return Log{Level: "info"} }

func (l Log) check(c *problemCollector) {
	levels := []string{"debug", "info", "warn", "error"}
	if !slices.Contains(levels, l.Level) {
		c.add("log.level", "%q must be one of %s", l.Level, strings.Join(levels, ", "))
	}
}

func checkName(c *problemCollector, key, name string) {
	if name == "" {
		c.add(key, "is missing")
		return
	}
	if !namePattern.MatchString(name) {
		c.add(key, "%q must consist of small letters, digits, dots and hyphens, 63 at most", name)
	}
}

func checkRange(c *problemCollector, key string, value, low, high int) {
	if value < low || value > high {
		c.add(key, "%d must be from %d to %d", value, low, high)
	}
}

func checkIPPort(c *problemCollector, key, addr string) (netip.AddrPort, bool) {
	if addr == "" {
		c.add(key, "is missing; give an IP number and a port such as 127.0.0.1:7001")
		return netip.AddrPort{}, false
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		c.add(key, "%q is not an address: %v", addr, err)
		return netip.AddrPort{}, false
	}
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		c.add(key, "%q is not an IP number and a port", addr)
		return netip.AddrPort{}, false
	}
	return ap, true
}
