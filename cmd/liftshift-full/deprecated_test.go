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
		{"today's name", "", []string{"quotas", "show"}, []string{"quotas", "show"}},
		{"name of before", "liftshift: the command budgets is deprecated, use quotas\n", []string{"budgets", "show"}, []string{"quotas", "show"}},
		{"behind flags", "liftshift: the command estate is deprecated, use handoff\n", []string{"--file", "budgets", "--json", "estate", "explain", "council"},
			[]string{"--file", "budgets", "--json", "handoff", "explain", "council"}},
		{"as an operand", "", []string{"quotas", "explain", "council"}, []string{"quotas", "explain", "council"}},
		{"none", "", nil, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			var warnings bytes.Buffer
			assert.Equal(t, test.want, renameDeprecated(test.arguments, &warnings))
			assert.Equal(t, test.warning, warnings.String())
		})
	}
}

// Each command that a name of before stands for is there.
func TestDeprecatedCommands_LeadToCommands(t *testing.T) {
	cmd := root(nil)
	for was, now := range deprecatedCommands {
		found, _, err := cmd.Find([]string{now})
		assert.NoError(t, err, was)
		assert.Equal(t, now, found.Name(), was)
	}
}
