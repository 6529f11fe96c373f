// Package gather decides which entry VMs exchange ledgers. In each data centre one VM,
// the gatherer, receives the ledgers of the others, its followers, and sends them sums.
// The gatherers exchange the sums of their data centres. It does no I/O, and time is an
// argument.
//
// Load pattern: a fleet of hundreds of VMs, in which the work of a VM must not grow with
// the number of VMs. A follower has one link, a gatherer one to each VM of its data
// centre and to each other gatherer. VMs are killed, frozen or cut off at any time; then
// sums are missing for about a second and load is balanced less evenly, nothing else.
//
// The gatherer is the first VM by name that is not avoided. VMs may disagree about it for
// a while: a VM that gets a ledger and is not the gatherer in its own view answers with
// the one that it follows, and a gatherer makes itself known to the VMs that do not follow
// it.
package gather

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	// silenceLimit is how long a VM to which messages are sent may be silent.
	silenceLimit = time.Second
	// minAvoid is how long a VM that was silent or could not be reached is avoided. It
	// doubles with each further time until the VM is heard again, up to maxAvoid.
	minAvoid = 3 * time.Second
	maxAvoid = time.Minute
	// followerTTL is how long a VM counts as a follower after its last ledger.
	followerTTL = 3 * time.Second
	// settleTime is the time after a VM's start in which it does not read the store for
	// others: until then it may not know the VMs that started with it.
	settleTime = 4 * time.Second
	// leaderTTL is how long another gatherer counts as able to read the store after it
	// said so.
	leaderTTL = 1500 * time.Millisecond
)

// vmState is what is known of another VM.
type vmState struct {
	wire.VM
	// askedAt is when a message that should be answered was sent first since heardAt;
	// zero when none was.
	askedAt, heardAt time.Time
	avoidUntil       time.Time
	// avoidFor is the length of the next avoidance.
	avoidFor time.Duration
	// followsAt is when its last ledger arrived.
	followsAt time.Time
	// canLeadAt is when it last said that it can read the store.
	canLeadAt time.Time
}

// Table holds the known VMs. It is not safe for concurrent use.
type Table struct {
	self wire.VM
	// startedAt is when the table was created.
	startedAt time.Time
	// byDataCentre holds the VMs other than self, sorted by name.
	byDataCentre map[string][]*vmState
	byName       map[string]*vmState
}

// New returns the table of a VM that knows no others.
func New(self wire.VM, now time.Time) *Table {
	return &Table{self: self, startedAt: now, byDataCentre: map[string][]*vmState{}, byName: map[string]*vmState{}}
}

// Len returns the number of known VMs, and of those in this data centre, both including
// this VM.
func (t *Table) Len() (all, local int) {
	return len(t.byName) + 1, len(t.byDataCentre[t.self.DataCentre]) + 1
}

// Names returns the names of the known VMs and of this one, sorted.
func (t *Table) Names() []string {
	names := append(slices.Collect(maps.Keys(t.byName)), t.self.Name)
	slices.Sort(names)
	return names
}

// Add adds a VM or replaces what is known of its addresses.
func (t *Table) Add(vm wire.VM) {
	if vm.Name == "" || vm.Name == t.self.Name {
		return
	}
	if known := t.byName[vm.Name]; known != nil && known.DataCentre == vm.DataCentre {
		known.VM = vm
		return
	}
	t.remove(vm.Name)
	added := &vmState{VM: vm, avoidFor: minAvoid}
	t.byName[vm.Name] = added
	list := t.byDataCentre[vm.DataCentre]
	i, _ := slices.BinarySearchFunc(list, vm.Name, func(v *vmState, name string) int { return strings.Compare(v.Name, name) })
	t.byDataCentre[vm.DataCentre] = slices.Insert(list, i, added)
}

func (t *Table) remove(name string) {
	known := t.byName[name]
	if known == nil {
		return
	}
	delete(t.byName, name)
	t.byDataCentre[known.DataCentre] = slices.DeleteFunc(t.byDataCentre[known.DataCentre], func(v *vmState) bool { return v == known })
}

// Heard records a message or a link of a VM.
func (t *Table) Heard(now time.Time, vm wire.VM) {
	t.Add(vm)
	if known := t.byName[vm.Name]; known != nil {
		known.heardAt, known.askedAt = now, time.Time{}
		known.avoidUntil, known.avoidFor = time.Time{}, minAvoid
	}
}

// HeardLedger records a ledger of a VM of this data centre.
func (t *Table) HeardLedger(now time.Time, vm wire.VM) {
	if known := t.byName[vm.Name]; known != nil {
		known.followsAt = now
	}
}

