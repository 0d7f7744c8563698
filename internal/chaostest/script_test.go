package chaostest

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func writeScript(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "drill.hcl")
	require.NoError(t, os.WriteFile(path, []byte(text+"\n"), 0o600))
	return path
}

func readScript(t *testing.T, text string) *Script {
	t.Helper()
	s, err := ReadScript(writeScript(t, text))
	require.NoError(t, err)
	return s
}

func TestReadScript_RefusesBadScripts(t *testing.T) {
	for name, bad := range map[string]string{
		"no controllers":     "controllers = 0\nlength = \"1s\"",
		"past the length":    "controllers = 2\nlength = \"1s\"\nstep \"2s\" { heal = true }",
		"unknown controller": "controllers = 2\nlength = \"1s\"\nstep \"0s\" { kill = [\"c7\"] }",
		"unknown executor":   "controllers = 2\nlength = \"1s\"\nstep \"0s\" { drain = [\"s1\"] }",
		"bad length":         "controllers = 2\nlength = \"x\"",
		"group, no store":    "controllers = 3\nlength = \"1s\"\nfounders = 3",
		"engines, executors": "controllers = 2\nlength = \"1s\"\nengines = 2\nexecutors = 2",
		"parts, partitions":  "controllers = 2\nlength = \"1s\"\nstep \"0s\" {\n parts = [[\"c0\"]]\n partitions = [[\"c1\"]]\n}",
	} {
		_, err := ReadScript(writeScript(t, bad))
		assert.Error(t, err, name)
	}
}

// A script with the names of before means the same as one with today's, and says which of its names are deprecated, each once.
func TestReadScript_TakesDeprecatedNames(t *testing.T) {
	const now = `
controllers = 3
executors   = 2
cluster     = "probe = \"200ms\""
length      = "4s"
step "1s" { partitions = [["c0"], ["c1"]] }
step "2s" { duplicate = 0.5 }
step "3s" { partitions = [["c2"], ["c1"]] }
`
	before := strings.NewReplacer("executors", "engines", "cluster", "fleet", "partitions", "parts", "duplicate", "twice").Replace(now)
	today, old := readScript(t, now), readScript(t, before)
	assert.Empty(t, today.Deprecated)
	assert.Equal(t, []string{"engines (now executors)", "fleet (now cluster)", "parts (now partitions)", "twice (now duplicate)"}, old.Deprecated)
	assert.Equal(t, 2, old.Executors)
	assert.Equal(t, today.Cluster, old.Cluster)
	for k := range today.Steps {
		assert.Equal(t, today.Steps[k].String(), old.Steps[k].String())
	}
	assert.Equal(t, [][]string{{"c0"}, {"c1"}}, old.Steps[0].Partitions)
	assert.Equal(t, 0.5, old.Steps[1].Duplicate)
	assert.Equal(t, 2*time.Second, old.Steps[1].at)
}

// A drill with names of before is played as ever, after one warning.
func TestPlay_WarnsOfDeprecatedNames(t *testing.T) {
	program := buildFaultyPrograms(t)
	s := readScript(t, "controllers = 2\nengines = 2\nclients = 1\nlength = \"500ms\"\nseed = 5\nstep \"100ms\" { twice = 0.1 }\nstep \"200ms\" { twice = 0.2 }")
	var output bytes.Buffer
	result, err := Play(s, program, t.TempDir(), &output)
	require.NoError(t, err, output.String())
	assert.Empty(t, result.Violations)
	assert.Equal(t, 1, strings.Count(output.String(), "deprecated"), output.String())
	assert.Contains(t, output.String(), "warning: the drill uses deprecated names: engines (now executors), twice (now duplicate)\n")
}

// The drill that is shipped has today's names.
func TestReadScript_ReadsShippedDrill(t *testing.T) {
	s, err := ReadScript("../../deploy/drill.hcl")
	require.NoError(t, err)
	assert.Empty(t, s.Deprecated)
	assert.Equal(t, 3, s.Executors)
	assert.NotEmpty(t, s.Steps)
}
