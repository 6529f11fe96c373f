package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/bench/load"
	"github.com/pimentohinge/pimentohinge/internal/bench/workload"
)

func init() {
	register(command{group: "bench", name: "load", help: "Send a workload to running VMs and check every response.", setup: setupBenchLoad})
}

func setupBenchLoad(c *kingpin.CmdClause) func() error {
	targets := c.Flag("target", "URL of a VM's interface for callers or of a load balancer; may be repeated.").Required().Strings()
	key := c.Flag("bearer", "The workspace's bearer key.").Required().String()
	service := c.Flag("service", "Model service.").Default("report-writer").String()
	file := c.Flag("workload", "Workload file.").Default("examples/workloads/harbottle.json").String()
	rate := c.Flag("rate", "Requests per second before time scaling.").Default("10").Float64()
	scale := c.Flag("time-scale", "Factor by which requests arrive faster than in the workload.").Default("1").Float64()
	duration := c.Flag("for", "How long new requests are started.").Default("30s").Duration()
	maxTokens := c.Flag("most-tokens", "Limit of the output tokens of a request; 0 means no limit.").Int()
	seed := c.Flag("seed", "Random seed for arrivals and lengths.").Default("1").Uint64()
	return func() error {
		spec, err := workload.Load(*file)
		if err != nil {
			return &exitError{code: exitUsage, err: err}
		}
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
		defer stop()
		result, err := load.Run(ctx, load.Options{
			Targets: *targets, Key: *key, Service: *service, Workload: spec, Rate: *rate, TimeScale: *scale,
			Until: time.Now().Add(*duration), MaxOutputTokens: *maxTokens, Seed: *seed,
			Progress: func(started, finished, failed int) {
				fmt.Fprintf(os.Stderr, "%d started, %d finished, %d failed\n", started, finished, failed)
			},
		})
		if err != nil {
			return &exitError{code: exitUsage, err: err}
		}
		if err := printJSON(result); err != nil {
			return err
		}
		if result.Wrong > 0 {
			return eris.Errorf("%d responses were incomplete or out of order", result.Wrong)
		}
		return nil
	}
}
