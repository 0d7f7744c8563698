package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRenameDeprecated_WarnsOnce(t *testing.T) {
	for _, test := range []struct {
		name, warning   string
		arguments, want []string
	}{
		{
			name:      "current name",
			arguments: []string{"quotas", "show"},
			want:      []string{"quotas", "show"},
		},
		{
			name:      "former name",
			warning:   "liftshift: the command budgets is deprecated, use quotas\n",
			arguments: []string{"budgets", "show"},
			want:      []string{"quotas", "show"},
		},
		{
			name:      "after flags",
			warning:   "liftshift: the command estate is deprecated, use handoff\n",
			arguments: []string{"--file", "budgets", "--json", "estate", "explain", "council"},
			want:      []string{"--file", "budgets", "--json", "handoff", "explain", "council"},
		},
		{
			name:      "as an operand",
			arguments: []string{"quotas", "explain", "council"},
			want:      []string{"quotas", "explain", "council"},
		},
		{name: "no arguments"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var warnings bytes.Buffer
			assert.Equal(t, test.want, renameDeprecated(test.arguments, &warnings))
			assert.Equal(t, test.warning, warnings.String())
		})
	}
}

// Each former name of a command maps to a command that exists.
func TestDeprecatedCommands_LeadToCommands(t *testing.T) {
	cmd := rootCommand(nil)
	for former, current := range deprecatedCommands {
		found, _, err := cmd.Find([]string{current})
		assert.NoError(t, err, former)
		assert.Equal(t, current, found.Name(), former)
	}
}
