package main

import "time"

const (
	// earlierRequests run before, so that one lost answer is less than 0.025 of all.
	earlierRequests = 48
	// slowCopy is how long the last copy before the hand-over waits behind others on the links.
	slowCopy = 1800 * time.Millisecond
	// endsAfter is when the leaving engine closes its listener: a little later than drainMs.
	endsAfter = drainMs*time.Millisecond + 100*time.Millisecond
)

// lostAnswer takes an engine away. A little later than drainMs it takes no new channels, closes its
// idle ones and finishes its runs. The answer of one run is lost at that moment.
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
	g, err := l.startGateway("front-1")
	if err != nil {
		return false, err
	}
	if err := l.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	c := &clients{lab: l}
	for range earlierRequests {
		c.send(g, request{method: "POST", path: "/note/1", timeout: 6 * time.Second, promptTokens: 300, limit: 8})
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(time.Second)
	watched := c.send(g, request{method: "POST", path: "/report/1", timeout: 39 * time.Second, promptTokens: 3000, limit: 1400})
	time.Sleep(time.Second)
	second, err := replicas.start("i-second", "writer", true, engineCapacity)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	drains := first.drain()
	time.Sleep(time.Until(drains.Add(2100 * time.Millisecond)))
	first.mu.Lock()
	first.slowCopies = slowCopy
	first.mu.Unlock()
	time.Sleep(time.Until(drains.Add(endsAfter)))
	first.stopListening()
	l.note("%s takes no new channels and closes its idle ones", first.id)
	if l.trouble {
		first.mu.Lock()
		if current := first.runs[c.get(watched).id]; current != nil {
			close(current.lost)
			l.note("%s loses the answer to %s", first.id, current.attempt)
		}
		first.mu.Unlock()
	}
	time.Sleep(9 * time.Second)
	c.noteAll()
	return judgeTwice(l, replicas, first.id, second.id, c.get(watched).id), nil
}

// judgeTwice applies TWICE: a request must not go on at another replica while the replica before
// still works on it 400 ms later.
func judgeTwice(l *lab, replicas *fleet, before, after, id string) bool {
	var first, second arrival
	for _, a := range replicas.of(id) {
		l.note("%s", a.text(l))
		switch {
		case a.replica == before:
			first = a
		case a.replica == after && a.refused == 0:
			second = a
		}
	}
	if second.attempt == "" {
		return true
	}
	end := first.endedAt
	if end.IsZero() {
		end = time.Now()
	}
	if both := end.Sub(second.at); both > 400*time.Millisecond {
		l.note("%s still worked on %s %d ms after it had gone on at %s", before, id, both.Milliseconds(), after)
		return false
	}
	return true
}
