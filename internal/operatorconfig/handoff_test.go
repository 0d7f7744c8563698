package operatorconfig

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// withConsensus is the beginning of a file with a store and a consensus group; it ends with line 9.
const withConsensus = `store {
 directory = "/d"
}
cluster {
 name = "f"
 address = "127.0.0.1:1"
 seeds = ["127.0.0.1:1"]
 founders = ["a", "b", "c"]
}
`

func TestParse_Handoff(t *testing.T) {
	const handoff = `handoff {
 condition = "replicas' disks"
 adopt = ["look"]
 unreachable = "alone"
 copies = 1
}`
	f, err := Parse([]byte(withConsensus+handoff), "f")
	require.NoError(t, err)
	assert.Equal(t, []any{false, true, 1}, []any{f.Handoff.WaitForOwnDisk, f.Handoff.CopiesOnDisk, f.Handoff.Copies})
	assert.Equal(t, []any{true, []string{"look"}, 1},
		[]any{f.Handoff.SendWithoutReplicas, f.Handoff.AdoptClasses, f.Cluster.Consensus.Copies})
	defaults, err := Parse([]byte(withConsensus+"handoff {}"), "f")
	require.NoError(t, err)
	assert.Equal(t, []any{true, false, 2},
		[]any{defaults.Handoff.WaitForOwnDisk, defaults.Handoff.CopiesOnDisk, defaults.Handoff.Copies})
	assert.Contains(t, f.ChangesNeedingRestart(defaults), "handoff")
	for text, want := range map[string]string{
		"handoff {}": "needs a consensus group",
		withConsensus + "handoff {\n condition = \"never\"\n}":     "f:11:14: condition must be",
		withConsensus + "handoff {\n unreachable = \"perhaps\"\n}": "f:11:16: unreachable must be",
		withConsensus + "handoff {\n copies = 9\n}":                "f:11:11: copies must be from 1 to 3",
	} {
		_, err := Parse([]byte(text), "f")
		assert.ErrorContains(t, err, want, text)
	}
}
