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
	register(command{group: "bench", name: "load", help: "Drive running VMs as callers would, and check every answer.", setup: setupBenchLoad})
}

func setupBenchLoad(c *kingpin.CmdClause) func() error {
	targets := c.Flag("target", "URL of a VM's callers' interface or of a balancer; may be repeated.").Required().Strings()
	key := c.Flag("bearer", "The workspace's bearer key.").Required().String()
	service := c.Flag("service", "Model service.").Default("report-writer").String()
	file := c.Flag("workload", "Workload file.").Default("examples/workloads/harbottle.json").String()
	rate := c.Flag("rate", "Requests a second before scaling.").Default("10").Float64()
	scale := c.Flag("time-scale", "How much faster than the workload's own time.").Default("1").Float64()
	length := c.Flag("for", "How long requests start.").Default("30s").Duration()
	most := c.Flag("most-tokens", "Cut outputs at this length; 0 means no cut.").Int()
	seed := c.Flag("seed", "Seed of arrivals and lengths.").Default("1").Uint64()
	return func() error {
		w, err := workload.Load(*file)
		if err != nil {
			return &exitError{code: exitUsage, err: err}
		}
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
		defer stop()
		r, err := load.Run(ctx, load.Options{
			Targets: *targets, Key: *key, Service: *service, Workload: w, Rate: *rate, TimeScale: *scale,
			Until: time.Now().Add(*length), MaxOutputTokens: *most, Seed: *seed,
			Progress: func(started, finished, failed int) {
				fmt.Fprintf(os.Stderr, "%d started, %d finished, %d failed\n", started, finished, failed)
			},
		})
		if err != nil {
			return &exitError{code: exitUsage, err: err}
		}
		if err := printJSON(r); err != nil {
			return err
		}
		if r.Wrong > 0 {
			return eris.Errorf("%d answers were incomplete or out of order", r.Wrong)
		}
		return nil
	}
}
