package main

import (
	"fmt"
	"net/url"
	"os"
	"sort"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/internal/loganalysis"
)

// standardInput stands for standard input in a list of file names.
const standardInput = "-"

func init() {
	register(command{name: "explain", help: "Explain why a request was slow, stalled, refused, interrupted or ended with an unknown outcome. Queries a VM of pimentohinge serve, or reads log files of pimentohinge gateway.", setup: func(c *kingpin.CmdClause) func() error {
		client, format := operatorFlagsWithOptionalKey(c), formatFlag(c)
		workspace := c.Flag("workspace", "Explain requests of this workspace.").String()
		since := c.Flag("since", "Explain requests that started at most this long ago.").Default("1h").Duration()
		worst := c.Flag("worst", "Sort by this measure, highest first: stall.").Enum("", "stall")
		limit := c.Flag("most", "Maximum number of requests.").Default("20").Int()
		logs := c.Flag("logs", "Log file of a VM; repeat it for several VMs. - means standard input, which is also read when there is neither a file nor --key.").Strings()
		request := c.Arg("request", "Request id from the X-Request-Id header, or the attempt id of the users' platform.").String()
		return func() error {
			if len(*logs) > 0 || *client.key == "" {
				return explainLogs(*logs, *request, *format)
			}
			if *request != "" {
				return explainOne(client, *request, *format)
			}
			query := url.Values{
				"workspace":   {*workspace},
				"sinceUnixMs": {strconv.FormatInt(time.Now().Add(-*since).UnixMilli(), 10)},
				"most":        {strconv.Itoa(*limit)},
			}
			return explainMany(client, query, *worst, *format)
		}
	}})
}

// explainLogs explains a request from log files.
func explainLogs(files []string, request, format string) error {
	if request == "" {
		return eris.New("explain needs a request id to search for in log files, or --key to query a VM")
	}
	if len(files) == 0 {
		files = []string{standardInput}
	}
	logs := &loganalysis.Log{}
	for _, name := range files {
		if err := readLog(logs, name); err != nil {
			return err
		}
	}
	explanation := logs.Explain(request)
	if format == formatJSON {
		return printJSON(explanation)
	}
	fmt.Print(explanation.Text())
	return nil
}

func readLog(logs *loganalysis.Log, name string) error {
	if name == standardInput {
		return logs.Read(os.Stdin, "")
	}
	f, err := os.Open(name)
	if err != nil {
		return eris.Wrap(err, "open log file")
	}
	defer func() { _ = f.Close() }()
	return logs.Read(f, name)
}

func explainOne(client operatorClient, request, format string) error {
	var explanation incident.Explanation
	if err := client.get("/v1/explain/"+url.PathEscape(request), nil, &explanation); err != nil {
		return err
	}
	if format == formatJSON {
		return printJSON(explanation)
	}
	fmt.Print(explanation.Text())
	return nil
}

func explainMany(client operatorClient, query url.Values, worst, format string) error {
	var explanations []incident.Explanation
	if err := client.get("/v1/incidents", query, &explanations); err != nil {
		return err
	}
	if worst != "" {
		sort.SliceStable(explanations, func(i, j int) bool { return explanations[i].Timeline.StallMs > explanations[j].Timeline.StallMs })
	}
	if format == formatJSON {
		return printJSON(explanations)
	}
	for _, explanation := range explanations {
		fmt.Printf("%s\n%s\n", explanation.Request, explanation.Text())
	}
	return nil
}
