package dispatch

import "time"

// Load pattern of this file: a replica that resets its requests, or cannot be reached,
// looks idle, so that all VMs send their next requests to it. In a large fleet each VM
// sends too few requests to one replica to learn this alone, so VMs send each other what
// they have seen with their ledgers.

const (
	// failureWindow and servedWindow are the times for which a failure and the start of a
	// response count. The latter is shorter, so that what a server did before it began to
	// fail is soon forgotten.
	failureWindow = 2 * time.Second
	servedWindow  = time.Second
	// minFailures is the number of failures from which on a server may count as failing.
	minFailures = 2
)

// recentOutcomes counts how the requests of this VM fared at one server.
type recentOutcomes struct{ failed, served window }

func newRecentOutcomes() recentOutcomes {
	return recentOutcomes{failed: window{span: failureWindow}, served: window{span: servedWindow}}
}

func (o *recentOutcomes) counts(now time.Time) (failed, served int) {
	return o.failed.sum(now), o.served.sum(now)
}

// recordFailure counts a request that failed at a server before its response started. A
// stream that breaks later does not show that the server would fail new requests.
func (c *Core) recordFailure(now time.Time, srv *server) {
	srv.recent.failed.add(now)
	if c.servers[srv.ID] == srv {
		c.failing[srv.ID] = srv
	}
}

// isFailing reports whether most requests of this VM and of those with a recent ledger
// have failed at a server lately. The successes of all count, so that a VM whose own
// connections break does not keep the others from sound servers.
func (c *Core) isFailing(now time.Time, srv *server) bool {
	failed, served := srv.recent.counts(now)
	if others, ok := c.otherLoad(srv.ID); ok {
		failed += others.Failed
		served += others.Served
	}
	return failed >= minFailures && failed > served
}
