package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/routing"
)

// Fleet size as in the largest load test, with 300 VMs in three regions: backend
// servers, and other VMs of the region.
const (
	benchServers = 3000
	benchPeers   = 99
)

// newLargeCore returns the core of one of 300 VMs and its list of servers.
func newLargeCore(now time.Time) (*dispatch.Core, []backend.Server) {
	dataCentres := []string{"a", "b", "c", "d", "e", "f"}
	regions := map[string]string{"a": "r1", "b": "r1", "c": "r2", "d": "r2", "e": "r3", "f": "r3"}
	core := dispatch.New(dispatch.Options{
		VM: "vm-50", DataCentre: "a", Regions: regions, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 200,
	})
	core.Step(now, dispatch.ServicesChanged{Services: map[string]routing.Service{
		"engine": {Engine: &routing.Engine{CapacityTokens: 26000, Slots: 24}},
		"plain":  {},
	}})
	var list []backend.Server
	for i := range benchServers {
		service := "engine"
		if i%8 == 0 {
			service = "plain"
		}
		list = append(list, backend.Server{
			ID: fmt.Sprintf("s-%04d", i), Service: service, Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250),
			DataCentre: dataCentres[i%len(dataCentres)], Slots: 24,
		})
	}
	core.Step(now, dispatch.ServersChanged{Changed: list})
	for p := range benchPeers {
		entries := map[string]dispatch.LedgerEntry{}
		for i := range 10 {
			entries[list[(p*10+i)%len(list)].ID] = dispatch.LedgerEntry{Requests: 2, Tokens: 6000}
		}
		core.Step(now, dispatch.PeerLedger{Source: fmt.Sprintf("vm-%d", p+100), Entries: entries})
	}
	return core, list
}

func BenchmarkServersChanged(b *testing.B) {
	now := time.Now()
	core, list := newLargeCore(now)
	for i := 0; b.Loop(); i++ {
		x := &list[i%len(list)]
		x.Slots++
		core.Step(now, dispatch.ServersChanged{Changed: []backend.Server{*x}})
	}
}

func BenchmarkPlaceRequest(b *testing.B) {
	now := time.Now()
	core, _ := newLargeCore(now)
	for i := uint64(1); b.Loop(); i++ {
		core.Step(now, dispatch.PlaceRequest{ID: i, Service: "engine", Kind: routing.Streaming, PromptTokens: 3000, ExpectedOutputTokens: 700})
		core.Step(now, dispatch.RequestEnded{ID: i})
	}
}

func BenchmarkTick(b *testing.B) {
	now := time.Now()
	core, _ := newLargeCore(now)
	for b.Loop() {
		now = now.Add(20 * time.Millisecond)
		core.Step(now, dispatch.RepublishLedger{})
		core.Step(now, dispatch.Tick{})
	}
}

func BenchmarkPeerLedger(b *testing.B) {
	now := time.Now()
	core, list := newLargeCore(now)
	for i := 0; b.Loop(); i++ {
		entries := map[string]dispatch.LedgerEntry{list[i%len(list)].ID: {Requests: 1}}
		core.Step(now, dispatch.PeerLedger{Source: "vm-100", Entries: entries})
	}
}

// BenchmarkWaiting tries the requests that wait on a VM while no engine has room.
func BenchmarkWaiting(b *testing.B) {
	now := time.Now()
	core, list := newLargeCore(now)
	for _, s := range list {
		if s.Service == "engine" {
			core.Step(now, dispatch.PeerLedger{Source: "full-" + s.ID, Entries: map[string]dispatch.LedgerEntry{s.ID: {Requests: 9, Tokens: 30000}}})
		}
	}
	for id := range uint64(20) {
		core.Step(now, dispatch.PlaceRequest{
			ID: id + 1, Service: "engine", Kind: routing.Streaming, PromptTokens: 3000, ExpectedOutputTokens: 700,
			LatencyTarget: 2 * time.Second, LateAt: now.Add(2 * time.Second), AbandonAt: now.Add(time.Hour),
		})
	}
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		core.Step(now, dispatch.Tick{})
	}
}
