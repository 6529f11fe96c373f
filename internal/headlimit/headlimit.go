// Package headlimit bounds the connections of the clients of a listener, and the memory that the heads
// of their requests take together, from the first byte of a head to the end of its request.
//
// Load pattern: clients that open many connections and send heads of legal size made of very many
// short lines, each of which takes many times its length in memory, and that hold back the end.
// Connections whose request is not complete give way first, the oldest of them before the others: an
// ordinary client sends its head at once, and gets the time to do so however fast others open
// connections. Small heads have a part of the memory of their own, so that large ones do not keep
// them out.
package headlimit

import (
	"bytes"
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// separatorBytes is the memory that is counted for each line of a head, and for each element
	// of a list in it; byteFactor is that for each byte. Both include the copy that is sent to a
	// backend server.
	separatorBytes = 256
	byteFactor     = 4
	// smallHeadBytes is the memory up to which a head is small.
	smallHeadBytes = 32 << 10
	// refusalTimeout bounds writing a refusal.
	refusalTimeout = 100 * time.Millisecond
	// minHeadWait is the time that a connection has to send its head before it may be closed for a new
	// one, minHandshakeWait that where round trips come first.
	minHeadWait      = 20 * time.Millisecond
	minHandshakeWait = 200 * time.Millisecond
	// minBodyRate is the rate in bytes a second at which a body must have been sent for its connection
	// not to give way.
	minBodyRate = 1 << 20
	// maxLooked bounds the connections that are looked at for one that gives way.
	maxLooked = 64
)

var (
	errRefused = eris.New("no memory left for the request head")
	errEvicted = eris.New("connection closed in favour of others")
	// errHeadFailed is the error of writing after a failure to read a head.
	errHeadFailed = eris.New("request head was not read to its end")
)

// Options configures a Limiter.
type Options struct {
	// MaxConns is the number of connections that may be open at once, and MemoryBytes the memory
	// for the heads on them. Both are above 0.
	MaxConns    int
	MemoryBytes int64
	// Refusal is the whole response to a head for which there is no memory.
	Refusal []byte
	// Handshakes is set if clients of hijacked connections must prove who they are. Such a connection
	// counts, and may give way to others, until Conn.Established is called. Otherwise it counts, and
	// does not give way, until it is closed.
	Handshakes bool
}

// Counts counts what a Limiter has refused or closed.
type Counts struct {
	// RefusedHeads were answered with the refusal, EvictedHeads were closed before they were
	// complete, IdleClosed between two requests.
	RefusedHeads, EvictedHeads, IdleClosed int64
	// RefusedConns were closed when they were opened.
	RefusedConns int64
}

// Limiter is the limit for all connections of a listener. It is safe for concurrent use.
type Limiter struct {
	opts Options
	// minWait is the time that a connection has for its head, or for a handshake, before it may be
	// closed for a new one. It does not change once connections are accepted.
	minWait time.Duration

	mu sync.Mutex
	// conns counts the open connections. waiting holds those that wait for a request or the rest of
	// one, by stage, in the order in which they reached it.
	conns   int
	waiting [stages]*list.List
	// ended receives an element when a connection has ended.
	ended chan struct{}
	// used is the memory of the small heads and of the large ones.
	used   [sizes]int64
	counts Counts
}

// stage says for what a connection waits.
type stage int

const (
	// silent: for the first byte of its first request.
	silent stage = iota
	// incomplete: for the rest of a head, or of a handshake.
	incomplete
	// inBody: for the rest of the body of a request.
	inBody
	// idle: for the next request.
	idle
	stages
)

// size is the class of a head.
type size int

const (
	small size = iota
	large
	sizes
)

// New returns a limiter without connections.
func New(opts Options) *Limiter {
	l := &Limiter{opts: opts, minWait: minHeadWait, ended: make(chan struct{}, 1)}
	if opts.Handshakes {
		l.minWait = minHandshakeWait
	}
	for i := range l.waiting {
		l.waiting[i] = list.New()
	}
	return l
}

// Counts returns the counts so far.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Used returns the memory that is counted at present, in bytes.
func (l *Limiter) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used[small] + l.used[large]
}

// Conn is a connection of a caller. An http.Server must report its states to Limiter.State.
type Conn struct {
	net.Conn
	limiter *Limiter

	// The fields below are protected by limiter.mu. element is its place in limiter.waiting[stage], nil
	// while a request is in progress.
	element *list.Element
	stage   stage
	// waitsSince is the time from which on it has had time to send what it waits for.
	waitsSince time.Time
	// bodyBytes is the part of the body of a request that has been read, while it waits for the rest.
	bodyBytes int64
	// cost is the memory of the head, and begun set when some of it has been read.
	cost  int64
	begun bool
	// served is set after the first request.
	served bool
	// unread is the cost of what was read last in the previous request: the next head may have
	// begun in it.
	unread int64
	// evicted is set when the limiter closed the connection, uncounted when it does not count any
	// more, and muted when nothing more may be written as a head could not be read to its end.
	evicted, uncounted, muted bool
	// hijacked is set when no further head follows.
	hijacked bool
	// encrypted is set when the heads are read by a secureConn, and handshaking until its handshake has
	// ended. They are not protected by limiter.mu.
	encrypted, handshaking bool
}

