package control_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// TestFailedVMsHaveNoRevisionInForce summarizes a fleet in which VMs have failed at an
// older revision. Their revision must not count as the one in force everywhere, wherever
// they stand in the list.
func TestFailedVMsHaveNoRevisionInForce(t *testing.T) {
	vm := func(dataCentre, state string, revision int) wire.Member {
		return wire.Member{Vm: wire.VM{DataCentre: dataCentre}, State: state, Revision: revision}
	}
	view := control.View{Members: []wire.Member{
		vm("b", "dead", 3), vm("b", "alive", 7), vm("b", "alive", 8),
		vm("a", "alive", 8), vm("a", "suspect", 5),
		vm("c", "dead", 2),
	}}
	want := []control.DataCentreRevisions{
		{DataCentre: "a", Lowest: 8, Highest: 8, Alive: 1, NotReachable: 1},
		{DataCentre: "b", Lowest: 7, Highest: 8, Alive: 2, NotReachable: 1},
		{DataCentre: "c", NotReachable: 1},
	}
	if diff := cmp.Diff(want, view.RevisionsByDataCentre()); diff != "" {
		t.Errorf("revisions (-want +got):\n%s", diff)
	}
}
