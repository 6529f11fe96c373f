// Package settings reads and validates the settings file of an entry VM. It
// reports all problems of a file at once, each with file, key and reason.
package settings

import (
	"os"
)

// Settings is the content of the settings file of an entry VM that runs the serve
// command. It does not change while the process runs.
type Settings struct {
	// VM is the name and location of this entry VM.
	VM VM `json:"vm"`
	// Listen holds the listen addresses for callers, peers and operators.
	Listen Listen `json:"listen"`
	// Platform holds the address of the object service.
	Platform Platform `json:"platform"`
	// Peers configures the links between entry VMs and failure detection.
	Peers Peers `json:"peers"`
	// Callers limits requests of callers and the waiting for engines.
	Callers Callers `json:"callers"`
	// Operators holds the operators' keys.
	Operators Operators `json:"operators"`
	// Policy holds the admission objective and the retry budget.
	Policy Policy `json:"policy"`
	// TLS names the certificate files; empty means no TLS.
	TLS TLS `json:"tls"`
	// MemoryMb is the memory available to the process in megabytes; 0 means that of the machine or of
	// the process's control group.
	MemoryMb int `json:"memoryMb"`
	// MaxDescriptors is the number of descriptors available to the process; 0 means its limit on open
	// files.
	MaxDescriptors int `json:"maxDescriptors"`
	// Log holds the log level.
	Log Log `json:"log"`
}

// Defaults returns the values of settings that are not in the file.
func Defaults() Settings {
	return Settings{
		Peers:   defaultPeers(),
		Callers: defaultCallers(),
		Policy:  defaultPolicy(),
		Log:     defaultLog(),
	}
}

// Parse decodes and validates settings. The error is a *Problems that lists every
// problem; file is used only in its text.
func Parse(file string, data []byte) (Settings, error) {
	config := Defaults()
	problems := &problemCollector{}
	decodeObject(data, &config, problems)
	config.check(problems)
	if len(problems.list) > 0 {
		return Settings{}, &Problems{File: file, List: firstPerKey(problems.list)}
	}
	return config, nil
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

func (s *Settings) check(problems *problemCollector) {
	s.VM.check(problems)
	s.Listen.check(problems, s.TLS)
	s.Platform.check(problems)
	s.Peers.check(problems)
	s.Callers.check(problems)
	s.Operators.check(problems)
	s.Policy.check(problems)
	s.TLS.check(problems)
	if s.MemoryMb != 0 {
		checkRange(problems, "memoryMb", s.MemoryMb, minMemoryMb, maxMemoryMb)
	}
	checkDescriptors(problems, s.MaxDescriptors)
	s.Log.check(problems)
}
