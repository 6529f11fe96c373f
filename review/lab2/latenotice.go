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
	// fullEngines engines are full; two more are taken away: a quarter of all, as the site file's
	// scale_in.
	fullEngines = 6
	// lingerTime is how long an engine serves after the store has accepted that it is draining.
	lingerTime = 3700 * time.Millisecond
)

// lateNotice takes two engines away while the machine is frozen that reads the store for the others.
// All other engines are full.
func lateNotice(l *lab) (bool, error) {
	if err := l.startStore(2 * time.Second); err != nil {
		return false, err
	}
	replicas := newFleet(l)
	for i := range fullEngines {
		if _, err := replicas.start(fmt.Sprintf("i-full%d", i+1), "writer", true, engineCapacity); err != nil {
			return false, err
		}
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
	// Until then no machine reads the store for the others.
	time.Sleep(9 * time.Second)
	frozen, calm := l.gateways[0], l.gateways[1]
	c := &clients{lab: l}
	filled := time.Now()
	after := func(d time.Duration) { time.Sleep(time.Until(filled.Add(d))) }
	for range 5 * fullEngines {
		c.send(calm, request{method: "POST", path: "/report/1", timeout: 39 * time.Second, promptTokens: 5600, limit: 1200})
	}
	after(2600 * time.Millisecond)
	first, err := replicas.start("i-first", "writer", true, engineCapacity)
	if err != nil {
		return false, err
	}
	after(2900 * time.Millisecond)
	watched := c.send(calm, request{method: "POST", path: "/report/1", timeout: 39 * time.Second, promptTokens: 5000, limit: 2200})
	after(3300 * time.Millisecond)
	second, err := replicas.start("i-second", "writer", true, engineCapacity)
	if err != nil {
		return false, err
	}
	after(3700 * time.Millisecond)
	firstDrains := first.drain()
	after(4000 * time.Millisecond)
	if l.trouble {
		frozen.signal(syscall.SIGSTOP)
		l.note("%s is frozen", frozen.name)
	}
	frozenAt := time.Now()
	after(4020 * time.Millisecond)
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
	return judgeDrain(l, replicas, second.id, secondDrains, c.get(watched).id), nil
}

// judgeDrain applies DRAIN: no request may reach a replica later than drainMs after the store has
// accepted that it is draining.
func judgeDrain(l *lab, replicas *fleet, id string, drainedAt time.Time, watched string) bool {
	held := true
	for _, a := range replicas.of(watched) {
		late := a.at.Sub(drainedAt)
		l.note("%s", a.text(l))
		if a.replica == id && late > drainMs*time.Millisecond {
			l.note("%s reached %s %d ms after the store had accepted that it is draining", a.attempt, id, late.Milliseconds())
			held = false
		}
	}
	return held
}
