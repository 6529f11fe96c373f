package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/logline"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/pkg/client"
)

const demoTimeout = 60 * time.Second

func init() {
	register(command{name: "demo", help: "Run a small fleet with stand-ins in this process and show what it does.", setup: func(c *kingpin.CmdClause) func() error {
		logs := c.Flag("logs", "Write the VMs' log lines to stderr.").Bool()
		gateway := c.Flag("gateway", "Show the gateway of the users' platform.").Bool()
		return func() error {
			if *gateway {
				return runGatewayDemo(*logs)
			}
			return runDemo(*logs)
		}
	}})
}

// demoStep is one part of the demonstration.
type demoStep struct {
	title string
	run   func(*demoRun, context.Context) error
}

type demoRun struct {
	fleet *fleet.Fleet
}

func runDemo(logs bool) error {
	out := io.Discard
	if logs {
		out = os.Stderr
	}
	logger := logline.New(out, "info")
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	started := time.Now()
	f, err := fleet.Start(fleet.Options{
		Hosts: fleet.Loopback{}, Log: logger,
		DataCentres: []fleet.DataCentre{
			{Name: "walsall-a-1", Region: "walsall-a", VMs: 2, Engines: 2, Ledgers: 1},
			{Name: "walsall-a-2", Region: "walsall-a", VMs: 2, Engines: 1},
		},
	})
	if err != nil {
		return err
	}
	defer f.Kill()
	d := &demoRun{fleet: f}
	for i, s := range []demoStep{
		{"start two data centres with two entry VMs each, three engines and a tag ledger", (*demoRun).awaitReady},
		{"submit a release note", (*demoRun).release},
		{"stream a report, cut the connection midway, resume through another VM", (*demoRun).resume},
		{"issue one tag twice with the same key", (*demoRun).tagTwice},
		{"issue one tag with a ticket, without the platform", (*demoRun).ticket},
		{"mark an engine as leaving", (*demoRun).leaving},
		{"explain a slow request", (*demoRun).explainSlow},
		{"stop everything gracefully", (*demoRun).stop},
	} {
		fmt.Printf("%d. %s\n", i+1, s.title)
		if err := s.run(d, ctx); err != nil {
			return fmt.Errorf("demo failed at step %d: %w", i+1, err)
		}
	}
	fmt.Printf("done in %.1f s\n", time.Since(started).Seconds())
	return nil
}

func say(format string, args ...any) { fmt.Printf("   "+format+"\n", args...) }

func (d *demoRun) awaitReady(ctx context.Context) error {
	if err := d.fleet.AwaitReady(ctx); err != nil {
		return err
	}
	for _, m := range d.fleet.VMs[0].View().Members {
		say("%s in %s is %s", m.Vm.Name, m.Vm.DataCentre, m.State)
	}
	return nil
}

func (d *demoRun) release(ctx context.Context) error {
	note := d.fleet.ReleaseNote()
	r := d.fleet.VMs[0].Release(ctx, note)
	if r.Status != "accepted" {
		return fmt.Errorf("release note was not accepted: %s %v", r.Status, r.Reasons)
	}
	at := time.Now()
	if err := d.fleet.AwaitRevision(ctx, r.Revision); err != nil {
		return err
	}
	say("note %s is revision %d, in force on all %d VMs after %d ms", note.Id, r.Revision, len(d.fleet.VMs), time.Since(at).Milliseconds())
	return nil
}

var errCut = errors.New("connection cut by the demonstration")

// cutter breaks the first connection after some bytes.
type cutter struct {
	next http.RoundTripper
	left int
}

func (c *cutter) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.next.RoundTrip(r)
	if err == nil && c.left > 0 {
		resp.Body = &cutBody{ReadCloser: resp.Body, left: c.left}
		c.left = 0
	}
	return resp, err
}

type cutBody struct {
	io.ReadCloser
	left int
}

func (b *cutBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		_ = b.Close()
		return 0, errCut
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

func (d *demoRun) resume(ctx context.Context) error {
	c := d.fleet.Client(0, 1)
	c.HTTP = &http.Client{Transport: &cutter{next: &http.Transport{}, left: 20_000}}
	var text strings.Builder
	seen := 0
	r, err := c.Stream(ctx, client.Completion{
		Model: fleet.ServiceReports, Prompt: "Draft a defect report for ladder HC-1042, length=200", MaxTokens: 500,
	}, func(t client.Token) error {
		if t.Index != seen {
			return fmt.Errorf("token %d came in place of %d", t.Index, seen)
		}
		seen++
		text.WriteString(t.Text)
		return nil
	})
	if err != nil {
		return err
	}
	if r.Resumes == 0 || seen != 200 {
		return fmt.Errorf("%d tokens after %d resumes, wanted 200 after at least one", seen, r.Resumes)
	}
	want := expectedText(r.RequestID+"-1", 200)
	if text.String() != want {
		return eris.New("the text is not that of one generation")
	}
	say("%d tokens, each once and from one generation, over %d connections", seen, r.Resumes+1)
	say("it begins:%s ...", strings.Join(strings.SplitAfter(text.String(), " ")[:9], ""))
	return nil
}

func expectedText(generation string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(llm.Text(generation, i))
	}
	return b.String()
}

