package upstream_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/standin/pipenet"
	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

// TestRunOfSuspendedReplicaEndsWithIt checks that the run of a replica that is stopped while its
// process is suspended ends at once, and not when the process would have been resumed.
func TestRunOfSuspendedReplicaEndsWithIt(t *testing.T) {
	const address, suspended, prompt = "10.0.0.1:80", 5 * time.Second, 10
	fabric, cluster := pipenet.New(), upstream.NewCluster()
	defer fabric.Close()
	replica, err := cluster.Start(upstream.Options{
		ID: "e-1", Address: address, Network: fabric.Host("10.0.0.1"),
		Engine: &upstream.Engine{CapacityTokens: 1000, EventTokens: 4, EventInterval: 10 * time.Millisecond, PromptTokensPerMs: 14, CopyTokensPerMs: 18},
	})
	if err != nil {
		t.Fatal(err)
	}
	client := network.Client(fabric.Host("10.0.0.2"))
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header = upstream.Request{Attempt: "a", PromptTokens: prompt, MaxTokens: 400, Timeout: suspended}.Headers()
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	replica.SuspendUntil(time.Now().Add(suspended))
	replica.Stop()
	stopped := time.Now()
	runs := cluster.Runs("a")
	if len(runs) != 1 || runs[0].Ended.IsZero() || runs[0].Ended.After(stopped) {
		t.Errorf("runs after the stop: %+v", runs)
	}
}

// TestRequestOfSuspendedReplicaIsReceived sends a request to a replica whose process is suspended.
func TestRequestOfSuspendedReplicaIsReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const address, suspended = "10.0.0.1:80", 5 * time.Second
		fabric, cluster := pipenet.New(), upstream.NewCluster()
		defer fabric.Close()
		replica, err := cluster.Start(upstream.Options{ID: "p-1", Address: address, Network: fabric.Host("10.0.0.1")})
		if err != nil {
			t.Fatal(err)
		}
		defer replica.Stop()
		client := network.Client(fabric.Host("10.0.0.2"))
		defer client.CloseIdleConnections()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header = upstream.Request{Attempt: "a", Timeout: 2 * suspended}.Headers()
		sent := time.Now()
		replica.SuspendUntil(sent.Add(suspended))
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		runs := cluster.Runs("a")
		if len(runs) != 1 || runs[0].Received.Sub(sent) > time.Second || runs[0].Started.Sub(sent) < suspended {
			t.Errorf("runs %+v, sent at %v", runs, sent)
		}
	})
}
