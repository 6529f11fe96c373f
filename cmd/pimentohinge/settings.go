package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pimentohinge/pimentohinge/internal/settings"
)

func init() {
	register(command{group: "settings", name: "check", help: "Check settings files and print every fault.", setup: func(c *kingpin.CmdClause) func() error {
		files := c.Arg("file", "Settings file.").Required().Strings()
		program := c.Flag("for", "Command that the files are for: serve or gateway.").Default("serve").Enum("serve", "gateway")
		return func() error { return checkSettings(*files, *program) }
	}})
}

func checkSettings(files []string, program string) error {
	load := func(f string) error { _, err := settings.Load(f); return err }
	if program == "gateway" {
		load = func(f string) error { _, err := settings.LoadGateway(f); return err }
	}
	var first error
	for _, f := range files {
		if err := load(f); err != nil {
			if first != nil {
				fmt.Println(first)
			}
			first = err
			continue
		}
		fmt.Printf("%s: good\n", f)
	}
	if first != nil {
		return &exitError{code: exitUsage, err: first}
	}
	return nil
}
