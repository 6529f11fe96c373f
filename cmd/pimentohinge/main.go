// Command pimentohinge runs entry VMs, stand-ins for the systems around them, and
// the operators' tools. Each file registers its commands in its init function.
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

// exitError is an error that makes the process exit with a certain code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

// command is a command or subcommand of the program.
type command struct {
	// group is the name of the parent command, or empty.
	group string
	name  string
	help  string
	// setup declares flags and arguments and returns the function that runs the
	// command after they have been parsed.
	setup func(c *kingpin.CmdClause) func() error
}

var commands []command

func register(c command) { commands = append(commands, c) }

// groupHelp maps each command that has subcommands to its help text.
var groupHelp = map[string]string{
	"settings": "Work with settings files.",
	"standin":  "Run a small stand-in for an external system, for trials and tests.",
	"release":  "Change and show the configuration.",
	"bench":    "Measure the decision logic and running VMs.",
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	app := kingpin.New("pimentohinge", "Entry VMs that place generations of unknown length on heavily loaded model engines.")
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