// Wrap returns the limited connection, or nil when requests are in progress on all that are allowed.
// Otherwise it closes a connection that waits in place of the new one, once that has had minWait for
// its head.
func (l *Limiter) Wrap(conn net.Conn) *Conn {
	for {
		l.mu.Lock()
		if l.conns < l.opts.MaxConns {
			c := &Conn{Conn: conn, limiter: l}
			l.conns++
			l.wait(c, silent)
			l.mu.Unlock()
			return c
		}
		victim, readyAt := l.connToClose(time.Now())
		if victim != nil {
			l.evict(victim)
		} else if readyAt.IsZero() {
			l.counts.RefusedConns++
		}
		l.mu.Unlock()
		switch {
		case victim != nil:
			_ = victim.Conn.Close()
		case readyAt.IsZero():
			return nil
		default:
			l.awaitRoom(readyAt)
		}
	}
}

// awaitRoom blocks until a connection has ended, or a time.
func (l *Limiter) awaitRoom(until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-l.ended:
	case <-timer.C:
	}
}

// wait adds a connection to those that wait.
func (l *Limiter) wait(c *Conn, stage stage) {
	c.stage, c.waitsSince = stage, time.Now()
	c.element = l.waiting[stage].PushBack(c)
}

// connToClose returns the connection that gives way to a new one: the oldest one whose request is
// incomplete, else one that has sent nothing yet, if it has waited long enough; else the oldest idle
// one, if there are more of these than of the former. Otherwise it returns the time at which a
// connection will have waited long enough, which is zero if none waits.
func (l *Limiter) connToClose(now time.Time) (victim *Conn, readyAt time.Time) {
	for _, stage := range []stage{incomplete, inBody, silent} {
		looked := 0
		for e := l.waiting[stage].Front(); e != nil && looked < maxLooked; e = e.Next() {
			looked++
			c := e.Value.(*Conn)
			at := l.givesWayAt(c)
			if !now.Before(at) {
				return c, time.Time{}
			}
			if readyAt.IsZero() || at.Before(readyAt) {
				readyAt = at
			}
			if stage != inBody {
				break
			}
		}
	}
	if l.waiting[idle].Len() > l.waiting[incomplete].Len()+l.waiting[inBody].Len()+l.waiting[silent].Len() {
		e := l.waiting[idle].Front()
		return e.Value.(*Conn), time.Time{}
	}
	return nil, readyAt
}

// givesWayAt returns the time from which on a connection that is not idle may be closed for a new one.
// One that has sent much of a body has more time for the rest: the memory of the body is not free
// until the garbage collector has run.
func (l *Limiter) givesWayAt(c *Conn) time.Time {
	return c.waitsSince.Add(l.minWait + time.Duration(c.bodyBytes)*time.Second/minBodyRate)
}

// evict removes a connection from the limiter. The caller closes it without holding mu.
func (l *Limiter) evict(c *Conn) {
	c.evicted, c.muted = true, true
	if c.begun || !c.served {
		l.counts.EvictedHeads++
	} else {
		l.counts.IdleClosed++
	}
	l.remove(c)
}

func (l *Limiter) remove(c *Conn) {
	l.release(c)
	l.stopWaiting(c)
	if !c.uncounted {
		c.uncounted = true
		l.conns--
		select {
		case l.ended <- struct{}{}:
		default:
		}
	}
}

func (l *Limiter) stopWaiting(c *Conn) {
	if c.element != nil {
		l.waiting[c.stage].Remove(c.element)
		c.element = nil
	}
}

// State records the state of a connection. It is the ConnState hook of an http.Server.
func (l *Limiter) State(conn net.Conn, state http.ConnState) {
	c := limitedConn(conn)
	if c == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		// The head is complete, if only in what was read during the previous request.
		l.add(c, c.unread)
		c.unread = 0
		l.stopWaiting(c)
	case http.StateIdle:
		l.release(c)
		c.begun, c.served = false, true
		// The deadline for the last response does not hold for the next one.
		_ = conn.SetWriteDeadline(time.Time{})
		if c.element == nil && !c.uncounted {
			l.wait(c, idle)
		}
	case http.StateHijacked:
		l.release(c)
		c.hijacked = true
		if l.opts.Handshakes && !c.uncounted {
			c.begun = true
			l.wait(c, incomplete)
		}
	case http.StateClosed:
		l.remove(c)
	case http.StateNew:
	}
}

// AwaitBody records that the handler of a request reads its body. Until BodyRead is called the
// connection may be closed for another one: a caller that holds back a body keeps others out as one
// that holds back a head. The request has not run.
func (c *Conn) AwaitBody() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.element == nil && !c.uncounted {
		c.bodyBytes, c.begun = 0, true
		c.limiter.wait(c, inBody)
	}
}

// BodyRead records that a request has been read. It reports false if the connection was closed before.
func (c *Conn) BodyRead() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.awaitsBody() {
		c.limiter.stopWaiting(c)
	}
	c.bodyBytes = 0
	return !c.evicted
}

