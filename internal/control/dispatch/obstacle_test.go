package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/routing"
)

const (
	coldRate   = 29
	coldTime   = time.Second
	evacuation = 5 * time.Second
)

// newRegionCore returns the core of a VM in data centre a of a fleet with the given VMs, with
// engines in the data centres.
func newRegionCore(vm string, fleet []string, dataCentres ...string) *dispatch.Core {
	core := dispatch.New(dispatch.Options{
		VM: vm, DataCentre: "a", Regions: map[string]string{"a": "r1", "b": "r1", "c": "r2"},
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50, BoundsCold: true, EvacuationBound: evacuation,
	})
	core.Step(start, dispatch.ServicesChanged{Services: map[string]routing.Service{"engine": {
		Name: "engine", ColdTime: coldTime, ColdRequestsPerSecond: coldRate,
		Engine: &routing.Engine{Slots: 24, CapacityTokens: 34000, SupportsMoves: true, TokensPerEvent: 4},
	}}})
	core.Step(start, dispatch.FleetSize{VMs: len(fleet), Local: len(fleet), Names: fleet})
	core.Step(start, dispatch.ServersChanged{Changed: servers("engine", dataCentres...)})
	return core
}

// placement returns the data centre of the server that a request gets, or why it is refused.
func placement(core *dispatch.Core, now time.Time, request dispatch.PlaceRequest) string {
	for _, action := range core.Step(now, request) {
		switch action := action.(type) {
		case dispatch.Placed:
			return action.Server.DataCentre
		case dispatch.Refused:
			return string(action.Cause)
		}
	}
	return ""
}

func homes(regions ...string) routing.Homes { return routing.Homes{Restricted: true, Regions: regions} }

// TestRequestsStayInTheirHomes places requests and copies with homes in regions near and far.
func TestRequestsStayInTheirHomes(t *testing.T) {
	core := newRegionCore("vm-1", nil, "a", "b", "c")
	for i, c := range []struct {
		homes    routing.Homes
		excluded []string
		want     string
	}{
		{routing.Homes{}, nil, "a"},
		{homes("r2"), nil, "c"},
		{homes("r1"), []string{"s0"}, "b"},
		{homes("r2"), []string{"s2"}, string(outcome.NoHome)},
		{homes("r1", "r2"), []string{"s0", "s1"}, "c"},
		{homes("r9"), nil, string(outcome.NoHome)},
		{homes(), nil, string(outcome.NoHome)},
	} {
		request := streamRequest(uint64(i + 1))
		request.Homes, request.Excluded = c.homes, c.excluded
		if diff := cmp.Diff(c.want, placement(core, start, request)); diff != "" {
			t.Errorf("homes %v without %v (-want +got):\n%s", c.homes, c.excluded, diff)
		}
	}
	for _, action := range core.Step(start, dispatch.FindTarget{ID: 2, Homes: homes("r2")}) {
		if target, ok := action.(dispatch.Target); ok && target.Found {
			t.Errorf("a copy goes to %s", target.Server.DataCentre)
		}
	}
}

