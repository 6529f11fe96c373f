package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/pimentohinge/pimentohinge/internal/bench/policy"
	"github.com/pimentohinge/pimentohinge/internal/bench/workload"
)

const formatSVG = "svg"

func init() {
	register(command{group: "bench", name: "policy", help: "Compare policies for choosing backends in a simulation with a virtual clock.", setup: setupBenchPolicy})
}

func setupBenchPolicy(c *kingpin.CmdClause) func() error {
	deployment := c.Flag("deployment", "Deployment: harbottle or klepsydra.").Required().Enum(policy.Deployments()...)
	file := c.Flag("workload", "Workload file; by default examples/workloads/DEPLOYMENT.json.").String()
	names := c.Flag("policies", "Comma-separated list of policies.").Default(strings.Join(policy.Policies(), ",")).String()
	seed := c.Flag("seed", "Random seed.").Default("1").Uint64()
	load := c.Flag("load", "Load factor; by default that of the workload.").Float64()
	confidence := c.Flag("confidence", "Margin that admission keeps below an engine's memory capacity, in standard deviations; by default that of the deployment.").Float64()
	minutes := c.Flag("minutes", "Simulated time in minutes.").Default("10").Float64()
	format := c.Flag("format", "Output format: table, json or svg.").Default(formatTable).Enum(formatTable, formatJSON, formatSVG)
	return func() error {
		if *minutes <= 0 || *minutes > 24*60 {
			return &exitError{code: exitUsage, err: eris.New("--minutes must be above 0 and at most 1440")}
		}
		if *file == "" {
			*file = "examples/workloads/" + *deployment + ".json"
		}
		spec, err := workload.Load(*file)
		if err != nil {
			return &exitError{code: exitUsage, err: err}
		}
		report, err := policy.Run(policy.Options{
			Deployment: *deployment, Workload: spec, Load: *load, Seed: *seed, Confidence: *confidence,
			Length: time.Duration(*minutes * float64(time.Minute)), Policies: strings.Split(*names, ","),
			Progress: func(name string, done float64) {
				if done > 0 {
					fmt.Fprintf(os.Stderr, "%s %.0f%%\n", name, 100*done)
				}
			},
		})
		if err != nil {
			return &exitError{code: exitUsage, err: err}
		}
		return printPolicies(report, *format)
	}
}

func printPolicies(report policy.Report, format string) error {
	switch format {
	case formatJSON:
		return printJSON(report)
	case formatSVG:
		return plotPolicies(os.Stdout, report)
	}
	fmt.Printf("deployment %s, workload %s, load %.2f, seed %d\n", report.Deployment, report.Workload, report.Load, report.Seed)
	formatFloat := func(x float64, digits int) string { return strconv.FormatFloat(x, 'f', digits, 64) }
	rows := [][]string{{
		"POLICY", "STALL S", "STALL P99", "PREEMPTIONS", "GAP P95 MS", "GAP P99 MS", "FIRST P50", "FIRST P95",
		"TOKENS/S", "FINISHED", "REFUSED", "INTERRUPTED", "CROSS MB", "WORST SHARE",
	}}
	for _, result := range report.Policies {
		rows = append(rows, []string{
			result.Name, formatFloat(result.StallSecondsTotal, 1), formatFloat(result.StallP99Seconds, 2), strconv.Itoa(result.Preemptions), formatFloat(result.InterTokenP95Ms, 1),
			formatFloat(result.InterTokenP99Ms, 1), formatFloat(result.FirstTokenP50, 3), formatFloat(result.FirstTokenP95, 3), formatFloat(result.TokensPerSecond, 0),
			strconv.Itoa(result.Finished), strconv.Itoa(result.Refused), strconv.Itoa(result.Interrupted),
			formatFloat(float64(result.CrossRegionBytes)/1e6, 1), formatFloat(result.WorstWorkspaceShare, 2),
		})
	}
	return printTable(rows)
}

// plotPolicies writes an SVG image with bar charts of stall time, preemptions and
// time between tokens side by side.
func plotPolicies(w io.Writer, report policy.Report) error {
	measures := []struct {
		title string
		value func(policy.Result) float64
	}{
		{"stall time, s", func(p policy.Result) float64 { return p.StallSecondsTotal }},
		{"preemptions", func(p policy.Result) float64 { return float64(p.Preemptions) }},
		{"between tokens p99, ms", func(p policy.Result) float64 { return p.InterTokenP99Ms }},
	}
	canvas := vgsvg.New(vg.Length(len(measures))*3.2*vg.Inch, 3*vg.Inch)
	tiles := draw.Tiles{Rows: 1, Cols: len(measures), PadX: 10, PadTop: 6, PadBottom: 6, PadLeft: 6, PadRight: 6}
	drawCanvas := draw.New(canvas)
	for i, measure := range measures {
		chart := plot.New()
		chart.Title.Text = measure.title
		values := plotter.Values{}
		names := []string{}
		for _, result := range report.Policies {
			values = append(values, measure.value(result))
			names = append(names, result.Name)
		}
		bars, err := plotter.NewBarChart(values, 18)
		if err != nil {
			return eris.Wrap(err, "create bar chart")
		}
		chart.Add(bars)
		chart.NominalX(names...)
		chart.X.Tick.Label.Rotation = 0.6
		chart.X.Tick.Label.XAlign = -0.9
		chart.Draw(tiles.At(drawCanvas, i, 0))
	}
	_, err := canvas.WriteTo(w)
	return eris.Wrap(err, "write plot")
}
