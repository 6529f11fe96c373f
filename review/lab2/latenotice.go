package main

import (
	"fmt"
	"syscall"
	"time"
)

// freezeTime is how long a machine is frozen: the site file's node_freeze has 4 s.
const freezeTime = 4 * time.Second

// exit ends the process of a replica: its listener and all of its channels close at once.
func (r *replica) exit() {
	r.fleet.mu.Lock()
	delete(r.fleet.byAddr, r.address)
	r.fleet.mu.Unlock()
	_ = r.server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, current := range r.runs {
		current.end()
	}
	r.fleet.lab.note("%s exits", r.id)
}

const (
	// farEngines engines are in the other region; two more are taken away: a quarter of all, as the
	// site file's scale_in.
	farEngines = 6
	// streams run on the first of the two. They come at the sheet's 3.47 a second.
	streams         = 6
	streamInterval9 = time.Second * 100 / 347
	// lingerTime is how long an engine serves after the store has accepted that it is draining.
	lingerTime = 3700 * time.Millisecond
)

// lateNotice takes the two engines of a zone away while the machine is frozen that reads the store
// for the others.
func lateNotice(l *lab) (bool, error) {
	if err := l.startStore(2 * time.Second); err != nil {
		return false, err
	}
	replicas := newFleet(l)
	for i := range farEngines {
		if _, err := replicas.startIn(otherZone, fmt.Sprintf("i-far%d", i+1), "writer", true, engineCapacity); err != nil {
			return false, err
		}
	}
	first, err := replicas.start("i-first", "writer", true, engineCapacity)
	if err != nil {
		return false, err
	}
	l.store.set("config/main", desiredState(1, "writer"))
	for _, name := range []string{"front-1", "front-2"} {
		if _, err := l.startGateway(name); err != nil {
			return false, err
		}
	}
	if err := l.waitReady(); err != nil {
		return false, err
	}
	frozen, calm := l.gateways[0], l.gateways[1]
	c := &clients{lab: l}
	for range streams {
		c.send(calm, request{method: "POST", path: "/report/1", timeout: 39 * time.Second, promptTokens: 3300, limit: 1400})
		time.Sleep(streamInterval9)
	}
	second, err := replicas.start("i-second", "writer", true, engineCapacity)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	firstDrains := first.drain()
	time.Sleep(time.Until(firstDrains.Add(300 * time.Millisecond)))
	if l.trouble {
		frozen.signal(syscall.SIGSTOP)
		l.note("%s is frozen", frozen.name)
	}
	frozenAt := time.Now()
	time.Sleep(time.Until(firstDrains.Add(320 * time.Millisecond)))
	secondDrains := second.drain()
	time.Sleep(time.Until(firstDrains.Add(lingerTime)))
	first.exit()
	time.Sleep(time.Until(frozenAt.Add(freezeTime)))
	if l.trouble {
		frozen.signal(syscall.SIGCONT)
		l.note("%s wakes", frozen.name)
	}
	time.Sleep(time.Until(secondDrains.Add(2 * lingerTime)))
	second.exit()
	time.Sleep(2 * time.Second)
	c.noteAll()
	return judgeDrain(l, replicas, second.id, secondDrains, c.snapshot()), nil
}

// judgeDrain applies DRAIN: no request may reach a replica later than drainMs after the store has
// accepted that it is draining.
func judgeDrain(l *lab, replicas *fleet, id string, drainedAt time.Time, sent []request) bool {
	held := true
	for _, r := range sent {
		for _, a := range replicas.of(r.id) {
			l.note("%s", a.text(l))
			if late := a.at.Sub(drainedAt); a.replica == id && late > drainMs*time.Millisecond {
				l.note("%s reached %s %d ms after the store had accepted that it is draining", a.attempt, id, late.Milliseconds())
				held = false
			}
		}
	}
	return held
}
