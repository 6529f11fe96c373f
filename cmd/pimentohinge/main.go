// Command pimentohinge runs an entry VM, its stand-ins and the operators'
// tools. Each command is in a file of its own and registers itself.
package main

import (
	"errors"
	"fmt"
	"os"
	"sort"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// exitError is an error with an exit code of its own.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

// command is one command of the program.
type command struct {
	// group is the command's parent; empty for none.
	group string
	// name and help describe the command.
	name string
	help string
	// setup adds flags and arguments and returns what the command does.
	setup func(c *kingpin.CmdClause) func() error
}

var commands []command

func register(c command) { commands = append(commands, c) }

// groupHelp are the commands that have commands of their own.
var groupHelp = map[string]string{
	"settings": "Work with settings files.",
	"standin":  "Run a small stand-in of an outside system, for trials and tests.",
	"release":  "Change and look at the configuration.",
	"bench":    "Measure decisions and running VMs.",
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	app := kingpin.New("pimentohinge", "Serves generations of unknown length on crowded engines.")
	app.HelpFlag.Short('h')
	actions := map[string]func() error{}
	parents := map[string]*kingpin.CmdClause{}
	sort.SliceStable(commands, func(i, j int) bool {
		return commands[i].group+commands[i].name < commands[j].group+commands[j].name
	})
	for _, cmd := range commands {
		if cmd.group == "" {
			clause := app.Command(cmd.name, cmd.help)
			actions[cmd.name] = cmd.setup(clause)
			continue
		}
		if parents[cmd.group] == nil {
			parents[cmd.group] = app.Command(cmd.group, groupHelp[cmd.group])
		}
		clause := parents[cmd.group].Command(cmd.name, cmd.help)
		actions[cmd.group+" "+cmd.name] = cmd.setup(clause)
	}
	chosen, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "pimentohinge: %v, try --help\n", err)
		return exitUsage
	}
	if err := actions[chosen](); err != nil {
		fmt.Fprintln(os.Stderr, err)
		var withCode *exitError
		if errors.As(err, &withCode) {
			return withCode.code
		}
		return exitFailed
	}
	return 0
}
