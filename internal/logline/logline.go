// Package logline creates loggers that write each event as one line of key=value
// pairs.
package logline

import (
	"bytes"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"
)

const (
	timeField = "time"
	// maxValueBytes is the length to which values are cut. Callers choose some of them.
	maxValueBytes = 2 << 10
)

// New returns a logger that writes events of at least the given level to w. The
// level is debug, info, warn or error.
func New(w io.Writer, level string) *log.Logger {
	return &log.Logger{
		Level: log.ParseLevel(level), TimeField: timeField, TimeFormat: time.RFC3339Nano,
		Writer: &log.ConsoleWriter{Formatter: format, Writer: w},
	}
}

// format writes the time, the level and then the pairs in their order.
func format(w io.Writer, a *log.FormatterArgs) (int, error) {
	var b bytes.Buffer
	b.WriteString(timeField + "=" + a.Time + " level=" + a.Level)
	for _, kv := range a.KeyValues {
		b.WriteString(" " + kv.Key + "=")
		value := cut(kv.Value)
		switch {
		case kv.ValueType == 's' && needsQuotes(value):
			b.WriteString(strconv.Quote(value))
		case kv.ValueType == 't':
			b.WriteString("true")
		case kv.ValueType == 'f':
			b.WriteString("false")
		default:
			b.WriteString(value)
		}
	}
	b.WriteByte('\n')
	return w.Write(b.Bytes())
}

// cut returns a value of at most maxValueBytes and says how long the whole one is.
func cut(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return value[:maxValueBytes] + "...(" + strconv.Itoa(len(value)) + " bytes)"
}

func needsQuotes(s string) bool {
	return s == "" || strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r == '"' || r == '=' || r > '~'
	})
}
