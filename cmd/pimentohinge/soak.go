package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/soak"
)

func init() {
	register(command{name: "soak", help: "Run gateway processes under random faults and check every request.", setup: setupSoak})
}

func setupSoak(c *kingpin.CmdClause) func() error {
	seed := c.Flag("seed", "Random seed for faults and requests.").Default("1").Uint64()
	duration := c.Flag("for", "How long faults are injected.").Default("50s").Duration()
	vms := c.Flag("vms", "Number of entry VMs.").Default("3").Int()
	engines := c.Flag("engines", "Number of engines.").Default("8").Int()
	callers := c.Flag("callers", "Number of callers.").Default("66").Int()
	profile := c.Flag("faults", "Set of faults: "+strings.Join(soak.ProfileNames(), ", ")+".").Default("mixed").String()
	program := c.Flag("program", "Program that the VMs run; by default this one.").String()
	keep := c.Flag("keep", "Directory for the settings and logs of the VMs; by default they are removed.").String()
	return func() error {
		opts := soak.Options{
			Seed: *seed, Duration: *duration, VMs: *vms, Engines: *engines, Callers: *callers, Profile: *profile, Program: *program, Dir: *keep,
			Progress: func(line string) { fmt.Fprintln(os.Stderr, line) },
		}
		return runSoak(opts)
	}
}

func runSoak(opts soak.Options) error {
	if opts.Program == "" {
		program, err := os.Executable()
		if err != nil {
			return eris.Wrap(err, "find this program")
		}
		opts.Program = program
	}
	if opts.Dir == "" {
		dir, err := os.MkdirTemp("", "pimentohinge-soak-")
		if err != nil {
			return eris.Wrap(err, "create directory")
		}
		defer func() { _ = os.RemoveAll(dir) }()
		opts.Dir = dir
	} else if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
		return eris.Wrap(err, "create directory")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := soak.Run(ctx, opts)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	fmt.Print(report)
	if len(report.Violations) > 0 {
		return eris.Errorf("%d promises were broken", len(report.Violations))
	}
	return nil
}
