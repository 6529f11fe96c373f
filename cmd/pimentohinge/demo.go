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
	register(command{name: "demo", help: "Run a small fleet and its stand-ins in this process and show what it does.", setup: func(c *kingpin.CmdClause) func() error {
		logs := c.Flag("logs", "Write the VMs' log lines to stderr.").Bool()
		gateway := c.Flag("gateway", "Demonstrate an entry VM of the gateway command instead of a fleet.").Bool()
		return func() error {
			if *gateway {
				return runGatewayDemo(*logs)
			}
			return runDemo(*logs)
		}
	}})
}

// demoStep is one step of the demo.
type demoStep struct {
	title string
	run   func(*demoRun, context.Context) error
}

// demoRun is the state that the steps of the demo share.
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
		Hosts: fleet.NewLoopback(), Log: logger,
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
	for i, step := range []demoStep{
		{"start two data centres with two entry VMs each, three engines and a tag ledger", (*demoRun).awaitReady},
		{"submit a release note", (*demoRun).submitNote},
		{"stream a report, cut the connection midway, resume through another VM", (*demoRun).resumeStream},
		{"issue one tag twice with the same key", (*demoRun).issueTagTwice},
		{"issue one tag with a ticket while the platform is unavailable", (*demoRun).issueWithTicket},
		{"mark an engine as leaving", (*demoRun).markLeaving},
		{"explain a slow request", (*demoRun).explainStall},
		{"stop everything gracefully", (*demoRun).stopFleet},
	} {
		fmt.Printf("%d. %s\n", i+1, step.title)
		if err := step.run(d, ctx); err != nil {
			return fmt.Errorf("demo failed at step %d: %w", i+1, err)
		}
	}
	fmt.Printf("done in %.1f s\n", time.Since(started).Seconds())
	return nil
}

// printDetail prints an indented line below the title of a step.
func printDetail(format string, args ...any) { fmt.Printf("   "+format+"\n", args...) }

func (d *demoRun) awaitReady(ctx context.Context) error {
	if err := d.fleet.AwaitReady(ctx); err != nil {
		return err
	}
	for _, m := range d.fleet.VMs[0].View().Members {
		printDetail("%s in %s is %s", m.Vm.Name, m.Vm.DataCentre, m.State)
	}
	return nil
}

func (d *demoRun) submitNote(ctx context.Context) error {
	note := d.fleet.ReleaseNote()
	result := d.fleet.VMs[0].Release(ctx, note)
	if result.Status != "accepted" {
		return fmt.Errorf("release note was not accepted: status %s, reasons %v", result.Status, result.Reasons)
	}
	submittedAt := time.Now()
	if err := d.fleet.AwaitRevision(ctx, result.Revision); err != nil {
		return err
	}
	printDetail("note %s is revision %d, active on all %d VMs after %d ms", note.Id, result.Revision, len(d.fleet.VMs), time.Since(submittedAt).Milliseconds())
	return nil
}

var errCut = errors.New("connection cut by the demo")

// cuttingTransport cuts off the body of the first response after bytesLeft bytes.
type cuttingTransport struct {
	next      http.RoundTripper
	bytesLeft int
}

func (c *cuttingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.next.RoundTrip(r)
	if err == nil && c.bytesLeft > 0 {
		resp.Body = &cuttingBody{ReadCloser: resp.Body, bytesLeft: c.bytesLeft}
		c.bytesLeft = 0
	}
	return resp, err
}

// cuttingBody fails after bytesLeft bytes.
type cuttingBody struct {
	io.ReadCloser
	bytesLeft int
}

func (b *cuttingBody) Read(p []byte) (int, error) {
	if b.bytesLeft <= 0 {
		_ = b.Close()
		return 0, errCut
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.bytesLeft)])
	b.bytesLeft -= n
	return n, err
}

func (d *demoRun) resumeStream(ctx context.Context) error {
	caller := d.fleet.Client(0, 1)
	caller.HTTP = &http.Client{Transport: &cuttingTransport{next: &http.Transport{}, bytesLeft: 20_000}}
	var text strings.Builder
	received := 0
	result, err := caller.Stream(ctx, client.Completion{
		Model: fleet.ServiceReports, Prompt: "Draft a defect report for ladder HC-1042, length=200", MaxTokens: 500,
	}, func(t client.Token) error {
		if t.Index != received {
			return fmt.Errorf("received token %d instead of %d", t.Index, received)
		}
		received++
		text.WriteString(t.Text)
		return nil
	})
	if err != nil {
		return err
	}
	if result.Resumes == 0 || received != 200 {
		return fmt.Errorf("received %d tokens with %d resumes, want 200 tokens with at least one resume", received, result.Resumes)
	}
	want := expectedText(result.RequestID+"-1", 200)
	if text.String() != want {
		return eris.New("text is not that of a single generation")
	}
	printDetail("received %d tokens of one generation, each once, over %d connections", received, result.Resumes+1)
	printDetail("the text begins:%s ...", strings.Join(strings.SplitAfter(text.String(), " ")[:9], ""))
	return nil
}

