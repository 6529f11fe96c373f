package main

import (
	"fmt"
	"time"
)

const (
	// machines is the number of machines on the sheet; each has one stream on the leaving engine.
	machines = 7
	// earlierRequests run before, so that one lost answer is less than 0.025 of all.
	earlierRequests = 48
	// noteInterval7 and reportInterval7 are the sheet's 4.85 and 3.47 requests a second.
	noteInterval7   = time.Second * 100 / 485
	reportInterval7 = time.Second * 100 / 347
	// endsAfter is when the leaving engine closes its listener: a little later than drainMs.
	endsAfter = drainMs*time.Millisecond + 100*time.Millisecond
)

// lostAnswer takes one of four engines away. A little later than drainMs it takes no new channels,
// closes its idle ones and finishes its runs. The answer of one run is lost at that moment.
func lostAnswer(l *lab) (bool, error) {
	if err := l.startStore(0); err != nil {
		return false, err
	}
	replicas := newFleet(l)
	first, err := replicas.start("i-first", "writer", true, engineCapacity)
	if err != nil {
		return false, err
	}
	l.store.set("config/main", desiredState(1, "writer"))
	for i := range machines {
		if _, err := l.startGateway(fmt.Sprintf("front-%d", i+1)); err != nil {
			return false, err
		}
	}
	if err := l.waitReady(); err != nil {
		return false, err
	}
	c := &clients{lab: l}
	for i := range earlierRequests {
		c.send(l.gateways[i%machines], request{method: "POST", path: "/note/1", timeout: 6 * time.Second, promptTokens: 2200, limit: 8})
		time.Sleep(noteInterval7)
	}
	for _, g := range l.gateways {
		c.send(g, request{method: "POST", path: "/report/1", timeout: 39 * time.Second, promptTokens: 4000, limit: 1400})
		time.Sleep(reportInterval7)
	}
	for _, id := range []string{"i-second", "i-third", "i-fourth"} {
		if _, err := replicas.startIn(nearZone, id, "writer", true, engineCapacity); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	drains := first.drain()
	time.Sleep(time.Until(drains.Add(time.Second)))
	// The stream that was copied first gets the next copy behind those of the other machines.
	watched := first.firstCopied()
	time.Sleep(time.Until(drains.Add(endsAfter)))
	first.stopListening()
	l.note("%s takes no new channels and closes its idle ones", first.id)
	if l.trouble && first.loseAnswer(watched) {
		l.note("%s loses the answer to %s", first.id, watched)
	}
	time.Sleep(9 * time.Second)
	c.noteAll()
	held := true
	for _, r := range c.snapshot() {
		held = judgeTwice(l, replicas, first.id, r.id) && held
	}
	return held, nil
}

// firstCopied returns the run whose copy was complete first.
func (r *replica) firstCopied() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var first *run
	for _, other := range r.runs {
		if !other.copiedAt.IsZero() && (first == nil || other.copiedAt.Before(first.copiedAt)) {
			first = other
		}
	}
	if first == nil {
		return ""
	}
	return first.attempt
}

// loseAnswer closes the channel of a run, which goes on.
func (r *replica) loseAnswer(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.runs[attempt]
	if current != nil {
		close(current.lost)
	}
	return current != nil
}

// judgeTwice applies TWICE: a request must not go on at another replica while the replica before
// still works on it 400 ms later.
func judgeTwice(l *lab, replicas *fleet, before, id string) bool {
	var first, second arrival
	for _, a := range replicas.of(id) {
		l.note("%s", a.text(l))
		switch {
		case a.replica == before:
			first = a
		case a.resumed && a.refused == 0 && second.attempt == "":
			second = a
		}
	}
	if second.attempt == "" || first.attempt == "" {
		return true
	}
	end := first.endedAt
	if end.IsZero() {
		end = time.Now()
	}
	if both := end.Sub(second.at); both > 400*time.Millisecond {
		l.note("%s still worked on %s %d ms after it had gone on at %s", before, id, both.Milliseconds(), second.replica)
		return false
	}
	return true
}
