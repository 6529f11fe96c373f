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
	duration = 9 * time.Second
	quiet    = 4 * time.Second
	margin   = 2 * time.Second
	lifetime = 2 * time.Second
	tick     = 100 * time.Millisecond
)

// object is the lease's object in the platform.
type object struct {
	lease   wire.Lease
	version int64
}

func (o *object) write(r lease.Request) (int64, platform.Status) {
	absent := r.Condition.Absent && o.version != 0
	other := !r.Condition.Absent && r.Condition.Version != o.version
	if absent || other {
		return 0, platform.Conflict
	}
	o.version++
	o.lease = r.Lease
	return o.version, platform.OK
}

// candidate is one VM that wants the role. Its clock is offset, and while it is
// paused it does nothing.
type candidate struct {
	lease  *lease.Lease
	offset time.Duration
	paused time.Time // until then
	// answer takes in the answer of the request under way, at answerAt.
	answer   func(now time.Time)
	answerAt time.Time
}

// order is an order as an engine gets it.
type order struct {
	giver    int
	given    time.Time
	deadline time.Time
	fencing  int64
}

// course plays two candidates who both believe that they should hold the role,
// with slow and lost answers, pauses and clock offsets, and returns the orders.
func course(seed uint64) []order {
	r := rand.New(rand.NewPCG(seed, 3))
	o := &object{}
	now := time.Unix(1_700_000_000, 0)
	list := make([]*candidate, 2)
	for i := range list {
		list[i] = &candidate{
			offset: time.Duration(r.Int64N(int64(margin))),
			lease: lease.New(lease.Options{
				Role: "orders", VM: fmt.Sprintf("vm-%d", i), Incarnation: 1, Duration: duration, Quiet: quiet, Margin: margin,
			}),
		}
	}
	var orders []order
	for range 3000 {
		now = now.Add(tick)
		for i, c := range list {
			if now.Before(c.paused) {
				continue
			}
			if r.IntN(200) == 0 {
				c.paused = now.Add(time.Duration(r.Int64N(int64(2 * duration))))
				continue
			}
			c.act(now, o, r)
			deadline := now.Add(lifetime)
			if n, ok := c.lease.Fencing(now.Add(c.offset), deadline.Add(c.offset)); ok {
				orders = append(orders, order{i, now, deadline, n})
			}
		}
	}
	return orders
}

// act makes one request, or takes in the answer of the one before, which may
// come late or not at all.
func (c *candidate) act(now time.Time, o *object, r *rand.Rand) {
	if c.answer != nil {
		if !now.Before(c.answerAt) {
			c.answer(now)
			c.answer = nil
		}
		return
	}
	req, due := c.lease.Next(now.Add(c.offset), true)
	if !due {
		return
	}
	if req.Kind == lease.Read {
		c.lease.Saw(now.Add(c.offset), o.lease, o.version)
		return
	}
	version, st := o.write(req)
	if r.IntN(5) == 0 {
		st = platform.ResponseLost
	}
	delay := time.Second
	if r.IntN(10) == 0 {
		delay = time.Duration(r.Int64N(int64(12 * time.Second)))
	}
	c.answerAt = now.Add(delay)
	c.answer = func(now time.Time) { c.lease.Wrote(now.Add(c.offset), req, version, st) }
}

// clash returns a pair of orders of two givers that may be carried out at the
// same time by an engine that ignores the fencing number.
func clash(orders []order) (a, b order, found bool) {
	for i, x := range orders {
		for _, y := range orders[i+1:] {
			if x.giver != y.giver && y.given.Before(x.deadline) {
				return x, y, true
			}
		}
	}
	return order{}, order{}, false
}

func TestOrdersOfTwoHoldersNeverOverlap(t *testing.T) {
	given := 0
	for seed := range uint64(60) {
		orders := course(seed)
		given += len(orders)
		if a, b, found := clash(orders); found {
			t.Errorf("seed %d: order of %d at %v and of %d at %v", seed, a.giver, a.given, b.giver, b.given)
		}
	}
	if given < 1000 {
		t.Errorf("only %d orders were given", given)
	}
}

func TestFencingNumbersGrow(t *testing.T) {
	for seed := range uint64(20) {
		highest := int64(0)
		for _, o := range course(seed) {
			if o.fencing < highest {
				t.Fatalf("seed %d: number %d after %d", seed, o.fencing, highest)
			}
			highest = o.fencing
		}
	}
}

func TestLeaseFromAnswerIsCaught(t *testing.T) {
	defer mutation.Enable(mutation.LeaseFromReplyTime)()
	for seed := range uint64(60) {
		if _, _, found := clash(course(seed)); found {
			return
		}
	}
	t.Error("no seed caught the mistake")
}
