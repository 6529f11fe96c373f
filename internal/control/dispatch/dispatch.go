package dispatch

import (
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/routing"
)

// Options describes a VM to its core.
type Options struct {
	// VM is this VM's name.
	VM string
	// DataCentre is the VM's own; Regions names the region of each.
	DataCentre string
	Regions    map[string]string
	// RetryRatio, RetryWindow and RetrySlack bound the repeats of a service by all
	// VMs: in each window a share of its requests and a fixed number.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
}

// Core holds what this VM believes of the servers and of its own requests. It
// is not safe for concurrent use.
type Core struct {
	opts     Options
	services map[string]routing.Service
	servers  map[string]*server
	runs     map[uint64]*run
	budgets  map[string]*budget
	// fleet is how many VMs share the budgets of repeats.
	fleet int
	// peers are the ledgers of VMs of this region, regions those of others.
	peers, regions *told
	// toldAt is when the ledger was last told; changed is set since then.
	toldAt, toldRegionAt time.Time
	changed              bool
	actions              []Action
}

// server is a backend server with the load that this VM believes it has.
type server struct {
	backend.Server
	// engine is that of its service, nil for a plain one; place is where it stands
	// as seen from this VM.
	engine *routing.Engine
	place  place
	// rank orders servers that are otherwise alike.
	rank uint64
	// runs are the requests of this VM on it, copies the memory promised to
	// streams that may move to it.
	runs   map[uint64]*run
	copies map[uint64]*run
	// others is how many requests of other VMs it had at heardAt.
	others  int
	heardAt time.Time
	// fails is a moving share of requests that failed, failedAt when the last did.
	fails    float64
	failedAt time.Time
	// unreached counts attempts since it was last reached.
	unreached int
	// avoidUntil keeps requests away after it could not be reached or shed.
	avoidUntil time.Time
	// noticed is set once its streams were told to move.
	noticed bool
}

// place is how far a server is from this VM.
type place int

const (
	sameDataCentre place = iota
	sameRegion
	elsewhere
)

func (c *Core) place(dataCentre string) place {
	switch {
	case dataCentre == c.opts.DataCentre:
		return sameDataCentre
	case c.opts.Regions[dataCentre] == c.opts.Regions[c.opts.DataCentre]:
		return sameRegion
	}
	return elsewhere
}

// run is an open request of this VM.
type run struct {
	Ask
	on     *server
	target *server
	// produced counts tokens of the answer; started is set from its first byte.
	produced int
	started  bool
	placedAt time.Time
}

// New returns a core that knows no server.
func New(o Options) *Core {
	return &Core{
		opts: o, services: map[string]routing.Service{}, servers: map[string]*server{},
		runs: map[uint64]*run{}, budgets: map[string]*budget{}, peers: newTold(), regions: newTold(),
	}
}

// Step takes a message and returns what is to be done.
func (c *Core) Step(now time.Time, m Message) []Action {
	c.actions = nil
	c.peers.expire(now)
	c.regions.expire(now)
	switch m := m.(type) {
	case ServicesChanged:
		c.services = m.Services
		for _, s := range c.servers {
			s.engine = m.Services[s.Service].Engine
		}
	case ServersChanged:
		c.setServers(m)
	case Ask:
		c.ask(now, m)
	case Started:
		c.started(now, m)
	case Progress:
		if r, ok := c.runs[m.ID]; ok {
			r.produced = m.Tokens
		}
	case Ended:
		c.ended(now, m)
	case Resumed:
		c.resumed(now, m)
	case WantTarget:
		c.wantTarget(now, m)
	case DropTarget:
		if r, ok := c.runs[m.ID]; ok {
			r.dropTarget()
		}
	case FleetSize:
		c.fleet = m.VMs
	case Suspect:
		if s, ok := c.servers[m.Server]; ok {
			s.Leaving = true
			c.notice(s)
		}
	case PeerLedger:
		c.heardPeer(now, m)
	case Retell:
		c.changed = true
	case Tick:
		c.tell(now)
	}
	return c.actions
}

func (c *Core) act(a Action) { c.actions = append(c.actions, a) }

