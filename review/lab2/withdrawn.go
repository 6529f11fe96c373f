package main

import (
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

// withdrawn moves the routes of a crowded model service to another one while requests wait for an
// engine. The new desired state does not list the old service any more.
func withdrawn(l *lab) (bool, error) {
	if err := l.startStore(0); err != nil {
		return false, err
	}
	replicas := newFleet(l)
	for _, r := range []struct {
		id, service string
		engine      bool
	}{{"i-a1", "writer-old", true}, {"i-a2", "writer-old", true}, {"i-b1", "writer-new", true}, {"i-b2", "writer-new", true}, {"i-d1", "desk", false}, {"i-d2", "desk", false}} {
		if _, err := replicas.start(r.id, r.service, r.engine, engineCapacity); err != nil {
			return false, err
		}
	}
	l.store.set("config/main", desiredState(1, "writer-old"))
	for _, name := range []string{"front-1", "front-2"} {
		if _, err := l.startGateway(name); err != nil {
			return false, err
		}
	}
	if err := l.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	c := &clients{lab: l}
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Add(1)
	go func() {
		defer load.Done()
		c.sendMixed(l.gateways, stop)
	}()
	time.Sleep(9 * time.Second)
	changeAt := time.Now()
	if l.trouble {
		l.store.set("config/main", desiredState(2, "writer-new"))
		l.note("the store has accepted version 2: the routes go to writer-new, writer-old is not listed")
	}
	time.Sleep(5 * time.Second)
	close(stop)
	load.Wait()
	time.Sleep(8 * time.Second)
	return judgeWithdrawn(l, c, replicas, changeAt), nil
}

// sendMixed sends five reports and twenty orders a second to the machines in turn.
func (c *clients) sendMixed(gateways []*gateway, stop chan struct{}) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		g := gateways[i%len(gateways)]
		c.send(g, request{method: "POST", path: "/order/1", timeout: 2500 * time.Millisecond})
		if i%4 == 0 {
			g = gateways[i/4%len(gateways)]
			c.send(g, request{method: "POST", path: "/report/1", timeout: 39 * time.Second, promptTokens: 3000, limit: 930})
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
			held = false
			l.note("the last words of %s:\n    %s", g.name, g.lastWords())
		}
	}
	return held
}
