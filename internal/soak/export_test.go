package soak

import (
	"net"
	"strings"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

// Received is what a caller received, for tests of the checks.
type Received struct {
	Kind              string
	Sent, Ended       time.Time
	Status            int
	Err               error
	Frozen, StoppedAt time.Time
	LeavesAt          time.Time
}

// CheckRequest returns the rules that a request and its runs break, in a run with the given
// profile.
func CheckRequest(profile string, received Received, runs ...upstream.Run) []string {
	f := &fleet{opts: Options{Profile: profile}}
	v := &vm{fleet: f, name: "vm-1"}
	if !received.Frozen.IsZero() {
		v.disturbed = intervals{{received.Frozen, received.Frozen}}
	}
	if !received.StoppedAt.IsZero() {
		v.stops = []time.Time{received.StoppedAt}
	}
	rec := record{attempt: "a", kind: kind(received.Kind), vm: v, sent: received.Sent, ended: received.Ended, status: received.Status, err: received.Err}
	f.checkRecord(rec, runs)
	for _, run := range runs {
		f.checkDrain(rec, run, &server{fleet: f, leavesAt: received.LeavesAt})
	}
	var rules []string
	for _, violation := range f.violations {
		rules = append(rules, string(violation.Rule))
	}
	return rules
}

// CheckEvents returns the rule that a stream with the given body and number of events breaks.
func CheckEvents(attempt, body string, events int) string {
	rec := record{attempt: attempt, kind: kindStream}
	rec.readEvents(strings.NewReader(body), events)
	return string(rec.rule)
}

// CheckRecovery returns the number of violations if so many of the requests that were sent
// after the recovery were served.
func CheckRecovery(sent, served int) int {
	f := &fleet{recoverBy: time.Unix(1, 0)}
	records := make([]record, sent)
	for i := range records {
		records[i] = record{sent: time.Unix(2, 0), status: 503}
		if i < served {
			records[i].status = 200
		}
	}
	f.checkRecovery(append(records, record{sent: time.Unix(0, 0), status: 200}))
	return len(f.violations)
}

// Link is a link, for its tests.
type Link struct{ *link }

// NewLink returns a link without connections.
func NewLink() *Link { return &Link{newLink()} }

// NewConn returns the server's end of a connection over the link.
func (l *Link) NewConn(conn net.Conn, delay time.Duration) net.Conn { return l.newConn(conn, delay) }

// Hold is link.hold.
func (l *Link) Hold(receiving, sending bool, until time.Time) { l.hold(receiving, sending, until) }

// Silence is link.silence.
func (l *Link) Silence() { l.silence() }