// expectedText returns the text that a stand-in engine generates.
func expectedText(generation string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(llm.Text(generation, i))
	}
	return b.String()
}

func (d *demoRun) issueTagTwice(ctx context.Context) error {
	runsBefore := len(d.fleet.Ledgers[0].Runs())
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
	runs := len(d.fleet.Ledgers[0].Runs()) - runsBefore
	if runs != 1 || !second.Replayed || string(first.Body) != string(second.Body) {
		return fmt.Errorf("the ledger ran the call %d times; second response replayed: %v", runs, second.Replayed)
	}
	printDetail("the ledger ran the call once; both callers received %s", strings.TrimSpace(string(second.Body)))
	return nil
}

func (d *demoRun) issueWithTicket(ctx context.Context) error {
	ticket, err := d.fleet.Client(0).Ticket(ctx)
	if err != nil {
		return err
	}
	d.fleet.SetOutage(true)
	defer d.fleet.SetOutage(false)
	runsBefore := len(d.fleet.Ledgers[0].Runs())
	call := client.Call{
		Service: fleet.ServiceTags, Method: http.MethodPost, Path: "/tags", ContentType: "application/json",
		Body: []byte(`{"tag":"HC-1043","state":"issued"}`), Ticket: ticket,
	}
	for _, i := range []int{1, 0} {
		if _, err := d.fleet.Client(i).Do(ctx, call); err != nil {
			return err
		}
	}
	if runs := len(d.fleet.Ledgers[0].Runs()) - runsBefore; runs != 1 {
		return fmt.Errorf("the ledger ran the call %d times", runs)
	}
	printDetail("the call was sent through two VMs while the platform was unavailable, and ran once")
	return nil
}

func (d *demoRun) markLeaving(ctx context.Context) error {
	leaving := d.fleet.Engines[0]
	// The platform's list is out of date and still shows the engine as live.
	leaving.SetFaults(llm.Faults{Leaving: true})
	markedAt := time.Now()
	name := leaving.Backend.Name
	if err := fleet.Await(ctx, "the engine is marked as leaving", func() bool { return d.fleet.SeenLeaving(name) }); err != nil {
		return err
	}
	printDetail("%s is marked as leaving on all VMs of its data centre after %d ms", name, time.Since(markedAt).Milliseconds())
	startedBefore := leaving.Started()
	for i := range 6 {
		if _, err := d.fleet.Client(i%2).Stream(ctx, client.Completion{
			Model: fleet.ServiceReports, Prompt: "Valuation note, length=5",
		}, func(client.Token) error { return nil }); err != nil {
			return err
		}
	}
	for _, e := range d.fleet.Engines {
		printDetail("%s has started %d generations in total", e.Backend.Name, e.Started())
	}
	if n := leaving.Started() - startedBefore; n != 0 {
		return fmt.Errorf("the leaving engine received %d new generations", n)
	}
	return nil
}

// explainStall stalls the links of the engines in the middle of a stream and
// requests an explanation from another VM.
func (d *demoRun) explainStall(ctx context.Context) error {
	stalled := false
	result, err := d.fleet.Client(0).Stream(ctx, client.Completion{
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
	explanation, found := d.fleet.VMs[1].Explain(ctx, result.RequestID)
	if !found || explanation.Cause == "" {
		return fmt.Errorf("no cause found for request %s: %+v", result.RequestID, explanation)
	}
	for _, line := range strings.Split(strings.TrimSpace(explanation.Text()), "\n") {
		printDetail("| %s", line)
	}
	return nil
}

// stallLinks stalls the streams of all engines for the given time.
func (d *demoRun) stallLinks(pause time.Duration) {
	for i, e := range d.fleet.Engines {
		e.SetFaults(llm.Faults{StallStreams: true, Leaving: i == 0})
		time.AfterFunc(pause, func() { e.SetFaults(llm.Faults{Leaving: i == 0}) })
	}
}

func (d *demoRun) stopFleet(ctx context.Context) error {
	result := make(chan error, 1)
	go func() {
		r, err := d.fleet.Client(0).Stream(ctx, client.Completion{
			Model: fleet.ServiceReports, Prompt: "Last report of the day, length=150",
		}, func(client.Token) error { return nil })
		if err == nil && r.Tokens != 150 {
			err = fmt.Errorf("the last report has %d tokens, want 150", r.Tokens)
		}
		result <- err
	}()
	inFlight := func() bool { return d.fleet.VMs[0].View().Open > 0 }
	if err := fleet.Await(ctx, "the report is in progress", inFlight); err != nil {
		return err
	}
	if !d.fleet.Stop(ctx) {
		return eris.New("a VM cut off a request")
	}
	if err := <-result; err != nil {
		return err
	}
	printDetail("every VM finished its streams before it stopped; the report in progress is complete")
	return nil
}
