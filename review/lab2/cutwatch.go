package main

import (
	"errors"
	"time"
)

const (
	// servesOn is how long a replica serves after its entry was removed.
	servesOn = 3500 * time.Millisecond
	// cutInterval is the time between two cuts of the watches, and cuts their number.
	cutInterval = 1800 * time.Millisecond
	cuts        = 2
	// orderInterval is the time between two orders.
	orderInterval = 24 * time.Millisecond
)

// cutWatch takes a replica away that never reports that it is draining, while the store twice cuts
// off the watches of the entries that wait, 1.8 s apart.
func cutWatch(l *lab) (bool, error) {
	if err := l.startStore(time.Second); err != nil {
		return false, err
	}
	replicas := newFleet(l)
	byID := map[string]*replica{}
	for _, id := range []string{"i-d1", "i-d2", "i-d3", "i-d4"} {
		r, err := replicas.start(id, "desk", false, 0)
		if err != nil {
			return false, err
		}
		byID[id] = r
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
	c := &clients{lab: l}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.sendOrders(l.gateways, stop)
	}()
	time.Sleep(2 * time.Second)
	leaving := byID[replicas.busiest()]
	if leaving == nil {
		return false, errors.New("no replica got an order")
	}
	removeAt := time.Now().Add(100 * time.Millisecond)
	if l.trouble {
		go func() {
			for range cuts {
				began := time.Now()
				l.store.cutWatches()
				l.note("the store has cut off the watches of the entries that wait")
				time.Sleep(time.Until(began.Add(cutInterval)))
			}
		}()
	}
	time.Sleep(time.Until(removeAt))
	removedAt := l.store.remove("servers/" + leaving.id)
	l.note("the store has removed the entry of %s", leaving.id)
	time.Sleep(time.Until(removedAt.Add(servesOn)))
	leaving.exit()
	time.Sleep(3 * time.Second)
	close(stop)
	<-done
	time.Sleep(3 * time.Second)
	c.noteAll()
	return judgeRemoved(l, c, replicas, leaving.id, removedAt), nil
}

// sendOrders sends orders to the machines in turn.
func (c *clients) sendOrders(gateways []*gateway, stop chan struct{}) {
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		c.send(gateways[i%len(gateways)], request{method: "POST", path: "/order/1", timeout: 2500 * time.Millisecond})
	}
}

// judgeRemoved applies DRAIN to a replica whose entry was removed.
func judgeRemoved(l *lab, c *clients, replicas *fleet, id string, removedAt time.Time) bool {
	late, lost := 0, 0
	for _, r := range c.snapshot() {
		for _, a := range replicas.of(r.id) {
			if a.replica != id || !a.at.After(removedAt.Add(drainMs*time.Millisecond)) {
				continue
			}
			late++
			if r.status != 200 || !r.whole {
				lost++
			}
			l.note("%d ms after the removal: %s, sent by %s; the client got %d", a.at.Sub(removedAt).Milliseconds(), a.text(l), r.machine, r.status)
		}
	}
	l.note("%d requests reached %s later than %d ms after the store had removed its entry; %d of them were not answered with success", late, id, drainMs, lost)
	return late == 0
}

// busiest returns the replica that most requests have reached.
func (f *fleet) busiest() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	count, busiest := map[string]int{}, ""
	for _, a := range f.arrivals {
		if count[a.replica]++; busiest == "" || count[a.replica] > count[busiest] {
			busiest = a.replica
		}
	}
	return busiest
}
