// Package settings reads and checks the settings file of an entry VM. All
// faults of a file are reported together, each with file, key and reason.
package settings

import (
	"os"
)

// Settings is everything a process learns at its start. It never changes while
// the process runs.
type Settings struct {
	// VM names this entry VM and where it stands.
	VM VM `json:"vm"`
	// Listen holds the addresses of the three interfaces.
	Listen Listen `json:"listen"`
	// Platform locates the object service.
	Platform Platform `json:"platform"`
	// Peers holds what the links between entry VMs need.
	Peers Peers `json:"peers"`
	// Callers bounds what one caller may send.
	Callers Callers `json:"callers"`
	// Operators holds the operators' keys.
	Operators Operators `json:"operators"`
	// Policy tunes the decisions to the deployment.
	Policy Policy `json:"policy"`
	// TLS names certificates; empty means plain connections.
	TLS TLS `json:"tls"`
	// Log selects the log level.
	Log Log `json:"log"`
}

// Defaults returns the settings that hold where the file is silent.
func Defaults() Settings {
	return Settings{
		Peers:   defaultPeers(),
		Callers: defaultCallers(),
		Policy:  defaultPolicy(),
		Log:     defaultLog(),
	}
}

// Parse checks data and returns the settings. The error is a *Problems that
// lists every fault; file is used only in its text.
func Parse(file string, data []byte) (Settings, error) {
	s := Defaults()
	c := &problemCollector{}
	decodeObject(data, &s, c)
	s.check(c)
	if len(c.problems) > 0 {
		return Settings{}, &Problems{File: file, List: firstPerKey(c.problems)}
	}
	return s, nil
}

// Load reads and parses the file at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Problems{File: path, List: []Problem{{Reason: err.Error()}}}
	}
	return Parse(path, data)
}

// firstPerKey keeps the first problem of each key: a value of the wrong type would
// otherwise also be reported as missing.
func firstPerKey(list []Problem) []Problem {
	seen := map[string]bool{}
	out := list[:0]
	for _, p := range list {
		if seen[p.Key] {
			continue
		}
		seen[p.Key] = true
		out = append(out, p)
	}
	return out
}

func (s *Settings) check(c *problemCollector) {
	s.VM.check(c)
	s.Listen.check(c, s.TLS)
	s.Platform.check(c)
	s.Peers.check(c)
	s.Callers.check(c)
	s.Operators.check(c)
	s.Policy.check(c)
	s.TLS.check(c)
	s.Log.check(c)
}
