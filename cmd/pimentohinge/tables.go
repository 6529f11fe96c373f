package main

import (
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

func init() {
	register(command{name: "vms", help: "List the entry VMs known to a VM.", setup: func(c *kingpin.CmdClause) func() error {
		return setupViewTable(c, vmRows, func(v *control.View) any { return v.Members })
	}})
	register(command{name: "backends", help: "List the backend servers known to a VM.", setup: func(c *kingpin.CmdClause) func() error {
		return setupViewTable(c, backendRows, func(v *control.View) any { return v.Backends })
	}})
	register(command{name: "workspaces", help: "List the workspaces of the active configuration.", setup: func(c *kingpin.CmdClause) func() error {
		client, format := operatorFlags(c), formatFlag(c)
		return func() error {
			var snapshot wire.Snapshot
			if err := client.get("/v1/configuration", nil, &snapshot); err != nil {
				return err
			}
			if *format == formatJSON {
				return printJSON(snapshot.State.Workspaces)
			}
			return printTable(workspaceRows(snapshot))
		}
	}})
}

// setupViewTable sets up a command that prints a part of a VM's view: rows as a
// table, or raw as JSON.
func setupViewTable(c *kingpin.CmdClause, rows func(*control.View) [][]string, raw func(*control.View) any) func() error {
	client, format := operatorFlags(c), formatFlag(c)
	return func() error {
		var view control.View
		if err := client.get("/v1/view", nil, &view); err != nil {
			return err
		}
		if *format == formatJSON {
			return printJSON(raw(&view))
		}
		return printTable(rows(&view))
	}
}

func vmRows(view *control.View) [][]string {
	rows := [][]string{{"VM", "REGION", "DATA CENTRE", "STATE", "REVISION", "INCARNATION"}}
	for _, member := range view.Members {
		rows = append(rows, []string{
			member.Vm.Name, member.Vm.Region, member.Vm.DataCentre, member.State, strconv.Itoa(member.Revision), strconv.Itoa(member.Incarnation),
		})
	}
	return rows
}

func backendRows(view *control.View) [][]string {
	rows := [][]string{{"BACKEND", "SERVICE", "DATA CENTRE", "STATE", "ADMITTER", "BLOCKS", "RUNNING", "WAITING", "PREEMPTIONS"}}
	for _, backend := range view.Backends {
		state := backend.State
		if backend.Leaving {
			state = "leaving"
		}
		if !backend.Reachable {
			state = "unreachable"
		}
		report := backend.Report
		rows = append(rows, []string{
			backend.Name, backend.Service, backend.DataCentre, state, backend.Admitter,
			strconv.Itoa(report.UsedBlocks) + "/" + strconv.Itoa(report.CapacityBlocks),
			strconv.Itoa(report.Running) + "/" + strconv.Itoa(report.Slots), strconv.Itoa(report.Waiting), strconv.Itoa(report.Preemptions),
		})
	}
	return rows
}

func workspaceRows(snapshot wire.Snapshot) [][]string {
	rows := [][]string{{"WORKSPACE", "REQUESTS/S", "CONCURRENT", "WEIGHT", "SERVICES"}}
	for _, workspace := range snapshot.State.Workspaces {
		services := ""
		for i, name := range workspace.Services {
			if i > 0 {
				services += ","
			}
			services += name
		}
		rows = append(rows, []string{
			workspace.Name, strconv.Itoa(workspace.RequestsPerSecond), strconv.Itoa(workspace.ConcurrentRequests), strconv.Itoa(workspace.Weight), services,
		})
	}
	return rows
}
