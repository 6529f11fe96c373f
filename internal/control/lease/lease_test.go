package lease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/lease"
	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	duration      = 9 * time.Second
	takeoverDelay = 4 * time.Second
	margin        = 2 * time.Second
	orderLifetime = 2 * time.Second
	tick          = 100 * time.Millisecond
)

// leaseObject is the lease's object in the store.
type leaseObject struct {
	lease   wire.Lease
	version int64
}

func (o *leaseObject) write(r lease.Request) (int64, platform.Status) {
	absent := r.Condition.Absent && o.version != 0
	other := !r.Condition.Absent && r.Condition.Version != o.version
	if absent || other {
		return 0, platform.Conflict
	}
	o.version++
	o.lease = r.Lease
	return o.version, platform.OK
}

// candidate is one VM that requests the role. Its clock has an offset, and it does
// nothing while it is paused.
type candidate struct {
	lease       *lease.Lease
	clockOffset time.Duration
	pausedUntil time.Time
	// deliver passes the response to the write in flight to the lease at deliverAt;
	// nil when no write is in flight.
	deliver   func(now time.Time)
	deliverAt time.Time
}

// order is an order as an engine receives it.
type order struct {
	issuer       int
	issuedAt     time.Time
	deadline     time.Time
	fencingToken int64
}

// simulate runs two VMs that both request the role, with slow and lost responses,
// pauses and clock offsets, and returns the orders that they issue.
func simulate(seed uint64) []order {
	r := rand.New(rand.NewPCG(seed, 3))
	object := &leaseObject{}
	now := time.Unix(1_700_000_000, 0)
	candidates := make([]*candidate, 2)
	for i := range candidates {
		candidates[i] = &candidate{
			clockOffset: time.Duration(r.Int64N(int64(margin))),
			lease: lease.New(lease.Options{
				Role: "orders", VM: fmt.Sprintf("vm-%d", i), Incarnation: 1, Duration: duration, TakeoverDelay: takeoverDelay, Margin: margin,
			}),
		}
	}
	var orders []order
	for range 3000 {
		now = now.Add(tick)
		for i, c := range candidates {
			if now.Before(c.pausedUntil) {
				continue
			}
			if r.IntN(200) == 0 {
				c.pausedUntil = now.Add(time.Duration(r.Int64N(int64(2 * duration))))
				continue
			}
			c.step(now, object, r)
			deadline := now.Add(orderLifetime)
			if token, ok := c.lease.FencingToken(now.Add(c.clockOffset), deadline.Add(c.clockOffset)); ok {
				orders = append(orders, order{i, now, deadline, token})
			}
		}
	}
	return orders
}

// step sends one request, or delivers the response to the previous write, which may
// be late or report that the result is unknown.
func (c *candidate) step(now time.Time, object *leaseObject, r *rand.Rand) {
	if c.deliver != nil {
		if !now.Before(c.deliverAt) {
			c.deliver(now)
			c.deliver = nil
		}
		return
	}
	req, due := c.lease.Next(now.Add(c.clockOffset), true)
	if !due {
		return
	}
	if req.Kind == lease.Read {
		c.lease.ReadDone(now.Add(c.clockOffset), object.lease, object.version)
		return
	}
	version, status := object.write(req)
	if r.IntN(5) == 0 {
		status = platform.ResponseLost
	}
	delay := time.Second
	if r.IntN(10) == 0 {
		delay = time.Duration(r.Int64N(int64(12 * time.Second)))
	}
	c.deliverAt = now.Add(delay)
	c.deliver = func(now time.Time) { c.lease.WriteDone(now.Add(c.clockOffset), req, version, status) }
}

// overlap returns two orders of different issuers that are valid at the same time,
// so that an engine that ignores fencing tokens may carry out both.
func overlap(orders []order) (a, b order, found bool) {
	for i, first := range orders {
		for _, second := range orders[i+1:] {
			if first.issuer != second.issuer && second.issuedAt.Before(first.deadline) {
				return first, second, true
			}
		}
	}
	return order{}, order{}, false
}

func TestOrdersOfTwoHoldersDoNotOverlap(t *testing.T) {
	issued := 0
	for seed := range uint64(60) {
		orders := simulate(seed)
		issued += len(orders)
		if a, b, found := overlap(orders); found {
			t.Errorf("seed %d: order of VM %d issued at %v overlaps order of VM %d issued at %v", seed, a.issuer, a.issuedAt, b.issuer, b.issuedAt)
		}
	}
	if issued < 1000 {
		t.Errorf("%d orders issued, want at least 1000", issued)
	}
}

func TestFencingTokensDoNotDecrease(t *testing.T) {
	for seed := range uint64(20) {
		highest := int64(0)
		for _, o := range simulate(seed) {
			if o.fencingToken < highest {
				t.Fatalf("seed %d: fencing token %d after %d", seed, o.fencingToken, highest)
			}
			highest = o.fencingToken
		}
	}
}

func TestLeaseCountedFromResponseIsDetected(t *testing.T) {
	defer mutation.Enable(mutation.LeaseFromResponseTime)()
	for seed := range uint64(60) {
		if _, _, found := overlap(simulate(seed)); found {
			return
		}
	}
	t.Error("no seed detected the mutation")
}
