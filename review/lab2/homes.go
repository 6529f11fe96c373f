package main

import "time"

// waiters is the number of requests that wait when the desired state changes.
const waiters = 3

// homes gives a route a home region while its requests wait for an engine. Later an engine in the
// other region has room.
func homes(l *lab) (bool, error) {
	if err := l.startStore(0); err != nil {
		return false, err
	}
	replicas := newFleet(l)
	if _, err := replicas.start("i-home", "writer", true, engineCapacity); err != nil {
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
	time.Sleep(2 * time.Second)
	c := &clients{lab: l}
	for range 4 {
		c.send(g, request{method: "POST", path: "/report/1", timeout: 39 * time.Second, promptTokens: 6000, limit: 2200})
	}
	time.Sleep(2500 * time.Millisecond)
	abroad, err := replicas.startIn(otherZone, "i-abroad", "writer", true, engineCapacity)
	if err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	filled := time.Now()
	after := func(d time.Duration) { time.Sleep(time.Until(filled.Add(d))) }
	for range 5 {
		c.send(g, request{method: "POST", path: "/report/1", timeout: 39 * time.Second, promptTokens: 6000, limit: 840})
	}
	after(2300 * time.Millisecond)
	var waiting []*request
	for range waiters {
		waiting = append(waiting, c.send(g, request{method: "POST", path: "/report/1", timeout: 39 * time.Second, promptTokens: 5000, limit: 400}))
	}
	after(2600 * time.Millisecond)
	ack := time.Now()
	if l.trouble {
		state := desiredState(2, "writer")
		for _, route := range state["routes"].([]any) {
			route.(map[string]any)["homeRegions"] = []string{regions[zone]}
		}
		l.store.set("config/main", state)
		ack = time.Now()
		l.note("the store has accepted version 2: the home region of all routes is %s", regions[zone])
	}
	after(14 * time.Second)
	c.noteAll()
	held := true
	for _, r := range waiting {
		for _, a := range replicas.of(c.get(r).id) {
			l.note("%s", a.text(l))
			if late := a.at.Sub(ack); l.trouble && a.replica == abroad.id && late > configApplyMs*time.Millisecond {
				l.note("%s reached %s in %s %d ms after the ack of the desired state that gives its route the home region %s",
					a.attempt, a.replica, regions[otherZone], late.Milliseconds(), regions[zone])
				held = false
			}
		}
	}
	return held, nil
}