func (c *Core) setServers(m ServersChanged) {
	for _, x := range m.Changed {
		s, known := c.servers[x.ID]
		if !known || !s.Same(x) {
			// A replica that started again knows nothing of before.
			s = &server{runs: map[uint64]*run{}, copies: map[uint64]*run{}, rank: rank(c.opts.VM, x.ID)}
			c.servers[x.ID] = s
		}
		left := s.Leaving
		s.Server, s.engine, s.place = x, c.services[x.Service].Engine, c.place(x.DataCentre)
		s.Leaving = s.Leaving || left
		if s.Leaving {
			c.notice(s)
		}
	}
	for _, id := range m.Gone {
		if s, known := c.servers[id]; known {
			// Its requests may still be running; no new one goes there.
			s.Leaving = true
			c.notice(s)
			delete(c.servers, id)
		}
	}
}

// notice tells once that a server leaves and which streams are on it.
func (c *Core) notice(s *server) {
	if s.noticed {
		return
	}
	s.noticed = true
	a := Rescue{Server: s.Server}
	for _, r := range s.runs {
		if r.Kind == routing.Streaming {
			a.Runs = append(a.Runs, RunAtRisk{ID: r.ID, Tokens: r.tokens(), Remaining: r.remaining()})
		}
	}
	// The stream that needs the server for longest is the surest to be cut.
	slices.SortFunc(a.Runs, func(x, y RunAtRisk) int {
		if x.Remaining != y.Remaining {
			return y.Remaining - x.Remaining
		}
		return int(x.ID) - int(y.ID)
	})
	c.act(a)
}

func (c *Core) started(now time.Time, m Started) {
	r, ok := c.runs[m.ID]
	if !ok {
		return
	}
	r.started = true
	r.on.unreached = 0
	c.changed = true
	r.on.heard(now, m.Load)
	r.on.fails *= failureMemory
	if r.on.noticed && r.Kind == routing.Streaming {
		// It was on its way when the notice came.
		c.act(Rescue{Server: r.on.Server, Runs: []RunAtRisk{{ID: r.ID, Tokens: r.tokens(), Remaining: r.remaining()}}})
	}
}

// heard takes what a server says of its load.
func (s *server) heard(now time.Time, l *backend.Load) {
	if l == nil {
		return
	}
	s.heardAt = now
	s.others = max(0, l.Running+l.Waiting-len(s.runs))
}

func (c *Core) ended(now time.Time, m Ended) {
	r, ok := c.runs[m.ID]
	if !ok {
		return
	}
	s := r.on
	delete(c.runs, m.ID)
	delete(s.runs, m.ID)
	c.changed = true
	r.dropTarget()
	s.heard(now, m.Load)
	switch m.Verdict {
	case Served:
		s.unreached = 0
		s.fails *= failureMemory
	case Failed:
		s.fails = s.fails*failureMemory + 1 - failureMemory
		s.failedAt = now
	case Shed:
		s.avoidUntil = now.Add(shedPause)
	case Unreached:
		s.avoidUntil = now.Add(unreachedPause << min(s.unreached, mostDoublings))
		s.unreached++
	case Withdrawn:
	}
}

func (c *Core) resumed(now time.Time, m Resumed) {
	r, ok := c.runs[m.ID]
	if !ok || r.target == nil {
		return
	}
	to := r.target
	c.changed = true
	r.dropTarget()
	delete(r.on.runs, r.ID)
	r.on = to
	to.runs[r.ID] = r
	c.budget(r.Service).repeats.add(now, 1)
	if to.noticed {
		// The notice for the new server came while the copy was under way.
		c.act(Rescue{Server: to.Server, Runs: []RunAtRisk{{ID: r.ID, Tokens: r.tokens(), Remaining: r.remaining()}}})
	}
}

func (r *run) dropTarget() {
	if r.target != nil {
		delete(r.target.copies, r.ID)
		r.target = nil
	}
}

// tokens is the memory of a run now.
func (r *run) tokens() int { return r.Prompt + r.produced }

// expected is the length of the whole answer as guessed.
func (r *run) expected() int {
	if r.produced >= r.Output {
		// Longer than guessed: what is left is likely a part of what came.
		return r.produced + r.produced/overrunShare + 1
	}
	return r.Output
}

func (r *run) remaining() int { return r.expected() - r.produced }

// peak is the memory that a run is expected to need in the end.
func (r *run) peak() int { return r.Prompt + r.expected() }