// HeardCanLead records whether the gatherer of another data centre can read the store.
func (t *Table) HeardCanLead(now time.Time, vm wire.VM, canLead bool) {
	if known := t.byName[vm.Name]; known != nil {
		known.canLeadAt = time.Time{}
		if canLead {
			known.canLeadAt = now
		}
	}
}

// Lost records that a message to a VM could not be sent. It reports whether the VM is
// avoided from now on.
func (t *Table) Lost(now time.Time, name string) bool {
	known := t.byName[name]
	return known != nil && known.avoid(now)
}

// avoid starts an avoidance unless one is in progress. It reports whether it did.
func (v *vmState) avoid(now time.Time) bool {
	if now.Before(v.avoidUntil) {
		return false
	}
	v.avoidUntil = now.Add(v.avoidFor)
	v.avoidFor = min(2*v.avoidFor, maxAvoid)
	v.askedAt = time.Time{}
	return true
}

// Asked records that a message which should be answered is sent to a VM. A VM that has
// been silent for silenceLimit is avoided.
func (t *Table) Asked(now time.Time, name string) {
	known := t.byName[name]
	switch {
	case known == nil:
	case known.askedAt.IsZero():
		known.askedAt = now
	case now.Sub(known.askedAt) > silenceLimit:
		known.avoid(now)
	}
}

// Gatherer returns the gatherer of a data centre: the first VM by name that is not
// avoided, which may be this VM. It is zero when all are avoided.
func (t *Table) Gatherer(now time.Time, dataCentre string) wire.VM {
	for _, v := range t.byDataCentre[dataCentre] {
		if dataCentre == t.self.DataCentre && t.self.Name < v.Name {
			return t.self
		}
		if !now.Before(v.avoidUntil) {
			return v.VM
		}
	}
	if dataCentre == t.self.DataCentre {
		return t.self
	}
	return wire.VM{}
}

// Gathers reports whether this VM is the gatherer of its data centre.
func (t *Table) Gathers(now time.Time) bool {
	return t.Gatherer(now, t.self.DataCentre).Name == t.self.Name
}

// Followers returns the VMs of this data centre whose ledgers this VM has received lately.
func (t *Table) Followers(now time.Time) []wire.VM {
	var out []wire.VM
	for _, v := range t.byDataCentre[t.self.DataCentre] {
		if now.Sub(v.followsAt) < followerTTL {
			out = append(out, v.VM)
		}
	}
	return out
}

// Strangers returns the VMs of this data centre that do not follow this one and are not
// avoided. If this VM is the gatherer they may not know it.
func (t *Table) Strangers(now time.Time) []wire.VM {
	var out []wire.VM
	for _, v := range t.byDataCentre[t.self.DataCentre] {
		if now.Sub(v.followsAt) >= followerTTL && !now.Before(v.avoidUntil) {
			out = append(out, v.VM)
		}
	}
	return out
}

// OtherGatherers returns the gatherers of the other data centres, sorted by data centre.
func (t *Table) OtherGatherers(now time.Time) []wire.VM {
	var out []wire.VM
	for dataCentre := range t.byDataCentre {
		if dataCentre == t.self.DataCentre {
			continue
		}
		if vm := t.Gatherer(now, dataCentre); vm.Name != "" {
			out = append(out, vm)
		}
	}
	slices.SortFunc(out, func(a, b wire.VM) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// Leads reports whether this VM reads the store for the VMs of its region: it is a
// gatherer that has settled and can read the store, and no gatherer of a data centre of the region that
// comes before its own by name has said lately that it can. Two leaders at once are
// harmless.
func (t *Table) Leads(now time.Time, canRead bool) bool {
	if !canRead || now.Sub(t.startedAt) < settleTime || !t.Gathers(now) {
		return false
	}
	for dataCentre, list := range t.byDataCentre {
		if dataCentre >= t.self.DataCentre {
			continue
		}
		for _, v := range list {
			if v.Region == t.self.Region && now.Sub(v.canLeadAt) < leaderTTL {
				return false
			}
		}
	}
	return true
}

// InRegion returns the VMs of this region that are not avoided.
func (t *Table) InRegion(now time.Time) []wire.VM {
	var out []wire.VM
	for _, v := range t.byName {
		if v.Region == t.self.Region && !now.Before(v.avoidUntil) {
			out = append(out, v.VM)
		}
	}
	return out
}

// FirstInDataCentre returns up to n other VMs of this data centre, the first by name.
func (t *Table) FirstInDataCentre(n int) []wire.VM {
	var out []wire.VM
	for _, v := range t.byDataCentre[t.self.DataCentre] {
		if len(out) < n {
			out = append(out, v.VM)
		}
	}
	return out
}
