package main

import (
	"fmt"
	"sync"
	"time"
)

// desiredState returns a desired state whose streaming routes go to a service. It lists that service
// and the plain one.
func desiredState(version int, models string) map[string]any {
	route := func(name, prefix, kind, service string, priority int, timeoutMs, goalMs float64) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "goalMs": goalMs, "gapGoalMs": 180,
			"priority": priority, "service": service, "maxAttempts": 1, "public": false, "sticky": kind == "streaming", "resumable": false,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("report", "/report/", "streaming", models, 0, 39000, 1800),
			route("note", "/note/", "streaming", models, 1, 6000, 1500),
			route("order", "/order/", "unsafe", "desk", 2, 1200, 400),
		},
		"services": []any{
			map[string]any{"name": models, "healthPath": "/healthz", "maxConns": 272, "engine": map[string]any{
				"slots": engineSlots, "kvCapacity": engineCapacity, "kvTokenBytes": 163840, "linkMbps": 24000.0, "moves": true, "stride": tokensPerEvent,
			}},
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 100},
		},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "workshop", "apiKeys": []string{key}}},
	}
}

// crowdedState is desiredState with the routes and engines of zhetisu-sched-grown: short urgent
// streams beside long ones that yield to them.
func crowdedState(version int, models string) map[string]any {
	state := desiredState(version, models)
	report, note := state["routes"].([]any)[0].(map[string]any), state["routes"].([]any)[1].(map[string]any)
	report["priority"], report["goalMs"] = 2, 4000.0
	note["priority"] = 0
	engine := state["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
	engine["kvCapacity"], engine["kvTokenBytes"], engine["linkMbps"] = crowdedCapacity, 18432, 2700.0
	return state
}

// The load for each engine is that of zhetisu-sched-grown: 19.8 term-draft and 38.5 clash-check a
// second for 48 engines. Its scale days have bursts of term-draft, 2.5 times as many for 6.5 s.
const (
	oldEngines     = 4
	reportInterval = time.Second * 48 * 10 / 198 / oldEngines
	noteInterval   = time.Second * 48 * 10 / 385 / oldEngines
	orderInterval6 = 50 * time.Millisecond
	burstFactor    = 2.5
	burstTime      = 6500 * time.Millisecond
	beforeBurst    = 4 * time.Second
)

// withdrawn moves the routes of a crowded model service to another one, in a burst in which one of its
// four engines leaves. The new desired state does not list the old service any more.
func withdrawn(l *lab) (bool, error) {
	if err := l.startStore(0); err != nil {
		return false, err
	}
	replicas := newFleet(l)
	var leaving *replica
	for i := range oldEngines {
		for _, service := range []string{"writer-old", "writer-new"} {
			r, err := replicas.start(fmt.Sprintf("i-%s%d", service, i+1), service, true, crowdedCapacity)
			if err != nil {
				return false, err
			}
			if service == "writer-old" {
				leaving = r
			}
		}
	}
	for _, id := range []string{"i-d1", "i-d2"} {
		if _, err := replicas.start(id, "desk", false, 0); err != nil {
			return false, err
		}
	}
	l.store.set("config/main", crowdedState(1, "writer-old"))
	for _, name := range []string{"front-1", "front-2"} {
		if _, err := l.startGateway(name); err != nil {
			return false, err
		}
	}
	if err := l.waitReady(); err != nil {
		return false, err
	}
	c := &clients{lab: l}
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Add(1)
	go func() {
		defer load.Done()
		c.sendMixed(l.gateways, stop)
	}()
	time.Sleep(beforeBurst)
	drains := leaving.drain()
	time.Sleep(time.Until(drains.Add(lingerTime)))
	leaving.exit()
	time.Sleep(time.Until(drains.Add(burstTime - 500*time.Millisecond)))
	changeAt := time.Now()
	if l.trouble {
		l.store.set("config/main", crowdedState(2, "writer-new"))
		l.note("the store has accepted version 2: the routes go to writer-new, writer-old is not listed")
	}
	time.Sleep(5 * time.Second)
	close(stop)
	load.Wait()
	time.Sleep(8 * time.Second)
	return judgeWithdrawn(l, c, replicas, changeAt), nil
}

// sendMixed sends streams and orders to the machines in turn.
func (c *clients) sendMixed(gateways []*gateway, stop chan struct{}) {
	began := time.Now()
	report, note, order := began, began, began
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		now := time.Now()
		g := gateways[i%len(gateways)]
		if !now.Before(report) {
			c.send(g, request{method: "POST", path: "/report/1", timeout: 39 * time.Second, promptTokens: 3000, limit: 752})
			interval := reportInterval
			if since := now.Sub(began); since >= beforeBurst && since < beforeBurst+burstTime {
				interval = time.Duration(float64(interval) / burstFactor)
			}
			report = report.Add(interval)
		}
		if !now.Before(note) {
			c.send(g, request{method: "POST", path: "/note/1", timeout: 6 * time.Second, promptTokens: 2200, limit: 12})
			note = note.Add(noteInterval)
		}
		if !now.Before(order) {
			c.send(g, request{method: "POST", path: "/order/1", timeout: 2500 * time.Millisecond})
			order = order.Add(orderInterval6)
		}
	}
}

// judgeWithdrawn applies LOST around a desired state: from its sending until configApplyMs + 1 s
// after its ack no channel may end without a complete answer after its request was passed on to a
// replica, unless the machine cuts requests as often at other times or the request has used seven
// tenths of its time.
func judgeWithdrawn(l *lab, c *clients, replicas *fleet, changeAt time.Time) bool {
	c.noteAll()
	until := changeAt.Add(configApplyMs*time.Millisecond + time.Second)
	held := true
	for _, g := range l.gateways {
		cut, before, unanswered := 0, 0, 0
		for _, r := range c.snapshot() {
			if r.machine != g.name || r.whole || r.endedAt.IsZero() || r.sentAt.After(until) {
				continue
			}
			passedOn := len(replicas.of(r.id)) > 0
			switch {
			case r.endedAt.Before(changeAt):
				before++
			case r.endedAt.After(until) || r.endedAt.Sub(r.sentAt) > r.timeout*7/10:
			case passedOn:
				cut++
			default:
				unanswered++
			}
		}
		l.note("%s: %d requests that were passed on to a replica ended without a complete answer from the change until %d ms after it, %d before it; %d others got none",
			g.name, cut, configApplyMs+1000, before, unanswered)
		if cut > 3*before {
			held = false
		}
		if g.endedByItself() {
			l.note("the last words of %s:\n    %s", g.name, g.lastWords())
		}
	}
	return held
}
