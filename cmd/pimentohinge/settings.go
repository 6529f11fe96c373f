package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pimentohinge/pimentohinge/internal/settings"
)

func init() {
	register(command{group: "settings", name: "check", help: "Check settings files and print every error.", setup: func(c *kingpin.CmdClause) func() error {
		files := c.Arg("file", "Settings file.").Required().Strings()
		commandName := c.Flag("for", "Command that the files are for: serve or gateway.").Default("serve").Enum("serve", "gateway")
		return func() error { return checkSettings(*files, *commandName) }
	}})
}

func checkSettings(files []string, commandName string) error {
	load := func(file string) error { _, err := settings.Load(file); return err }
	if commandName == "gateway" {
		load = func(file string) error { _, err := settings.LoadGateway(file); return err }
	}
	// All errors but the last are printed here. The last one is returned and printed
	// by run.
	var lastErr error
	for _, file := range files {
		if err := load(file); err != nil {
			if lastErr != nil {
				fmt.Println(lastErr)
			}
			lastErr = err
			continue
		}
		fmt.Printf("%s: good\n", file)
	}
	if lastErr != nil {
		return &exitError{code: exitUsage, err: lastErr}
	}
	return nil
}
