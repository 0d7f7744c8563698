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

var update = flag.Bool("update", false, "rewrite the golden files")

// golden compares got with a golden file and returns the content of the file. With -update it writes the file first.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got), "%s differs from the golden file", name)
	return want
}

// The stored format of a team's limits must not change, since a controller reads the notes of earlier versions.
func TestStoredLimits_KeepTheirFormat(t *testing.T) {
	assert.Equal(t, "limit ", limitsNotePrefix)
	for name, value := range map[string]storedLimits{
		"limit": {
			Weight:   2.5,
			Ceiling:  0.75,
			Threads:  16.5,
			MemoryMB: 4000.25,
			Requests: 12,
			Queue:    500,
			At:       time.Date(2026, 3, 4, 5, 6, 7, 890123000, time.UTC),
		},
		"limit-empty": {},
	} {
		data, err := json.Marshal(value)
		require.NoError(t, err)
		var got storedLimits
		require.NoError(t, json.Unmarshal(golden(t, name+".json", data), &got))
		assert.Equal(t, value, got, "limits decoded from the golden file %s.json", name)
	}
}
