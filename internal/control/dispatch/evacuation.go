package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/routing"
)

// Load pattern of this file: an operator empties a data centre under load. Its servers work on,
// and are cold when the data centre is taken back. If all of their streams moved at once, the
// other servers would be short of memory and most streams would pause, also those that were about
// to end.

// evacuationsChanged stops the placement of requests on the servers of evacuated data centres and
// lets their long streams migrate. The servers of a data centre that is taken back count as cold.
func (c *Core) evacuationsChanged(now time.Time, dataCentres map[string]bool) {
	before := c.evacuated
	c.evacuated = maps.Clone(dataCentres)
	for _, id := range slices.Sorted(maps.Keys(c.servers)) {
		srv := c.servers[id]
		switch was, is := before[srv.DataCentre], c.evacuated[srv.DataCentre]; {
		case is && !was:
			c.evacuateStreams(srv)
		case was && !is:
			c.becomesCold(now, srv)
		}
	}
}

// evacuateStreams lets the streams of a server migrate that would otherwise last longer than an
// evacuation takes to be in force. The others end where they run.
func (c *Core) evacuateStreams(srv *server) {
	if srv.engine != nil && !srv.engine.SupportsMoves {
		return
	}
	action := MigrateStreams{Server: srv.Server, Evacuation: true}
	for _, r := range srv.requests {
		if r.Kind == routing.Streaming && c.outlastsEvacuation(r) {
			action.Streams = append(action.Streams, r.toMigrate())
		}
	}
	if len(action.Streams) > 0 {
		sortByRemaining(action.Streams)
		c.emit(action)
	}
}

// outlastsEvacuation reports whether a stream is expected to run for longer than an evacuation
// takes to be in force.
func (c *Core) outlastsEvacuation(r *request) bool {
	return time.Duration(r.remainingOutput())*c.paceOf(r.Service).tokenTime > c.opts.EvacuationBound
}