// TestNothingIsSentToEvacuatedDataCentres empties the nearest data centre and takes it back.
func TestNothingIsSentToEvacuatedDataCentres(t *testing.T) {
	core := newRegionCore("vm-1", []string{"vm-1"}, "a", "b")
	long, short := streamRequest(1), streamRequest(2)
	short.ExpectedOutputTokens = 20
	placement(core, start, long)
	placement(core, start, short)
	var moved []uint64
	for _, action := range core.Step(start, dispatch.EvacuationsChanged{DataCentres: map[string]bool{"a": true, "nowhere": true}}) {
		if migrate, ok := action.(dispatch.MigrateStreams); ok && migrate.Evacuation {
			for _, s := range migrate.Streams {
				moved = append(moved, s.ID)
			}
		}
	}
	if diff := cmp.Diff([]uint64{1}, moved); diff != "" {
		t.Errorf("streams that migrate (-want +got):\n%s", diff)
	}
	if got := placement(core, start, streamRequest(3)); got != "b" {
		t.Errorf("a request goes to %q", got)
	}
	only := streamRequest(4)
	only.Excluded = []string{"s1"}
	if got := placement(core, start, only); got != string(outcome.Evacuated) {
		t.Errorf("a request without another server gets %q", got)
	}
	now := start.Add(2 * time.Second)
	core.Step(now, dispatch.EvacuationsChanged{})
	got := map[string]int{}
	for id := range uint64(coldRate + 5) {
		request := streamRequest(10 + id)
		request.Excluded = []string{"s1"}
		got[placement(core, now, request)]++
	}
	if diff := cmp.Diff(map[string]int{"a": coldRate, string(outcome.ColdServers): 5}, got); diff != "" {
		t.Errorf("requests after the end of the evacuation (-want +got):\n%s", diff)
	}
}

func vmNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("vm-%03d", i))
	}
	return names
}

// TestColdServerGetsWhatItBears lets a fleet send to one server that has come back cold, far more
// than it bears. VMs know all others, or not those that have just started, or are cut off.
func TestColdServerGetsWhatItBears(t *testing.T) {
	const bound = coldRate*1.5 + 5
	for _, c := range []struct {
		name string
		vms  []string
		// known returns the VMs that a VM knows.
		known func(vm string) []string
		least int
	}{
		{"small fleet", vmNames(7), func(string) []string { return vmNames(7) }, coldRate},
		{"large fleet", vmNames(300), func(string) []string { return vmNames(300) }, coldRate},
		{"ten VMs have just started", vmNames(79), func(vm string) []string {
			if vm < "vm-069" {
				return vmNames(69)
			}
			return vmNames(79)
		}, coldRate},
		{"a third has ended", vmNames(46), func(string) []string { return vmNames(69) }, coldRate / 2},
		{"VMs that have read no names", vmNames(69), func(string) []string { return nil }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent []time.Time
			for _, vm := range c.vms {
				core := newRegionCore(vm, c.known(vm))
				server := servers("engine", "a")[0]
				server.ColdUntil = start.Add(5 * time.Second)
				core.Step(start, dispatch.ServersChanged{Changed: []backend.Server{server}})
				for i := range uint64(200) {
					now := start.Add(time.Duration(i) * 20 * time.Millisecond)
					if placement(core, now, streamRequest(i+1)) == "a" {
						sent = append(sent, now)
						core.Step(now, dispatch.RequestEnded{ID: i + 1})
					}
				}
			}
			slices.SortFunc(sent, time.Time.Compare)
			most := 0
			for i, from := 0, 0; i < len(sent); i++ {
				for sent[i].Sub(sent[from]) >= time.Second {
					from++
				}
				most = max(most, i-from+1)
			}
			if float64(most) > bound || most < c.least {
				t.Errorf("the server got %d requests in one second, it bears %d and must get at least %d", most, coldRate, c.least)
			}
		})
	}
}

// TestServerThatWasOutOfReachCountsAsCold loses a server and reaches it again.
func TestServerThatWasOutOfReachCountsAsCold(t *testing.T) {
	core := newRegionCore("vm-1", []string{"vm-1"}, "a")
	placement(core, start, streamRequest(1))
	core.Step(start, dispatch.RequestEnded{ID: 1, Verdict: dispatch.Unreachable})
	now := start.Add(3 * time.Second)
	placed := 0
	for id := range uint64(coldRate + 5) {
		if placement(core, now, streamRequest(id+2)) == "a" {
			placed++
		}
		if id == 0 {
			core.Step(now, dispatch.ResponseStarted{ID: 2})
		}
	}
	if placed != coldRate {
		t.Errorf("the server got %d requests at once, it bears %d", placed, coldRate)
	}
}
