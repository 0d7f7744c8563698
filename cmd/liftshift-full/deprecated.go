package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// deprecatedCommands are names of commands of before, which go on working, with today's.
var deprecatedCommands = map[string]string{
	"budgets":  "quotas",
	"council":  "consensus",
	"estate":   "handoff",
	"rehearse": "chaos",
}

// flagsWithValue are the flags that may stand before the command and take their value from the next argument.
var flagsWithValue = []string{"--file", "--socket"}

// renameDeprecated returns the arguments with today's name of the command, and warns once where one of before was given.
func renameDeprecated(arguments []string, warnings io.Writer) []string {
	for k := 0; k < len(arguments); k++ {
		argument := arguments[k]
		if slices.Contains(flagsWithValue, argument) {
			k++ // its value
			continue
		}
		if strings.HasPrefix(argument, "-") {
			continue
		}
		now, deprecated := deprecatedCommands[argument]
		if !deprecated {
			return arguments
		}
		fmt.Fprintf(warnings, "liftshift: the command %s is deprecated, use %s\n", argument, now)
		renamed := slices.Clone(arguments)
		renamed[k] = now
		return renamed
	}
	return arguments
}
