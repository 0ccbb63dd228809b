package main

import (
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"poppypass/internal/platform/golden"
)

// flagName finds the names of flags in a command's help, which has a line for each.
var flagName = regexp.MustCompile(`(?m)^ *(?:-., )?(--[a-z-]+)`)

// Scripts know commands by their names, and flags by theirs.
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
	golden.JSONRoundTrip(t, "run", golden.Fill(new(runAnswer)))
}
