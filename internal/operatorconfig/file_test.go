package operatorconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRead_ParsesUnits(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.hcl")
	const src = "store {\n directory = \"/d\"\n segment = \"64KiB\"\n lag = \"20ms\"\n remember = \"1h\"\n}\n"
	require.NoError(t, os.WriteFile(path, []byte(src), 0o600))
	f, err := Read(path)
	require.NoError(t, err)
	assert.Equal(t, []any{"/d", int64(65536), 20 * time.Millisecond},
		[]any{f.Store.Directory, f.Store.SegmentBytes, f.Store.FlushDelay})
	assert.Equal(t, []any{3600e3, 4096, 200000},
		[]any{f.Store.RetentionMS, f.Store.MaxAnswerBytes, f.Store.MaxRecords})
	empty, err := Parse(nil, "x")
	assert.NoError(t, err)
	assert.Nil(t, empty.Store)
	assert.Equal(t, []string{"store"}, f.ChangesNeedingRestart(empty))
	otherStore := *f.Store
	otherStore.FlushDelay = 1
	assert.Len(t, f.ChangesNeedingRestart(&File{Store: &otherStore}), 1)
	assert.Empty(t, f.ChangesNeedingRestart(f))
	_, err = Read(path + "-not")
	assert.ErrorContains(t, err, "operators' file")
}

// Each error names file, line and column; the errors in all fields of a file are reported together.
func TestParse_ReportsThePositionOfEachError(t *testing.T) {
	for text, want := range map[string]string{
		"store {\n":                                            "f:1:7: Unclosed configuration block",
		"stor {}":                                              `f:1:1: Unsupported block type`,
		"store {}":                                             "directory",
		"store {\n directory = \"rel\"\n}":                     `f:2:14: directory must be an absolute path, not "rel"`,
		"store {\n directory = \"\"\n}":                        "f:2:14: directory is empty",
		"store {\n directory = null\n}":                        "f:2:14: directory has no value",
		"store {\n directory = 3\n}":                           "f:2:14: directory must be a string",
		"store {\n directory = \"/d\"\n lag = 5\n}":            `f:3:8: lag must be a time such as "50ms" or "10m"`,
		"store {\n directory = \"/d\"\n lag = \"2s\"\n}":       "f:3:8: lag must be from 1ms to 1s",
		"store {\n directory = \"/d\"\n segment = \"1 XB\"\n}": "f:3:12: segment must be a size",
		"store {\n directory = \"/d\"\n segment = \"1KiB\"\n}": "f:3:12: segment must be from 64KiB to 256MiB",
		"store {\n directory = \"/d\"\n most_kept = 1000.5\n}": "f:3:14: most_kept must be a whole number",
		"store {\n directory = \"/d\"\n most_kept = 1\n}":      "f:3:14: most_kept must be from 1000 to 10000000",
		"store {\n directory = \"/d\"\n nonsense = 1\n}":       "f:3:2: Unsupported argument",
		"store {\n directory = foo\n}":                         "f:2:14",

		"store {\n directory = \"/d\"\n}\nstore {\n directory = \"/d\"\n}": "f:4:1: duplicate block store",
	} {
		_, err := Parse([]byte(text), "f")
		assert.ErrorContains(t, err, want, text)
	}
	_, err := Parse([]byte("store {\n directory = \"x\"\n lag = \"9h\"\n}"), "f")
	assert.ErrorContains(t, err, "f:2:14")
	assert.ErrorContains(t, err, "f:3:8")
}

// A file with former names means the same as one with the current names, and File.Deprecated lists each former name.
func TestParse_AcceptsDeprecatedNames(t *testing.T) {
	current := `store {
  directory = "/d"
}
quotas {
  default     = "other"
  attribution = ["class", "field"]
  team "other" { requests = 3 }
  class "look" { team = "other" }
}
cluster {
  name     = "f"
  address  = "127.0.0.1:1"
  seeds    = ["127.0.0.1:1"]
  founders = ["a", "b", "c"]
  zone     = "z"
}
handoff {
  condition   = "disk and replicas"
  unreachable = "reject"
}
zones {
  region "west" {
    latency     = "20ms"
    min_density = 0.5
  }
}
`
	former := strings.NewReplacer("quotas {", "budgets {", "attribution =", "whose =", `["class"`, `["offering"`,
		"requests =", "searches =", `class "look"`, `offering "look"`, "cluster {", "fleet {", "handoff {", "estate {",
		"disk and replicas", "disk and holders", `"reject"`, `"deny"`, "latency ", "way ", "min_density", "price").
		Replace(current)
	a, err := Parse([]byte(current), "f")
	require.NoError(t, err)
	assert.Empty(t, a.Deprecated)
	b, err := Parse([]byte(former), "f")
	require.NoError(t, err)
	assert.Empty(t, a.ChangesNeedingRestart(b))
	assert.Equal(t, a.Quotas.Teams, b.Quotas.Teams)
	assert.Equal(t, a.Quotas.Attribution, b.Quotas.Attribution)
	assert.Equal(t, a.Locality, b.Locality)
	assert.ElementsMatch(t, []string{"budgets (now quotas)", "whose (now attribution)", "offering (now class)",
		"searches (now requests)", "fleet (now cluster)", "estate (now handoff)", "disk and holders (now disk and replicas)",
		"deny (now reject)", "way (now latency)", "price (now min_density)"}, b.Deprecated)
	_, err = Parse([]byte("quotas {\n default = \"a\"\n whose = []\n attribution = []\n team \"a\" {}\n}"), "f")
	assert.ErrorContains(t, err, "f:3:2: whose is the former name of attribution, which is also set")
	_, err = Parse([]byte("store {\n directory = \"/d\"\n}\nfleet {}\ncluster {}"), "f")
	assert.Error(t, err, "the block cluster appears under both names")
}

// The example files in deploy are valid and use no deprecated names.
func TestRead_AcceptsTheExamples(t *testing.T) {
	for _, name := range []string{"cluster", "handoff", "office", "quotas", "zones"} {
		f, err := Read(filepath.Join("..", "..", "deploy", name+".hcl"))
		if assert.NoError(t, err, name) {
			assert.Empty(t, f.Deprecated, name)
		}
	}
}
