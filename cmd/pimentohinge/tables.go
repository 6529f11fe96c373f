package main

import (
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

func init() {
	register(command{name: "vms", help: "List the entry VMs that a VM knows.", setup: func(c *kingpin.CmdClause) func() error {
		return table(c, vmRows, func(v *control.View) any { return v.Members })
	}})
	register(command{name: "backends", help: "List the backend servers that a VM knows.", setup: func(c *kingpin.CmdClause) func() error {
		return table(c, backendRows, func(v *control.View) any { return v.Backends })
	}})
	register(command{name: "workspaces", help: "List the workspaces of the configuration in force.", setup: func(c *kingpin.CmdClause) func() error {
		o, format := operatorFlags(c), formatFlag(c)
		return func() error {
			var s wire.Snapshot
			if err := o.get("/v1/configuration", nil, &s); err != nil {
				return err
			}
			if *format == formatJSON {
				return printJSON(s.State.Workspaces)
			}
			return printTable(workspaceRows(s))
		}
	}})
}

// table prints a part of a VM's view.
func table(c *kingpin.CmdClause, rows func(*control.View) [][]string, raw func(*control.View) any) func() error {
	o, format := operatorFlags(c), formatFlag(c)
	return func() error {
		var v control.View
		if err := o.get("/v1/view", nil, &v); err != nil {
			return err
		}
		if *format == formatJSON {
			return printJSON(raw(&v))
		}
		return printTable(rows(&v))
	}
}

func vmRows(v *control.View) [][]string {
	rows := [][]string{{"VM", "REGION", "DATA CENTRE", "STATE", "REVISION", "INCARNATION"}}
	for _, m := range v.Members {
		rows = append(rows, []string{
			m.Vm.Name, m.Vm.Region, m.Vm.DataCentre, m.State, strconv.Itoa(m.Revision), strconv.Itoa(m.Incarnation),
		})
	}
	return rows
}

func backendRows(v *control.View) [][]string {
	rows := [][]string{{"BACKEND", "SERVICE", "DATA CENTRE", "STATE", "ADMITTER", "BLOCKS", "RUNNING", "WAITING", "PREEMPTIONS"}}
	for _, b := range v.Backends {
		state := b.State
		if b.Leaving {
			state = "leaving"
		}
		if !b.Reachable {
			state = "unreachable"
		}
		r := b.Report
		rows = append(rows, []string{
			b.Name, b.Service, b.DataCentre, state, b.Admitter,
			strconv.Itoa(r.UsedBlocks) + "/" + strconv.Itoa(r.CapacityBlocks),
			strconv.Itoa(r.Running) + "/" + strconv.Itoa(r.Slots), strconv.Itoa(r.Waiting), strconv.Itoa(r.Preemptions),
		})
	}
	return rows
}

func workspaceRows(s wire.Snapshot) [][]string {
	rows := [][]string{{"WORKSPACE", "REQUESTS/S", "CONCURRENT", "WEIGHT", "SERVICES"}}
	for _, w := range s.State.Workspaces {
		services := ""
		for i, name := range w.Services {
			if i > 0 {
				services += ","
			}
			services += name
		}
		rows = append(rows, []string{
			w.Name, strconv.Itoa(w.RequestsPerSecond), strconv.Itoa(w.ConcurrentRequests), strconv.Itoa(w.Weight), services,
		})
	}
	return rows
}
