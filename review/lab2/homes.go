package main

import "time"

const (
	// waiters is the number of requests that wait when the desired state changes.
	waiters = 3
	// streamInterval is that of term-draft of zhetisu-sched-grown for two engines in a burst: 2.5 times
	// 19.8 a second for 48 engines.
	streamInterval = time.Second * 48 * 10 / 198 / 2 * 10 / 25
	// homeApplyMs is configApplyMs of that deployment.
	homeApplyMs = 4000
)

// homes gives a route a home region while its requests wait for an engine. Later an engine in the
// other region has room.
func homes(l *lab) (bool, error) {
	if err := l.startStore(0); err != nil {
		return false, err
	}
	replicas := newFleet(l)
	if _, err := replicas.start("i-home", "writer", true, crowdedCapacity); err != nil {
		return false, err
	}
	l.store.set("config/main", crowdedState(1, "writer"))
	g, err := l.startGateway("front-1")
	if err != nil {
		return false, err
	}
	if err := l.waitReady(); err != nil {
		return false, err
	}
	c := &clients{lab: l}
	next := time.Now()
	send := func(prompt, limit int) *request {
		time.Sleep(time.Until(next))
		next = next.Add(streamInterval)
		return c.send(g, request{method: "POST", path: "/report/1", timeout: 39 * time.Second, promptTokens: prompt, limit: limit})
	}
	for range 3 {
		send(6000, 1780)
	}
	abroad, err := replicas.startIn(otherZone, "i-abroad", "writer", true, crowdedCapacity)
	if err != nil {
		return false, err
	}
	for range 3 {
		send(6000, 1000)
	}
	var waiting []*request
	for range waiters {
		waiting = append(waiting, send(5000, 400))
	}
	time.Sleep(300 * time.Millisecond)
	ack := time.Now()
	if l.trouble {
		state := crowdedState(2, "writer")
		for _, route := range state["routes"].([]any) {
			route.(map[string]any)["homeRegions"] = []string{regions[zone]}
		}
		l.store.set("config/main", state)
		ack = time.Now()
		l.note("the store has accepted version 2: the home region of all routes is %s", regions[zone])
	}
	time.Sleep(14 * time.Second)
	c.noteAll()
	held := true
	for _, r := range waiting {
		for _, a := range replicas.of(c.get(r).id) {
			l.note("%s", a.text(l))
			if late := a.at.Sub(ack); l.trouble && a.replica == abroad.id && late > homeApplyMs*time.Millisecond {
				l.note("%s reached %s in %s %d ms after the ack of the desired state that gives its route the home region %s",
					a.attempt, a.replica, regions[otherZone], late.Milliseconds(), regions[zone])
				held = false
			}
		}
	}
	return held, nil
}
