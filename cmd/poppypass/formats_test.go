package main

import (
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"poppypass/internal/platform/golden"
)

// flagName matches the flag names in a command's help, which has one line for each flag.
var flagName = regexp.MustCompile(`(?m)^ *(?:-., )?(--[a-z-]+)`)

// Operators' scripts depend on the names of commands and flags.
func TestCommandsAndFlags(t *testing.T) {
	var lines []string
	var walk func(*cobra.Command)
	walk = func(command *cobra.Command) {
		words := []string{command.CommandPath()}
		for _, match := range flagName.FindAllStringSubmatch(command.NonInheritedFlags().FlagUsages(), -1) {
			words = append(words, match[1])
		}
		lines = append(lines, strings.Join(words, " "))
		for _, sub := range command.Commands() {
			walk(sub)
		}
	}
	walk(rootCommand())
	golden.Lines(t, "commands", lines...)
}

func TestAnswerFormat(t *testing.T) {
	golden.JSONRoundTrip(t, "run", golden.Fill(new(runResponse)))
}
