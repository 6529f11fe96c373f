// Package loganalysis parses the log lines of entry VMs of the gateway command and
// derives from them how and why a request ended.
package loganalysis

import (
	"bufio"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	maxLineBytes = 1 << 20
	timePrefix   = "time="
)

// Line is one log line.
type Line struct {
	// VM is the name of the VM that wrote the line; empty when unknown.
	VM string
	At time.Time
	// Event is the value of the event field. Fields holds all pairs of the line.
	Event  string
	Fields map[string]string
	// Text is the whole line.
	Text string
}

// Log holds the log lines of any number of VMs, ordered by time.
type Log struct {
	lines []Line
	// Skipped is the number of lines that are not log lines.
	Skipped int
}

// Read adds the lines of a source. The VM of a line is the word before its time,
// which collectors that merge logs insert. If there is none, it is the VM in the
// last started event of the source, and before the first such event the name of
// the source.
func (lg *Log) Read(r io.Reader, source string) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	vm := source
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text())
		if !ok {
			lg.Skipped++
			continue
		}
		if line.Event == "started" && line.VM == "" {
			vm = line.Fields["vm"]
		}
		if line.VM == "" {
			line.VM = vm
		}
		lg.lines = append(lg.lines, line)
	}
	sort.SliceStable(lg.lines, func(i, j int) bool { return lg.lines[i].At.Before(lg.lines[j].At) })
	return eris.Wrapf(scanner.Err(), "read log lines of %s", source)
}

func parseLine(text string) (Line, bool) {
	at := strings.Index(text, timePrefix)
	if at < 0 {
		return Line{}, false
	}
	line := Line{Text: strings.TrimSpace(text), Fields: map[string]string{}}
	if words := strings.Fields(text[:at]); len(words) > 0 {
		line.VM = words[len(words)-1]
	}
	for rest := text[at:]; rest != ""; {
		key, value, after, ok := cutPair(rest)
		if !ok {
			return Line{}, false
		}
		line.Fields[key] = value
		rest = strings.TrimLeft(after, " ")
	}
	var err error
	if line.At, err = time.Parse(time.RFC3339Nano, line.Fields["time"]); err != nil {
		return Line{}, false
	}
	line.Event = line.Fields["event"]
	return line, line.Event != ""
}

// cutPair cuts the first key=value pair off a line.
func cutPair(s string) (key, value, rest string, ok bool) {
	key, s, ok = strings.Cut(s, "=")
	if !ok || key == "" || strings.ContainsAny(key, " \"") {
		return "", "", "", false
	}
	if !strings.HasPrefix(s, `"`) {
		value, rest, _ = strings.Cut(s, " ")
		return key, value, rest, true
	}
	quoted, err := strconv.QuotedPrefix(s)
	if err != nil {
		return "", "", "", false
	}
	value, err = strconv.Unquote(quoted)
	return key, value, s[len(quoted):], err == nil
}
