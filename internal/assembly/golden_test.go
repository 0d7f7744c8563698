package assembly

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files anew")

// golden compares what was written with a golden file and gives that; with -update it writes the file first.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got), "%s is written otherwise", name)
	return want
}

// A team's limits are kept as they always were, and read from that again. Their time is fixed here: it is the clock's else.
func TestGolden_InstallationLimits(t *testing.T) {
	assert.Equal(t, "limit ", limitNote)
	for name, value := range map[string]limits{"limit": {Weight: 2.5, Ceiling: 0.75, Threads: 16.5, MemoryMB: 4000.25, Requests: 12, Queue: 500,
		At: time.Date(2026, 3, 4, 5, 6, 7, 890123000, time.UTC)}, "limit-empty": {}} {
		data, err := json.Marshal(value)
		require.NoError(t, err)
		var got limits
		require.NoError(t, json.Unmarshal(golden(t, name+".json", data), &got))
		assert.Equal(t, value, got, name)
	}
}
