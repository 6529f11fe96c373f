package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/ingress"
	"github.com/pimentohinge/pimentohinge/internal/logline"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

const (
	gatewayHost         = "reports.example"
	gatewayKey          = "demo-key"
	reportEvents        = 150
	tokensPerEvent      = 4
	gatewayGraceSeconds = 8.0
	// propagationLimitMs is the time in which changes of the configuration and of
	// the server list must take effect.
	propagationLimitMs = 3000
	// reclaimNotice is the time from the notice that an engine will be reclaimed
	// until it stops.
	reclaimNotice = 1600 * time.Millisecond
)

// gatewayDemo is the state of the demo of the gateway command: an entry VM and the
// stand-ins for the platform's store and the backend servers.
type gatewayDemo struct {
	store         *store.Store
	cluster       *upstream.Cluster
	vm            *ingress.Server
	callerAddress string
	readyAddress  string
	replicas      map[string]*upstream.Replica
}

// runGatewayDemo demonstrates the gateway command on loopback addresses.
func runGatewayDemo(logs bool) error {
	out := io.Discard
	if logs {
		out = os.Stderr
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	d := &gatewayDemo{store: store.New(), cluster: upstream.NewCluster(), replicas: map[string]*upstream.Replica{}}
	for i, step := range []struct {
		title string
		run   func(context.Context) error
	}{
		{"start a store, two engines, a ledger and an entry VM", func(ctx context.Context) error { return d.start(ctx, out) }},
		{"relay a report whose engine is reclaimed after a short notice", d.relayDuringReclaim},
		{"change the configuration", d.changeConfig},
		{"serve while the store is unavailable", d.serveWithoutStore},
		{"stop the VM", d.stopVM},
	} {
		fmt.Printf("%d. %s\n", i+1, step.title)
		if err := step.run(ctx); err != nil {
			return eris.Wrapf(err, "demo failed at step %d", i+1)
		}
	}
	return nil
}

// freeAddress returns an unused loopback address.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

func (d *gatewayDemo) start(ctx context.Context, out io.Writer) error {
	var addresses [7]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	ln, err := net.Listen("tcp", addresses[0])
	if err != nil {
		return err
	}
	server := &http.Server{Handler: d.store.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(ln) }()
	engine := &upstream.Engine{CapacityTokens: 34000, EventTokens: tokensPerEvent, EventInterval: 30 * time.Millisecond, PromptTokensPerMs: 14, CopyTokensPerMs: 18}
	for _, replicaSpec := range []struct {
		id, service, address string
		engine               *upstream.Engine
	}{{"engine-1", "report-writer", addresses[1], engine}, {"engine-2", "report-writer", addresses[2], engine}, {"ledger-1", "tag-ledger", addresses[3], nil}} {
		replica, err := d.cluster.Start(upstream.Options{
			ID: replicaSpec.id, Address: replicaSpec.address, Network: network.TCP{}, Engine: replicaSpec.engine, ServiceTime: 15 * time.Millisecond,
		})
		if err != nil {
			return err
		}
		d.replicas[replicaSpec.id] = replica
		d.publishServer(replicaSpec.id, replicaSpec.service, "ready")
	}
	d.publishConfig(1, "/tags/")
	d.callerAddress, d.readyAddress = addresses[4], addresses[5]
	d.vm = ingress.New(ingress.Options{
		Network: network.TCP{}, Log: logline.New(out, "info"),
		Settings: settings.Gateway{
			VM:       settings.VM{Name: "vm-1", Region: "black-country", DataCentre: "walsall-a"},
			Listen:   settings.GatewayListen{Callers: addresses[4], Ready: addresses[5], Peers: addresses[6]},
			Store:    settings.Store{Address: addresses[0]},
			MemoryMb: 128, DataCentres: map[string]string{"walsall-a": "black-country"},
			Bounds: settings.Bounds{
				GraceS: gatewayGraceSeconds, ConfigMs: propagationLimitMs, DrainMs: propagationLimitMs,
				RetryRatio: 0.2, RetrySlack: 50, RetryWindowS: 10,
			},
		},
	})
	if err := d.vm.Start(); err != nil {
		return err
	}
	for {
		if status, _, err := d.sendRequest(ctx, "http://"+d.readyAddress+"/v1/ready"); err == nil && status == http.StatusOK {
			printDetail("ready at %s", d.callerAddress)
			return nil
		}
		if ctx.Err() != nil {
			return eris.New("the VM did not become ready")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// publishServer writes the entry of a backend server to the store.
func (d *gatewayDemo) publishServer(id, service, state string) {
	d.store.Set("servers/"+id, map[string]any{
		"service": service, "addr": d.replicas[id].Address(), "zone": "walsall-a", "version": "v1", "slots": 24,
		"state": state, "coldLeftMs": 0, "seq": 1,
	})
}

// publishConfig writes the configuration to the store.
func (d *gatewayDemo) publishConfig(version int, tagPrefix string) {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": gatewayHost, "pathPrefix": prefix, "kind": kind, "service": service,
			"maxAttempts": 1, "timeoutMs": 39000, "goalMs": 1800, "gapGoalMs": 180,
		}
	}
	d.store.Set("config/main", map[string]any{
		"version": version,
		"routes":  []any{route("report", "/reports/", "streaming", "report-writer"), route("tag", tagPrefix, "unsafe", "tag-ledger")},
		"services": []any{
			map[string]any{"name": "tag-ledger", "maxConns": 96},
			map[string]any{"name": "report-writer", "maxConns": 222, "engine": map[string]any{
				"slots": 24, "kvCapacity": 34000, "kvTokenBytes": 163840, "linkMbps": 24000, "moves": true, "stride": tokensPerEvent,
			}},
		},
		"tenants": []any{map[string]any{"name": "inspections", "apiKeys": []string{gatewayKey}}},
	})
}

// sendRequest sends a request as a caller does. It reads and closes the response
// body unless that is an event stream, which the caller of this function closes.
func (d *gatewayDemo) sendRequest(ctx context.Context, url string) (int, *http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return 0, nil, err
	}
	if strings.Contains(url, d.readyAddress) {
		req.Method = http.MethodGet
	}
	req.Host = gatewayHost
	req.Header = upstream.Request{
		Attempt: strconv.FormatInt(time.Now().UnixNano(), 16), Key: gatewayKey, Timeout: demoTimeout,
		PromptTokens: 3000, MaxTokens: tokensPerEvent * reportEvents,
	}.Headers()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	return resp.StatusCode, resp, nil
}

func (d *gatewayDemo) relayDuringReclaim(ctx context.Context) error {
	_, resp, err := d.sendRequest(ctx, "http://"+d.callerAddress+"/reports/1")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	go func() {
		time.Sleep(time.Second)
		printDetail("engine-1 is listed as draining")
		d.publishServer("engine-1", "report-writer", "draining")
		time.Sleep(reclaimNotice)
		printDetail("engine-1 stops")
		d.replicas["engine-1"].Stop()
	}()
	reader := bufio.NewReader(resp.Body)
	events, longestGap, lastEventAt := 0, time.Duration(0), time.Now()
	for {
		line, err := reader.ReadString('\n')
		if err != nil && err != io.EOF {
			return eris.Wrapf(err, "report was interrupted after %d events", events)
		}
		if err != nil {
			break
		}
		if strings.HasPrefix(line, "id: ") {
			events++
			if events > 1 {
				longestGap = max(longestGap, time.Since(lastEventAt))
			}
			lastEventAt = time.Now()
		}
	}
	if events != reportEvents {
		return eris.Errorf("received %d of %d events", events, reportEvents)
	}
	printDetail("received all %d events; the longest gap was %d ms", events, longestGap.Milliseconds())
	return nil
}

func (d *gatewayDemo) changeConfig(ctx context.Context) error {
	publishedAt := time.Now()
	d.publishConfig(2, "/issue/")
	for {
		status, _, err := d.sendRequest(ctx, "http://"+d.callerAddress+"/issue/1")
		if err != nil {
			return err
		}
		if status == http.StatusOK {
			printDetail("the new route is served after %d ms", time.Since(publishedAt).Milliseconds())
			return nil
		}
	}
}

func (d *gatewayDemo) serveWithoutStore(ctx context.Context) error {
	d.store.SetFaults(store.Faults{Outage: true})
	time.Sleep(500 * time.Millisecond)
	status, _, err := d.sendRequest(ctx, "http://"+d.callerAddress+"/issue/2")
	if err != nil || status != http.StatusOK {
		return eris.Errorf("got status %d, error %v", status, err)
	}
	printDetail("a tag was issued")
	return nil
}

func (d *gatewayDemo) stopVM(ctx context.Context) error {
	if !d.vm.Stop(ctx) {
		return eris.New("the VM cut off requests")
	}
	printDetail("no request was cut off")
	return nil
}
