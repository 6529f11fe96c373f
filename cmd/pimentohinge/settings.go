package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pimentohinge/pimentohinge/internal/settings"
)

func init() {
	register(command{group: "settings", name: "check", help: "Check settings files and print every fault.", setup: func(c *kingpin.CmdClause) func() error {
		files := c.Arg("file", "Settings file.").Required().Strings()
		return func() error { return checkSettings(*files) }
	}})
}

func checkSettings(files []string) error {
	var first error
	for _, f := range files {
		if _, err := settings.Load(f); err != nil {
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
