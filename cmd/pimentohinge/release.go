package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/operator"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

func init() {
	register(command{group: "release", name: "submit", help: "Submit a release note after showing what it changes.", setup: func(c *kingpin.CmdClause) func() error {
		o := operatorFlags(c)
		yes := c.Flag("yes", "Don't ask.").Bool()
		file := c.Arg("note", "File with the release note.").Required().String()
		return func() error { return submit(o, *file, *yes) }
	}})
	register(command{group: "release", name: "status", help: "Show which revision is in force in each data centre.", setup: func(c *kingpin.CmdClause) func() error {
		return table(c, statusRows, func(v *control.View) any { return statusRows(v) })
	}})
	register(command{group: "release", name: "log", help: "List the newest revisions.", setup: func(c *kingpin.CmdClause) func() error {
		o, format := operatorFlags(c), formatFlag(c)
		return func() error { return releaseLog(o, *format) }
	}})
	register(command{group: "release", name: "keyhash", help: "Print the hash under which a workspace's bearer key is configured.", setup: func(c *kingpin.CmdClause) func() error {
		key := c.Arg("bearer-key", "The key.").Required().String()
		return func() error {
			fmt.Println(chain.KeyHash(*key))
			return nil
		}
	}})
}

func submit(o operatorClient, file string, yes bool) error {
	f, err := os.Open(file)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	note, err := operator.ParseNote(f)
	_ = f.Close()
	if err != nil {
		return &exitError{code: exitUsage, err: fmt.Errorf("%s: %w", file, err)}
	}
	var before wire.Snapshot
	if err := o.get("/v1/configuration", nil, &before); err != nil {
		return err
	}
	if note.Base == 0 {
		note.Base = before.Number
	}
	for _, line := range diff(before, note) {
		fmt.Println(line)
	}
	if !yes && !confirmed() {
		return eris.New("not submitted")
	}
	body, err := json.Marshal(note)
	if err != nil {
		return eris.Wrap(err, "encode note")
	}
	var r operator.ReleaseResult
	if err := o.call(http.MethodPost, "/v1/releases", body, &r); err != nil {
		return err
	}
	if r.Status != operator.ReleaseAccepted {
		return eris.New(verdicts[r.Status] + " (revision " + strconv.Itoa(r.Revision) + ")\n  " + strings.Join(r.Reasons, "\n  "))
	}
	fmt.Printf("accepted as revision %d\n", r.Revision)
	return nil
}

var verdicts = map[operator.ReleaseStatus]string{
	operator.ReleaseConflict:            "conflict: other notes touched the same objects first:",
	operator.ReleaseInvalid:             "refused:",
	operator.ReleasePlatformUnavailable: "not accepted: the platform's object service did not answer",
	operator.ReleaseUnknown:             "unknown: the platform's answer was lost; submitting the same note again is safe",
}

func confirmed() bool {
	fmt.Print("submit? [y/N] ")
	line, _ := bufio.NewReader(os.Stdin).ReadString('\n')
	return strings.EqualFold(strings.TrimSpace(line), "y")
}

// diff lists what a note changes, one line for each object.
func diff(before wire.Snapshot, n wire.ReleaseNote) []string {
	old := objects(&before.State)
	var lines []string
	for name, text := range objects(n.Added) {
		lines = append(lines, "+ "+name+" "+text)
	}
	for name, text := range objects(n.Changed) {
		lines = append(lines, "~ "+name+" "+old[name]+" -> "+text)
	}
	for _, name := range chain.TouchedObjects(wire.ReleaseNote{Withdrawn: n.Withdrawn}) {
		lines = append(lines, "- "+name+" "+old[name])
	}
	sort.Strings(lines)
	return lines
}

// objects maps kind/name to the object's JSON.
func objects(o *wire.Objects) map[string]string {
	m := map[string]string{}
	if o == nil {
		return m
	}
	for _, x := range o.Services {
		m["service/"+x.Name] = compact(x)
	}
	for _, x := range o.Workspaces {
		m["workspace/"+x.Name] = compact(x)
	}
	for _, x := range o.Routes {
		m["route/"+x.Name] = compact(x)
	}
	return m
}

func compact(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// statusRows shows the lowest and the highest revision of each data centre.
func statusRows(v *control.View) [][]string {
	type span struct{ low, high, vms, silent int }
	spans := map[string]*span{}
	for _, m := range v.Members {
		s := spans[m.Vm.DataCentre]
		if s == nil {
			s = &span{low: m.Revision}
			spans[m.Vm.DataCentre] = s
		}
		if m.State != "alive" {
			s.silent++
			continue
		}
		s.vms++
		s.low, s.high = min(s.low, m.Revision), max(s.high, m.Revision)
	}
	names := make([]string, 0, len(spans))
	for n := range spans {
		names = append(names, n)
	}
	sort.Strings(names)
	rows := [][]string{{"DATA CENTRE", "IN FORCE EVERYWHERE", "HIGHEST", "VMS", "NOT REACHABLE"}}
	for _, n := range names {
		s := spans[n]
		rows = append(rows, []string{n, strconv.Itoa(s.low), strconv.Itoa(s.high), strconv.Itoa(s.vms), strconv.Itoa(s.silent)})
	}
	return rows
}

func releaseLog(o operatorClient, format string) error {
	var list []wire.Revision
	if err := o.get("/v1/releases", nil, &list); err != nil {
		return err
	}
	if format == formatJSON {
		return printJSON(list)
	}
	rows := [][]string{{"REVISION", "ACCEPTED", "AUTHOR", "NOTE", "TOUCHES"}}
	for _, r := range list {
		at := time.UnixMilli(int64(r.AcceptedUnixMs)).UTC().Format(time.RFC3339)
		rows = append(rows, []string{strconv.Itoa(r.Number), at, r.Note.Author, r.Note.Id, strings.Join(chain.TouchedObjects(r.Note), " ")})
	}
	return printTable(rows)
}
