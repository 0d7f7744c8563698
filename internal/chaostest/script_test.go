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

// writeScript writes a drill script to a file and returns its path.
func writeScript(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "drill.hcl")
	require.NoError(t, os.WriteFile(path, []byte(text+"\n"), 0o600))
	return path
}

// readScript returns the drill script with a text, which must be valid.
func readScript(t *testing.T, text string) *Script {
	t.Helper()
	script, err := ReadScript(writeScript(t, text))
	require.NoError(t, err)
	return script
}

// ReadScript rejects scripts with values that are out of range, inconsistent, or name processes that don't exist.
func TestReadScript_RejectsInvalidScripts(t *testing.T) {
	for name, invalid := range map[string]string{
		"no controllers":                           "controllers = 0\nlength = \"1s\"",
		"step past the length":                     "controllers = 2\nlength = \"1s\"\nstep \"2s\" { heal = true }",
		"unknown controller":                       "controllers = 2\nlength = \"1s\"\nstep \"0s\" { kill = [\"c7\"] }",
		"unknown executor":                         "controllers = 2\nlength = \"1s\"\nstep \"0s\" { drain = [\"s1\"] }",
		"malformed length":                         "controllers = 2\nlength = \"x\"",
		"consensus group without store":            "controllers = 3\nlength = \"1s\"\nfounders = 3",
		"deprecated and current name of executors": "controllers = 2\nlength = \"1s\"\nengines = 2\nexecutors = 2",
		"deprecated and current name of partitions": "controllers = 2\nlength = \"1s\"\n" +
			"step \"0s\" {\n parts = [[\"c0\"]]\n partitions = [[\"c1\"]]\n}",
	} {
		_, err := ReadScript(writeScript(t, invalid))
		assert.Error(t, err, "accepted: %s", name)
	}
}

// A script with deprecated names has the same meaning as one with the current names, and lists each deprecated name
// once.
func TestReadScript_AcceptsDeprecatedNames(t *testing.T) {
	const currentText = `
controllers = 3
executors   = 2
cluster     = "probe = \"200ms\""
length      = "4s"
step "1s" { partitions = [["c0"], ["c1"]] }
step "2s" { duplicate = 0.5 }
step "3s" { partitions = [["c2"], ["c1"]] }
`
	deprecatedText := strings.NewReplacer("executors", "engines", "cluster", "fleet",
		"partitions", "parts", "duplicate", "twice").Replace(currentText)
	current, deprecated := readScript(t, currentText), readScript(t, deprecatedText)
	assert.Empty(t, current.Deprecated)
	assert.Equal(t, []string{
		"engines (now executors)", "fleet (now cluster)", "parts (now partitions)", "twice (now duplicate)",
	}, deprecated.Deprecated)
	assert.Equal(t, 2, deprecated.Executors)
	assert.Equal(t, current.Cluster, deprecated.Cluster)
	for k := range current.Steps {
		assert.Equal(t, current.Steps[k].String(), deprecated.Steps[k].String())
	}
	assert.Equal(t, [][]string{{"c0"}, {"c1"}}, deprecated.Steps[0].Partitions)
	assert.Equal(t, 0.5, deprecated.Steps[1].Duplicate)
	assert.Equal(t, 2*time.Second, deprecated.Steps[1].at)
}

// A drill with deprecated names is played without violations, after one warning.
func TestPlay_WarnsOfDeprecatedNames(t *testing.T) {
	program := buildFaultTagPrograms(t)
	script := readScript(t, "controllers = 2\nengines = 2\nclients = 1\nlength = \"500ms\"\nseed = 5\n"+
		"step \"100ms\" { twice = 0.1 }\nstep \"200ms\" { twice = 0.2 }")
	var output bytes.Buffer
	result, err := Play(script, program, t.TempDir(), &output)
	require.NoError(t, err, output.String())
	assert.Empty(t, result.Violations)
	assert.Equal(t, 1, strings.Count(output.String(), "deprecated"), output.String())
	assert.Contains(t, output.String(),
		"warning: the drill uses deprecated names: engines (now executors), twice (now duplicate)\n")
}

// The drill in the deploy directory is valid and has no deprecated names.
func TestReadScript_ReadsShippedDrill(t *testing.T) {
	script, err := ReadScript("../../deploy/drill.hcl")
	require.NoError(t, err)
	assert.Empty(t, script.Deprecated)
	assert.Equal(t, 3, script.Executors)
	assert.NotEmpty(t, script.Steps)
}
