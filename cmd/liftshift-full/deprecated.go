package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// deprecatedCommands maps the former names of commands, which still work, to the current ones.
var deprecatedCommands = map[string]string{
	"budgets":  "quotas",
	"council":  "consensus",
	"estate":   "handoff",
	"rehearse": "chaos",
}

// flagsWithValue are the flags that may precede the command and take their value from the next argument.
var flagsWithValue = []string{"--file", "--socket"}

// renameDeprecated returns the arguments with the current name of the command. It writes a warning if the command was
// given by its former name.
func renameDeprecated(arguments []string, warnings io.Writer) []string {
	for k := 0; k < len(arguments); k++ {
		argument := arguments[k]
		if slices.Contains(flagsWithValue, argument) {
			k++ // skip the value of the flag
			continue
		}
		if strings.HasPrefix(argument, "-") {
			continue
		}
		current, deprecated := deprecatedCommands[argument]
		if !deprecated {
			return arguments
		}
		fmt.Fprintf(warnings, "liftshift: the command %s is deprecated, use %s\n", argument, current)
		renamed := slices.Clone(arguments)
		renamed[k] = current
		return renamed
	}
	return arguments
}
