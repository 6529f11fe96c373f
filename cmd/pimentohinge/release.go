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
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/operator"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

func init() {
	register(command{group: "release", name: "submit", help: "Show what a release note changes and submit it.", setup: func(c *kingpin.CmdClause) func() error {
		client := operatorFlags(c)
		yes := c.Flag("yes", "Submit without asking for confirmation.").Bool()
		file := c.Arg("note", "File with the release note.").Required().String()
		return func() error { return submitNote(client, *file, *yes) }
	}})
	register(command{group: "release", name: "status", help: "Show the active revisions of each data centre.", setup: func(c *kingpin.CmdClause) func() error {
		return setupViewTable(c, statusRows, func(v *control.View) any { return statusRows(v) })
	}})
	register(command{group: "release", name: "log", help: "List the latest revisions.", setup: func(c *kingpin.CmdClause) func() error {
		client, format := operatorFlags(c), formatFlag(c)
		return func() error { return releaseLog(client, *format) }
	}})
	register(command{group: "release", name: "keyhash", help: "Print the hash of a workspace's bearer key, as the configuration stores it.", setup: func(c *kingpin.CmdClause) func() error {
		key := c.Arg("bearer-key", "Bearer key of the workspace.").Required().String()
		return func() error {
			fmt.Println(configchain.KeyHash(*key))
			return nil
		}
	}})
}

func submitNote(client operatorClient, file string, yes bool) error {
	f, err := os.Open(file)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	note, err := operator.ParseNote(f)
	_ = f.Close()
	if err != nil {
		return &exitError{code: exitUsage, err: fmt.Errorf("%s: %w", file, err)}
	}
	var current wire.Snapshot
	if err := client.get("/v1/configuration", nil, &current); err != nil {
		return err
	}
	if note.Base == 0 {
		note.Base = current.Number
	}
	for _, line := range diff(current, note) {
		fmt.Println(line)
	}
	if !yes && !confirmSubmit() {
		return eris.New("not submitted")
	}
	body, err := json.Marshal(note)
	if err != nil {
		return eris.Wrap(err, "encode note")
	}
	var result operator.ReleaseResult
	if err := client.call(http.MethodPost, "/v1/releases", body, &result); err != nil {
		return err
	}
	if result.Status != operator.ReleaseAccepted {
		return eris.New(releaseFailures[result.Status] + " (revision " + strconv.Itoa(result.Revision) + ")\n  " + strings.Join(result.Reasons, "\n  "))
	}
	fmt.Printf("accepted as revision %d\n", result.Revision)
	return nil
}

// releaseFailures maps the status of a note that was not accepted to a message. The
// reasons are printed after it.
var releaseFailures = map[operator.ReleaseStatus]string{
	operator.ReleaseConflict:            "conflict with another release note:",
	operator.ReleaseInvalid:             "refused:",
	operator.ReleasePlatformUnavailable: "not accepted: the platform's object service did not respond",
	operator.ReleaseUnknown:             "unknown: the platform's response was lost; submitting the same note again is safe",
}

func confirmSubmit() bool {
	fmt.Print("submit? [y/N] ")
	line, _ := bufio.NewReader(os.Stdin).ReadString('\n')
	return strings.EqualFold(strings.TrimSpace(line), "y")
}

// diff describes what a note changes, one line per object.
func diff(current wire.Snapshot, note wire.ReleaseNote) []string {
	old := objectTexts(&current.State)
	var lines []string
	for name, text := range objectTexts(note.Added) {
		lines = append(lines, "+ "+name+" "+text)
	}
	for name, text := range objectTexts(note.Changed) {
		lines = append(lines, "~ "+name+" "+old[name]+" -> "+text)
	}
	for _, name := range configchain.TouchedObjects(wire.ReleaseNote{Withdrawn: note.Withdrawn}) {
		lines = append(lines, "- "+name+" "+old[name])
	}
	sort.Strings(lines)
	return lines
}

// objectTexts returns the JSON of each object, keyed by kind/name.
func objectTexts(objects *wire.Objects) map[string]string {
	texts := map[string]string{}
	if objects == nil {
		return texts
	}
	for _, x := range objects.Services {
		texts["service/"+x.Name] = toJSON(x)
	}
	for _, x := range objects.Workspaces {
		texts["workspace/"+x.Name] = toJSON(x)
	}
	for _, x := range objects.Routes {
		texts["route/"+x.Name] = toJSON(x)
	}
	return texts
}

func toJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// statusRows returns one row per data centre with the lowest and the highest active
// revision of its reachable VMs.
func statusRows(view *control.View) [][]string {
	rows := [][]string{{"DATA CENTRE", "IN FORCE EVERYWHERE", "HIGHEST", "VMS", "NOT REACHABLE"}}
	for _, status := range view.RevisionsByDataCentre() {
		lowest, highest := "unknown", "unknown"
		if status.Alive > 0 {
			lowest, highest = strconv.Itoa(status.Lowest), strconv.Itoa(status.Highest)
		}
		rows = append(rows, []string{status.DataCentre, lowest, highest, strconv.Itoa(status.Alive), strconv.Itoa(status.NotReachable)})
	}
	return rows
}

func releaseLog(client operatorClient, format string) error {
	var revisions []wire.Revision
	if err := client.get("/v1/releases", nil, &revisions); err != nil {
		return err
	}
	if format == formatJSON {
		return printJSON(revisions)
	}
	rows := [][]string{{"REVISION", "ACCEPTED", "AUTHOR", "NOTE", "TOUCHES"}}
	for _, revision := range revisions {
		acceptedAt := time.UnixMilli(int64(revision.AcceptedUnixMs)).UTC().Format(time.RFC3339)
		rows = append(rows, []string{strconv.Itoa(revision.Number), acceptedAt, revision.Note.Author, revision.Note.Id, strings.Join(configchain.TouchedObjects(revision.Note), " ")})
	}
	return printTable(rows)
}
