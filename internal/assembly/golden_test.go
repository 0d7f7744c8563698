package assembly

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/goldenfile"
)

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
		require.NoError(t, json.Unmarshal(goldenfile.Compare(t, name+".json", data), &got))
		assert.Equal(t, value, got, "limits decoded from the golden file %s.json", name)
	}
}
