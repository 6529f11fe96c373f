package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

// server is a backend server of a run.
type server struct {
	fleet   *fleet
	id      string
	number  int // determines the address
	service string
	network *listenNetwork
	replica *upstream.Replica

	startedAt time.Time

	mu sync.Mutex
	// faults are the faults of which one is drawn for each request; none if it is empty.
	faults []upstream.Fault
	// endlessMoves makes the responses to calls for copies endless.
	endlessMoves bool
	// leavesAt is when the server list began to say that the server leaves.
	leavesAt time.Time
	leaving  bool
	stopped  bool
	// endedAt is when a leaving server ended.
	endedAt time.Time
}

const serversPerGroup = 250

// startServer starts a backend server and announces it in the store. It gets an address of its
// own, or that of an earlier one if number is above 0, and an ID of its own if id is empty.
func (f *fleet) startServer(service string, number int, id string) error {
	f.mu.Lock()
	f.nextServer++
	if number == 0 {
		number = f.nextServer
	}
	if id == "" {
		id = fmt.Sprintf("i-%d", f.nextServer)
	}
	keepsRunning := f.opts.Profile == profileLeaving || f.serverFaults.IntN(3) == 0
	f.mu.Unlock()
	s := &server{fleet: f, id: id, number: number, service: service, network: newListenNetwork(), startedAt: time.Now()}
	if f.opts.Profile == profileNetwork {
		s.network.link, s.network.delay = newLink(), f.drawDelay()
	}
	opts := upstream.Options{
		ID: s.id, Address: f.address(groupServer+number/serversPerGroup, number%serversPerGroup+1, serverPort), Network: s.network,
		StartedAt: s.startedAt, Fault: s.drawFault, KeepsRunning: keepsRunning,
	}
	switch service {
	case engineService:
		opts.Engine = &upstream.Engine{
			CapacityTokens: engineCapacity, EventTokens: tokensPerEvent, EventInterval: engineEventPeriod, PromptTokensPerMs: 14, CopyTokensPerMs: 18,
		}
		opts.CopyLifetime, opts.MoveFault = copyLifetime, s.drawMoveFault
	case plainService:
		opts.ServiceTime = plainServiceTime
	case slowService:
		opts.ServiceTime = slowServiceTime
	}
	replica, err := f.cluster.Start(opts)
	if err != nil {
		return eris.Wrapf(err, "start %s", s.id)
	}
	s.replica = replica
	f.mu.Lock()
	if service == engineService {
		f.engines = append(f.engines, s)
	} else {
		f.plain = append(f.plain, s)
	}
	f.entries[s.id] = s
	f.mu.Unlock()
	s.announce("ready")
	return nil
}

// ownsEntry reports whether the entry in the store is the server's and not that of a later one
// with its ID.
func (s *server) ownsEntry() bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s.fleet.entries[s.id] == s
}

// announce writes the server's entry in the store.
func (s *server) announce(state string) {
	if !s.ownsEntry() {
		return
	}
	s.fleet.store.Set("servers/"+s.id, object{
		"service": s.service, "addr": s.replica.Address(), "zone": s.dataCentre(), "version": "v1", "slots": 24,
		"state": state, "coldLeftMs": 0, "seq": 1, "born": s.startedAt.UnixMilli(),
	})
}

// drawDelay draws the one-way delay of the connections to a server.
func (f *fleet) drawDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return linkDelays[f.serverFaults.IntN(len(linkDelays))]
}

// setFaults replaces the faults of requests.
func (s *server) setFaults(faults ...upstream.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// sendEndless makes the server send responses without end for a while, also to calls for
// copies.
func (s *server) sendEndless(form upstream.Fault, lasts time.Duration) {
	set := func(endless bool, faults ...upstream.Fault) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults, s.endlessMoves = faults, endless
	}
	set(true, form)
	time.AfterFunc(lasts, func() { set(false) })
}

// drawFault draws the fault of a request. Half of the requests have none.
func (s *server) drawFault(string) upstream.Fault {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if len(faults) == 0 {
		return upstream.None
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.fleet.serverFaults.IntN(2) == 0 {
		return upstream.None
	}
	return faults[s.fleet.serverFaults.IntN(len(faults))]
}

// drawMoveFault draws the fault of a call for a copy. Two in three have none.
func (s *server) drawMoveFault(string, bool) upstream.MoveFault {
	s.mu.Lock()
	endless := s.endlessMoves
	s.mu.Unlock()
	if endless {
		return upstream.MoveResponseEndless
	}
	if s.fleet.opts.Profile == profileStops {
		return upstream.MoveSound
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.fleet.serverFaults.IntN(3) > 0 {
		return upstream.MoveSound
	}
	n := s.fleet.serverFaults.IntN(int(upstream.MoveResponseRepeated) + 1)
	if n == 0 {
		return upstream.MoveLate
	}
	return upstream.MoveFault(n)
}

// markLeaving reports whether the server was not leaving before.
func (s *server) markLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return false
	}
	s.leaving = true
	return true
}

func (s *server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// dataCentre returns the data centre of the server.
func (s *server) dataCentre() string {
	if s.fleet.opts.Profile == profileOperator && s.number%2 == 0 {
		return otherDataCentre
	}
	return dataCentre
}

// announceAgain writes the entry of a server that has not ended.
func (s *server) announceAgain() {
	s.mu.Lock()
	stopped, leaving := s.stopped, s.leaving
	s.mu.Unlock()
	switch {
	case stopped:
		s.fleet.store.Delete("servers/" + s.id)
	case leaving:
		s.announce("draining")
	default:
		s.announce("ready")
	}
}

// announceLeaving reports in the store that the server leaves.
func (s *server) announceLeaving() {
	s.announce("draining")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leavesAt = time.Now()
}

// stop ends the server at once and removes its entry.
func (s *server) stop() {
	s.mu.Lock()
	stopped := s.stopped
	s.stopped, s.endedAt = true, time.Now()
	s.mu.Unlock()
	if stopped {
		return
	}
	s.network.close()
	s.replica.Stop()
	if s.ownsEntry() {
		s.fleet.store.Delete("servers/" + s.id)
	}
}
