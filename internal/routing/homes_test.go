package routing_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/routing"
)

func TestHomesOfRouteAndWorkspaceBothHold(t *testing.T) {
	for _, c := range []struct {
		name             string
		route, workspace []string
		want             routing.Homes
	}{
		{"neither", nil, nil, routing.Homes{}},
		{"route", []string{"r2", "r1", "r2"}, nil, routing.Homes{Restricted: true, Regions: []string{"r1", "r2"}}},
		{"workspace", nil, []string{"r2"}, routing.Homes{Restricted: true, Regions: []string{"r2"}}},
		{"both", []string{"r1", "r2"}, []string{"r2", "r3"}, routing.Homes{Restricted: true, Regions: []string{"r2"}}},
		{"nothing in common", []string{"r1"}, []string{"r3"}, routing.Homes{Restricted: true, Regions: []string{}}},
	} {
		got := routing.HomesOf(routing.Route{HomeRegions: c.route}, &routing.Workspace{HomeRegions: c.workspace})
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
	if homes := routing.HomesOf(routing.Route{}, nil); !homes.Allow("r9") {
		t.Error("a request without a workspace is restricted")
	}
}

// TestCurrentHomesAreThoseOfTheNewestState asks for the homes of a request that arrived under an
// earlier configuration.
func TestCurrentHomesAreThoseOfTheNewestState(t *testing.T) {
	route, workspace := routing.Route{Name: "r", HomeRegions: []string{"r1"}}, &routing.Workspace{Name: "w"}
	newer := &routing.State{
		Routes:     []routing.Route{{Name: "r", HomeRegions: []string{"r2", "r3"}}},
		Workspaces: []routing.Workspace{{Name: "w", HomeRegions: []string{"r3"}}},
	}
	if diff := cmp.Diff([]string{"r3"}, newer.CurrentHomes(route, workspace).Regions); diff != "" {
		t.Errorf("homes (-want +got):\n%s", diff)
	}
	without := &routing.State{}
	if diff := cmp.Diff([]string{"r1"}, without.CurrentHomes(route, workspace).Regions); diff != "" {
		t.Errorf("homes of a route that is gone (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"r2"}, newer.UnknownHomes([]string{"r1", "r3"})); diff != "" {
		t.Errorf("unknown homes (-want +got):\n%s", diff)
	}
}
