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
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/heapgate"
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
	// Heap delays reading large heads while the heap of the process is full. It may be nil.
	Heap *heapgate.Gate
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
	if c.gone != nil {
		close(c.gone)
		c.gone = nil
	}
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
	l.settle(c)
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
		l.refuse(c)
		return victims, true
	}
	return victims, false
}

// refuse removes a connection whose head is refused.
func (l *Limiter) refuse(c *Conn) {
	c.evicted = true
	l.counts.RefusedHeads++
	l.remove(c)
}

func (l *Limiter) exceeded(s size, c *Conn) bool {
	return l.used[s] > l.opts.MemoryBytes/int64(sizes) && l.used[s] > c.cost
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

// settle records that what a connection has read is allocated.
func (l *Limiter) settle(c *Conn) {
	if c.granted > 0 {
		l.opts.Heap.Done(c.granted)
		c.granted = 0
	}
}
