package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// homeRoute is a route whose requests may be served in some regions only.
func homeRoute(regions ...string) object {
	return object{
		"name": "r-home", "host": "acme.example", "pathPrefix": "/home/", "kind": "safe", "service": "plain",
		"maxAttempts": 2, "timeoutMs": 1500, "goalMs": 200, "priority": 1, "homeRegions": regions,
	}
}

// TestHomesHoldAsTheyChange moves the homes of a route and of a workspace while a VM serves them.
func TestHomesHoldAsTheyChange(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		env.startPlain("p-r1", nil)
		env.startReplica("p-r2", "plain", "b", nil, nil)
		for i, c := range []struct {
			route, workspace []string
			server           string
			retryAfter       bool
		}{
			{nil, nil, "p-r1", false},
			{[]string{"r2"}, nil, "p-r2", false},
			{nil, []string{"r2"}, "p-r2", false},
			{[]string{"r1", "r2"}, []string{"r1"}, "p-r1", false},
			{[]string{"r1"}, []string{"r2"}, "", true},
			{[]string{"r3"}, nil, "", true},
			{[]string{"nowhere"}, nil, "", true},
		} {
			workspace := object{"name": "acme", "apiKeys": []string{apiKey}, "homeRegions": c.workspace}
			env.configureWorkspaces(i+2, homeRoute(c.route...), []object{workspace})
			time.Sleep(4 * time.Second)
			attempt := fmt.Sprint("home-", i)
			resp := env.call(t.Context(), http.MethodGet, "/home/x", attempt, nil)
			server := ""
			for _, run := range env.upstreams.Runs(attempt) {
				server += run.Replica
			}
			if diff := cmp.Diff(c.server, server); diff != "" {
				t.Errorf("case %d: server (-want +got):\n%s", i, diff)
			}
			if retry := resp.header.Get("Retry-After") != ""; retry != c.retryAfter || retry != (resp.status == http.StatusServiceUnavailable) {
				t.Errorf("case %d: status %d, Retry-After %q", i, resp.status, resp.header.Get("Retry-After"))
			}
		}
		if env.logs.count("cause=noHome") != 3 || env.logs.count("event=homesUnknown") != 1 {
			t.Error("the log does not name the homes as the cause")
		}
	})
}

// TestEvacuatedDataCentreIsEmptied evacuates the data centre in which a long stream runs, and one
// that does not exist.
func TestEvacuatedDataCentreIsEmptied(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		env.vm.Kill()
		env.evacuationMs = 5000
		env.startVM()
		env.startEngine("e-a", "a")
		env.startEngine("e-d", "d")
		const events = 500
		done := make(chan response)
		go func() { done <- env.stream(t.Context(), "before", events) }()
		time.Sleep(time.Second)
		env.store.Set("evacuations/a", object{})
		env.store.Set("evacuations/nowhere", object{})
		time.Sleep(5 * time.Second)
		env.requireComplete(env.stream(t.Context(), "during", 10), 10)
		env.requireComplete(<-done, events)
		env.store.Delete("evacuations/a")
		time.Sleep(5 * time.Second)
		env.requireComplete(env.stream(t.Context(), "after", 10), 10)
		got := map[string][]string{}
		for _, attempt := range []string{"before", "during", "after"} {
			for _, run := range env.upstreams.Runs(attempt) {
				got[attempt] = append(got[attempt], run.Replica)
			}
		}
		want := map[string][]string{"before": {"e-a", "e-d"}, "during": {"e-d"}, "after": {"e-a"}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("servers that ran the streams (-want +got):\n%s", diff)
		}
		if env.logs.count("event=evacuationUnknown") != 1 || env.logs.count("event=evacuation ") != 2 {
			t.Error("the log does not show the evacuations")
		}
	})
}

// TestWaitingRequestsFollowTheirHomes gives a workspace a home region while its requests wait for engines
// in two regions.
func TestWaitingRequestsFollowTheirHomes(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		env.startEngine("e-r1", "a")
		env.startEngine("e-r2", "b")
		patient := object{
			"name": "r-patient", "host": "acme.example", "pathPrefix": "/patient/", "kind": "streaming", "service": "engine",
			"maxAttempts": 1, "timeoutMs": 39000, "goalMs": 4000, "priority": 2, "gapGoalMs": 180,
		}
		env.configure(2, patient)
		time.Sleep(4 * time.Second)
		const events, requests = 300, 40
		var callers sync.WaitGroup
		for i := range requests {
			callers.Go(func() {
				env.call(t.Context(), http.MethodPost, "/patient/x", fmt.Sprint("patient-", i), http.Header{
					"X-Pimentohinge-Token-Usage": {fmt.Sprintf("3000,%d", 4*events)},
				})
			})
		}
		time.Sleep(time.Second)
		changed := time.Now()
		env.configureWorkspaces(3, patient, []object{{"name": "acme", "apiKeys": []string{apiKey}, "homeRegions": []string{"r1"}}})
		callers.Wait()
		before, after := map[string]bool{}, map[string]bool{}
		for i := range requests {
			for _, run := range env.upstreams.Runs(fmt.Sprint("patient-", i)) {
				if run.Started.Before(changed) {
					before[run.Replica] = true
				} else if run.Started.After(changed.Add(4 * time.Second)) {
					after[run.Replica] = true
				}
			}
		}
		if diff := cmp.Diff([]map[string]bool{{"e-r1": true, "e-r2": true}, {"e-r1": true}}, []map[string]bool{before, after}); diff != "" {
			t.Errorf("servers before and after the change (-want +got):\n%s", diff)
		}
	})
}
