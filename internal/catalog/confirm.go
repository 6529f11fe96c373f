package catalog

import (
	"sync"
	"time"
)

// keptConfirmations bounds the confirmations that wait for the catalog to reach
// their version.
const keptConfirmations = 8

// Confirmation says that the store had reached a version, and no later one, at
// some moment not before At.
type Confirmation struct {
	Version int64
	At      time.Time
}

// confirmations are those of one prefix that other VMs told.
type confirmations struct {
	mu   sync.Mutex
	list []Confirmation // oldest first
}

func (c *confirmations) add(x Confirmation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.list) == keptConfirmations {
		c.list = c.list[1:]
	}
	c.list = append(c.list, x)
}

// at returns when a catalog that has reached a version was last known to be
// current; zero when none of the confirmations says so.
func (c *confirmations) at(version int64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var newest time.Time
	for _, x := range c.list {
		if x.Version <= version && x.At.After(newest) {
			newest = x.At
		}
	}
	return newest
}

// Confirm takes another VM's exact read of a prefix: what it read was current
// at some moment not before At. A catalog that has reached the same version
// needs no exact read of its own for a while.
func (c *Catalog) Confirm(prefix string, x Confirmation) {
	if p, ok := c.confirmed[prefix]; ok {
		p.add(x)
	}
}

// Lead makes this catalog read exactly often enough for others until a moment.
func (c *Catalog) Lead(until time.Time) { c.leadUntil.Store(until.UnixNano()) }

// leads reports whether others rely on the exact reads of this catalog.
func (c *Catalog) leads(now time.Time) bool { return now.UnixNano() < c.leadUntil.Load() }
