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
	gatewayHost    = "reports.example"
	gatewayKey     = "demo-key"
	gatewayEvents  = 150
	engineStride   = 4
	gatewayGrace   = 8.0
	gatewayBoundMs = 3000
	demoNotice     = 1600 * time.Millisecond
)

// gatewayDemo is one entry VM before stand-ins of the users' platform.
type gatewayDemo struct {
	store   *store.Store
	grid    *upstream.Cluster
	vm      *ingress.Server
	callers string
	ready   string
	servers map[string]*upstream.Replica
}

// runGatewayDemo shows the gateway on loopback.
func runGatewayDemo(logs bool) error {
	out := io.Discard
	if logs {
		out = os.Stderr
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	d := &gatewayDemo{store: store.New(), grid: upstream.NewCluster(), servers: map[string]*upstream.Replica{}}
	for i, s := range []struct {
		title string
		run   func(context.Context) error
	}{
		{"start a store, two engines, a ledger and an entry VM", func(ctx context.Context) error { return d.start(ctx, out) }},
		{"relay a report whose engine is reclaimed after a short notice", d.reclaim},
		{"change the configuration", d.change},
		{"serve while the store is away", d.away},
		{"stop the VM", d.stop},
	} {
		fmt.Printf("%d. %s\n", i+1, s.title)
		if err := s.run(ctx); err != nil {
			return eris.Wrapf(err, "demo failed at step %d", i+1)
		}
	}
	return nil
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

func (d *gatewayDemo) start(ctx context.Context, out io.Writer) error {
	var at [7]string
	for i := range at {
		a, err := freeAddress()
		if err != nil {
			return err
		}
		at[i] = a
	}
	ln, err := net.Listen("tcp", at[0])
	if err != nil {
		return err
	}
	s := &http.Server{Handler: d.store.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.Serve(ln) }()
	engine := &upstream.Engine{CapacityTokens: 34000, EventTokens: engineStride, EventInterval: 30 * time.Millisecond, PromptTokensPerMs: 14, CopyTokensPerMs: 18}
	for _, x := range []struct {
		id, service, address string
		engine               *upstream.Engine
	}{{"engine-1", "report-writer", at[1], engine}, {"engine-2", "report-writer", at[2], engine}, {"ledger-1", "tag-ledger", at[3], nil}} {
		r, err := d.grid.Start(upstream.Options{
			ID: x.id, Address: x.address, Network: network.TCP{}, Engine: x.engine, ServiceTime: 15 * time.Millisecond,
		})
		if err != nil {
			return err
		}
		d.servers[x.id] = r
		d.announce(x.id, x.service, "ready")
	}
	d.configure(1, "/tags/")
	d.callers, d.ready = at[4], at[5]
	d.vm = ingress.New(ingress.Options{
		Network: network.TCP{}, Log: logline.New(out, "info"),
		Settings: settings.Gateway{
			VM:       settings.VM{Name: "vm-1", Region: "black-country", DataCentre: "walsall-a"},
			Listen:   settings.GatewayListen{Callers: at[4], Ready: at[5], Peers: at[6]},
			Store:    settings.Store{Address: at[0]},
			MemoryMb: 128, DataCentres: map[string]string{"walsall-a": "black-country"},
			Bounds: settings.Bounds{
				GraceS: gatewayGrace, ConfigMs: gatewayBoundMs, DrainMs: gatewayBoundMs,
				RetryRatio: 0.2, RetrySlack: 50, RetryWindowS: 10,
			},
		},
	})
	if err := d.vm.Start(); err != nil {
		return err
	}
	for {
		if status, _, err := d.get(ctx, "http://"+d.ready+"/v1/ready"); err == nil && status == http.StatusOK {
			say("ready at %s", d.callers)
			return nil
		}
		if ctx.Err() != nil {
			return eris.New("the VM did not become ready")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (d *gatewayDemo) announce(id, service, state string) {
	d.store.Set("servers/"+id, map[string]any{
		"service": service, "addr": d.servers[id].Address(), "zone": "walsall-a", "version": "v1", "slots": 24,
		"state": state, "coldLeftMs": 0, "seq": 1,
	})
}

func (d *gatewayDemo) configure(version int, tags string) {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": gatewayHost, "pathPrefix": prefix, "kind": kind, "service": service,
			"maxAttempts": 1, "timeoutMs": 39000, "goalMs": 1800, "gapGoalMs": 180,
		}
	}
	d.store.Set("config/main", map[string]any{
		"version": version,
		"routes":  []any{route("report", "/reports/", "streaming", "report-writer"), route("tag", tags, "unsafe", "tag-ledger")},
		"services": []any{
			map[string]any{"name": "tag-ledger", "maxConns": 96},
			map[string]any{"name": "report-writer", "maxConns": 222, "engine": map[string]any{
				"slots": 24, "kvCapacity": 34000, "kvTokenBytes": 163840, "linkMbps": 24000, "moves": true, "stride": engineStride,
			}},
		},
		"tenants": []any{map[string]any{"name": "inspections", "apiKeys": []string{gatewayKey}}},
	})
}

// get makes a request as a caller.
func (d *gatewayDemo) get(ctx context.Context, url string) (int, *http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return 0, nil, err
	}
	if strings.Contains(url, d.ready) {
		req.Method = http.MethodGet
	}
	req.Host = gatewayHost
	req.Header = upstream.Request{
		Attempt: strconv.FormatInt(time.Now().UnixNano(), 16), Key: gatewayKey, Timeout: demoTimeout,
		PromptTokens: 3000, MaxTokens: engineStride * gatewayEvents,
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

func (d *gatewayDemo) reclaim(ctx context.Context) error {
	_, resp, err := d.get(ctx, "http://"+d.callers+"/reports/1")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	go func() {
		time.Sleep(time.Second)
		say("engine-1 announces that it leaves")
		d.announce("engine-1", "report-writer", "draining")
		time.Sleep(demoNotice)
		say("engine-1 is gone")
		d.servers["engine-1"].Stop()
	}()
	r := bufio.NewReader(resp.Body)
	events, longest, last := 0, time.Duration(0), time.Now()
	for {
		line, err := r.ReadString('\n')
		if err != nil && err != io.EOF {
			return eris.Wrapf(err, "the report broke after %d events", events)
		}
		if err != nil {
			break
		}
		if strings.HasPrefix(line, "id: ") {
			events++
			if events > 1 {
				longest = max(longest, time.Since(last))
			}
			last = time.Now()
		}
	}
	if events != gatewayEvents {
		return eris.Errorf("%d of %d events came", events, gatewayEvents)
	}
	say("all %d events came in order; the longest pause was %d ms", events, longest.Milliseconds())
	return nil
}

func (d *gatewayDemo) change(ctx context.Context) error {
	at := time.Now()
	d.configure(2, "/issue/")
	for {
		status, _, err := d.get(ctx, "http://"+d.callers+"/issue/1")
		if err != nil {
			return err
		}
		if status == http.StatusOK {
			say("the new route is served after %d ms", time.Since(at).Milliseconds())
			return nil
		}
	}
}

func (d *gatewayDemo) away(ctx context.Context) error {
	d.store.SetFaults(store.Faults{Outage: true})
	time.Sleep(500 * time.Millisecond)
	status, _, err := d.get(ctx, "http://"+d.callers+"/issue/2")
	if err != nil || status != http.StatusOK {
		return eris.Errorf("status %d, %v", status, err)
	}
	say("a tag was issued")
	return nil
}

func (d *gatewayDemo) stop(ctx context.Context) error {
	if !d.vm.Stop(ctx) {
		return eris.New("requests were cut")
	}
	say("no request was cut")
	return nil
}
