package main

import (
	"fmt"
	"net/url"
	"sort"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pimentohinge/pimentohinge/internal/incident"
)

func init() {
	register(command{name: "explain", help: "Explain why a request was late, stalled, refused, interrupted or left unknown.", setup: func(c *kingpin.CmdClause) func() error {
		o, format := operatorFlags(c), formatFlag(c)
		workspace := c.Flag("workspace", "Explain requests of this workspace.").String()
		since := c.Flag("since", "Explain requests of this last time.").Default("1h").Duration()
		worst := c.Flag("worst", "Order by this measure: stall.").Enum("", "stall")
		most := c.Flag("most", "Largest number of requests.").Default("20").Int()
		request := c.Arg("request", "Request id, from the header X-Request-Id.").String()
		return func() error {
			if *request != "" {
				return explainOne(o, *request, *format)
			}
			q := url.Values{
				"workspace":   {*workspace},
				"sinceUnixMs": {strconv.FormatInt(time.Now().Add(-*since).UnixMilli(), 10)},
				"most":        {strconv.Itoa(*most)},
			}
			return explainMany(o, q, *worst, *format)
		}
	}})
}

func explainOne(o operatorClient, request, format string) error {
	var x incident.Explanation
	if err := o.get("/v1/explain/"+url.PathEscape(request), nil, &x); err != nil {
		return err
	}
	if format == formatJSON {
		return printJSON(x)
	}
	fmt.Print(x.Text())
	return nil
}

func explainMany(o operatorClient, q url.Values, worst, format string) error {
	var list []incident.Explanation
	if err := o.get("/v1/incidents", q, &list); err != nil {
		return err
	}
	if worst != "" {
		sort.SliceStable(list, func(i, j int) bool { return list[i].Timeline.StallMs > list[j].Timeline.StallMs })
	}
	if format == formatJSON {
		return printJSON(list)
	}
	for _, x := range list {
		fmt.Printf("%s\n%s\n", x.Request, x.Text())
	}
	return nil
}
