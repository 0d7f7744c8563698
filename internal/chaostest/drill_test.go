package chaostest

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A drill with every kind of controller fault ends without violations, and its report has plots.
func TestPlay_ReportsDrill(t *testing.T) {
	program := buildFaultTagPrograms(t)
	script := readScript(t, `
controllers = 3
executors   = 2
clients     = 3
length      = "4s"
seed        = 5
cluster     = "probe = \"200ms\"\nanswer = \"80ms\"\nsuspect = \"800ms\""
step "1s" { kill = ["c1"] }
step "2s" { partitions = [["c0"], ["c2"]] }
step "3s" {
  heal  = true
  start = ["c1"]
  drain = ["s1"]
  disks = ["c0"]
  disk  = "slow 5ms"
}
`)
	var output bytes.Buffer
	result, err := Play(script, program, t.TempDir(), &output)
	require.NoError(t, err, output.String())
	assert.Empty(t, result.Violations)
	assert.NotContains(t, output.String(), "deprecated")
	var html bytes.Buffer
	require.NoError(t, Report(&html, result))
	assert.Contains(t, html.String(), "<svg")
}