func (c *Conn) awaitsBody() bool { return c.element != nil && c.stage == inBody }

// Established records that the client of a hijacked connection has proven who it is. The connection
// does not count any more.
func (c *Conn) Established() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.remove(c)
}

// Close closes the connection. An http.Server does not report the end of hijacked ones.
func (c *Conn) Close() error {
	c.limiter.mu.Lock()
	c.limiter.remove(c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// Evicted reports whether the limiter has closed the connection.
func (c *Conn) Evicted() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.evicted
}

// Read reads from the connection. It fails once the limiter has closed or refused the connection.
func (c *Conn) Read(p []byte) (int, error) {
	if c.encrypted && !c.handshaking {
		return c.Conn.Read(p)
	}
	if err := c.charge(0, nil); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		cost, refuse := costOf(p[:n]), c.refuse
		if c.handshaking {
			cost, refuse = handshakeByteFactor*int64(n), nil
		}
		if err := c.charge(cost, refuse); err != nil {
			return 0, err
		}
		c.countBody(n)
	}
	if err != nil {
		c.headFailed()
	}
	return n, err
}

// refuse writes the refusal beneath Write.
func (c *Conn) refuse() {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write(c.limiter.opts.Refusal)
}

// Write writes to the connection. It fails once reading a head has failed: an http.Server takes
// the part of a line before the failure for a malformed line and would answer 400, which tells the
// caller not to send its proper request again.
func (c *Conn) Write(p []byte) (int, error) {
	c.limiter.mu.Lock()
	muted := c.muted
	c.limiter.mu.Unlock()
	if muted {
		return 0, errHeadFailed
	}
	return c.Conn.Write(p)
}

// mute ends writing to the connection.
func (c *Conn) mute() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.muted = true
}

// headFailed records that reading failed, if that was in a head.
func (c *Conn) headFailed() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.muted = c.muted || c.element != nil && c.begun && !c.awaitsBody()
}

// countBody counts bytes that were read, if they are part of a body.
func (c *Conn) countBody(n int) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.awaitsBody() {
		c.bodyBytes += int64(n)
	}
}

// costOf is the memory that a part of a head takes.
func costOf(part []byte) int64 {
	separators := bytes.Count(part, []byte{'\n'}) + bytes.Count(part, []byte{','})
	return int64(len(part))*byteFactor + int64(separators)*separatorBytes
}

// charge counts a part of a head, and closes other connections or refuses this one if there is
// no memory for it. refuse writes the refusal; nil writes none.
func (c *Conn) charge(cost int64, refuse func()) error {
	l := c.limiter
	l.mu.Lock()
	if c.evicted {
		l.mu.Unlock()
		return readError(errEvicted)
	}
	if c.element == nil || c.awaitsBody() {
		if cost > 0 {
			c.unread = cost
		}
		l.mu.Unlock()
		return nil
	}
	cost += c.unread
	c.unread = 0
	if cost == 0 {
		l.mu.Unlock()
		return nil
	}
	if !c.begun {
		c.begun = true
		l.stopWaiting(c)
		l.wait(c, incomplete)
	}
	l.add(c, cost)
	victims, refused := l.makeRoom(c)
	l.mu.Unlock()
	for _, victim := range victims {
		_ = victim.Conn.Close()
	}
	if refused {
		if refuse != nil && !c.hijacked {
			refuse()
		}
		c.mute()
		return readError(errRefused)
	}
	return nil
}

// makeRoom removes connections until there is memory for the heads of the size of c's, or c
// itself if no other one can give way. A head that has the memory of its size alone may exceed
// it.
func (l *Limiter) makeRoom(c *Conn) (victims []*Conn, refused bool) {
	s := c.size()
	for e := l.waiting[incomplete].Front(); e != nil && l.exceeded(s, c); {
		other := e.Value.(*Conn)
		e = e.Next()
		if other != c && other.cost > 0 && other.size() == s {
			l.evict(other)
			victims = append(victims, other)
		}
	}
	if l.exceeded(s, c) {
		c.evicted = true
		l.counts.RefusedHeads++
		l.remove(c)
		return victims, true
	}
	return victims, false
}

func (l *Limiter) exceeded(s size, c *Conn) bool {
	return l.used[s] > l.opts.MemoryBytes/int64(sizes) && l.used[s] > c.cost
}

func (c *Conn) size() size {
	if c.cost > smallHeadBytes {
		return large
	}
	return small
}

// add adds to the cost of a connection.
func (l *Limiter) add(c *Conn, cost int64) {
	if c.uncounted || cost == 0 {
		return
	}
	l.used[c.size()] -= c.cost
	c.cost += cost
	l.used[c.size()] += c.cost
}

func (l *Limiter) release(c *Conn) {
	l.used[c.size()] -= c.cost
	c.cost = 0
}

// readError returns an error after which an http.Server closes the connection without a response
// of its own.
func readError(err error) error { return &net.OpError{Op: "read", Net: "tcp", Err: err} }
