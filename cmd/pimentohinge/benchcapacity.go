package main

import (
	"fmt"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pimentohinge/pimentohinge/internal/bench/capacity"
)

func init() {
	register(command{group: "bench", name: "capacity", help: "Measure how the cost of the control work grows with the fleet, for docs/CAPACITY.md.", setup: func(c *kingpin.CmdClause) func() error {
		seed := c.Flag("seed", "Random seed.").Default("1").Uint64()
		maxVMs := c.Flag("most", "Number of VMs in the largest fleet to measure.").Default("640").Int()
		format := formatFlag(c)
		return func() error {
			if *format == formatTable {
				fmt.Println("role | figure | size | value")
			}
			var err error
			capacity.Measure(*seed, *maxVMs, func(rows []capacity.Row) {
				if *format == formatJSON {
					err = printJSON(rows)
					return
				}
				for _, r := range rows {
					fmt.Printf("%s | %s | %s | %s\n", r.Role, r.Figure, r.Size, strconv.FormatFloat(r.Value, 'g', 4, 64))
				}
			})
			return err
		}
	}})
}
