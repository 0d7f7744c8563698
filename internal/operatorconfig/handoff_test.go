package operatorconfig

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const grouped = "store {\n directory = \"/d\"\n}\ncluster {\n name = \"f\"\n address = \"127.0.0.1:1\"\n seeds = [\"127.0.0.1:1\"]\n founders = [\"a\", \"b\", \"c\"]\n}\n"

func TestParse_Handoff(t *testing.T) {
	f, err := Parse([]byte(grouped+"handoff {\n condition = \"replicas' disks\"\n adopt = [\"look\"]\n unreachable = \"alone\"\n copies = 1\n}"), "f")
	require.NoError(t, err)
	assert.Equal(t, []any{false, true, 1, true, []string{"look"}, 1}, []any{f.Handoff.WaitForOwnDisk, f.Handoff.CopiesOnDisk, f.Handoff.Copies, f.Handoff.SendWithoutReplicas, f.Handoff.AdoptClasses, f.Cluster.Consensus.Copies})
	usual, err := Parse([]byte(grouped+"handoff {}"), "f")
	require.NoError(t, err)
	assert.Equal(t, []any{true, false, 2}, []any{usual.Handoff.WaitForOwnDisk, usual.Handoff.CopiesOnDisk, usual.Handoff.Copies})
	assert.Contains(t, f.Differs(usual), "handoff")
	for text, want := range map[string]string{
		"handoff {}": "needs a consensus group",
		grouped + "handoff {\n condition = \"never\"\n}":     "f:11:14: condition must be",
		grouped + "handoff {\n unreachable = \"perhaps\"\n}": "f:11:16: unreachable must be",
		grouped + "handoff {\n copies = 9\n}":                "f:11:11: copies must be from 1 to 3",
	} {
		_, err := Parse([]byte(text), "f")
		assert.ErrorContains(t, err, want)
	}
}