func (d *demoRun) tagTwice(ctx context.Context) error {
	before := len(d.fleet.Ledgers[0].Runs())
	call := client.Call{
		Service: fleet.ServiceTags, Method: http.MethodPost, Path: "/tags", ContentType: "application/json",
		Body: []byte(`{"tag":"HC-1042","state":"issued"}`), Key: "van-7-0001",
	}
	first, err := d.fleet.Client(0).Do(ctx, call)
	if err != nil {
		return err
	}
	second, err := d.fleet.Client(3).Do(ctx, call)
	if err != nil {
		return err
	}
	runs := len(d.fleet.Ledgers[0].Runs()) - before
	if runs != 1 || !second.Replayed || string(first.Body) != string(second.Body) {
		return fmt.Errorf("the ledger ran the call %d times; second answer replayed: %v", runs, second.Replayed)
	}
	say("the ledger ran it once; both callers got %s", strings.TrimSpace(string(second.Body)))
	return nil
}

func (d *demoRun) ticket(ctx context.Context) error {
	t, err := d.fleet.Client(0).Ticket(ctx)
	if err != nil {
		return err
	}
	d.fleet.SetOutage(true)
	defer d.fleet.SetOutage(false)
	before := len(d.fleet.Ledgers[0].Runs())
	call := client.Call{
		Service: fleet.ServiceTags, Method: http.MethodPost, Path: "/tags", ContentType: "application/json",
		Body: []byte(`{"tag":"HC-1043","state":"issued"}`), Ticket: t,
	}
	for _, i := range []int{1, 0} {
		if _, err := d.fleet.Client(i).Do(ctx, call); err != nil {
			return err
		}
	}
	if runs := len(d.fleet.Ledgers[0].Runs()) - before; runs != 1 {
		return fmt.Errorf("the ledger ran the call %d times", runs)
	}
	say("sent through two VMs while the platform was out, it ran once")
	return nil
}

func (d *demoRun) leaving(ctx context.Context) error {
	gone := d.fleet.Engines[0]
	// The platform's list lags and still shows the engine as live.
	gone.SetFaults(llm.Faults{Draining: true})
	at := time.Now()
	name := gone.Backend.Name
	if err := fleet.Await(ctx, "the engine is known to leave", func() bool { return d.fleet.SeenLeaving(name) }); err != nil {
		return err
	}
	say("%s is known to leave on all its data centre's VMs after %d ms", name, time.Since(at).Milliseconds())
	before := gone.Started()
	for i := range 6 {
		if _, err := d.fleet.Client(i%2).Stream(ctx, client.Completion{
			Model: fleet.ServiceReports, Prompt: "Valuation note, length=5",
		}, func(client.Token) error { return nil }); err != nil {
			return err
		}
	}
	for _, e := range d.fleet.Engines {
		say("%s has started %d generations in all", e.Backend.Name, e.Started())
	}
	if n := gone.Started() - before; n != 0 {
		return fmt.Errorf("the leaving engine got %d new generations", n)
	}
	return nil
}

// explainSlow stalls the link of an engine in the middle of an answer and asks
// for the cause.
func (d *demoRun) explainSlow(ctx context.Context) error {
	stalled := false
	r, err := d.fleet.Client(0).Stream(ctx, client.Completion{
		Model: fleet.ServiceReports, Prompt: "Condition report on a mercury barometer, length=120",
	}, func(t client.Token) error {
		if t.Index == 30 && !stalled {
			stalled = true
			d.stallLinks(3 * time.Second / 2)
		}
		return nil
	})
	if err != nil {
		return err
	}
	x, found := d.fleet.VMs[1].Explain(ctx, r.RequestID)
	if !found || x.Cause == "" {
		return fmt.Errorf("no cause was found for %s: %+v", r.RequestID, x)
	}
	for _, line := range strings.Split(strings.TrimSpace(x.Text()), "\n") {
		say("| %s", line)
	}
	return nil
}

// stallLinks stops the streams of every engine for some time.
func (d *demoRun) stallLinks(pause time.Duration) {
	for i, e := range d.fleet.Engines {
		e.SetFaults(llm.Faults{StallStreams: true, Draining: i == 0})
		time.AfterFunc(pause, func() { e.SetFaults(llm.Faults{Draining: i == 0}) })
	}
}

func (d *demoRun) stop(ctx context.Context) error {
	result := make(chan error, 1)
	go func() {
		r, err := d.fleet.Client(0).Stream(ctx, client.Completion{
			Model: fleet.ServiceReports, Prompt: "Last report of the day, length=150",
		}, func(client.Token) error { return nil })
		if err == nil && r.Tokens != 150 {
			err = fmt.Errorf("the last report has %d tokens", r.Tokens)
		}
		result <- err
	}()
	open := func() bool { return d.fleet.VMs[0].View().Open > 0 }
	if err := fleet.Await(ctx, "the report is under way", open); err != nil {
		return err
	}
	if !d.fleet.Stop(ctx) {
		return eris.New("a VM cut off a request")
	}
	if err := <-result; err != nil {
		return err
	}
	say("every VM finished its streams before it ended; the report under way came whole")
	return nil
}
