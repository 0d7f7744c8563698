package operatorconfig

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const zoned = "store {\n directory = \"/d\"\n}\ncluster {\n name = \"f\"\n address = \"127.0.0.1:1\"\n seeds = [\"127.0.0.1:1\"]\n founders = [\"a\", \"b\", \"c\"]\n zone = \"z\"\n region = \"east\"\n}\n"

func TestParse_Zones(t *testing.T) {
	f, err := Parse([]byte(zoned+"zones {\n spill = 0.5\n stage = \"2s\"\n region \"west\" {\n  latency = \"20ms\"\n  min_density = 0.5\n }\n}"), "f")
	require.NoError(t, err)
	assert.Equal(t, 0.5, f.Locality.SpillShare)
	assert.Equal(t, 2000.0, f.Locality.StageMS)
	assert.Equal(t, Region{LatencyMS: 20, MinDensity: 0.5}, f.Locality.Regions["west"])
	usual, err := Parse([]byte(zoned+"zones {}"), "f")
	require.NoError(t, err)
	assert.Equal(t, 1.2, usual.Locality.ThreadsPerCore)
	assert.Contains(t, f.Differs(usual), "zones")
	assert.NotContains(t, f.Differs(f), "zones")
	for text, want := range map[string]string{
		grouped + "zones {}":                            "in which zone",
		"zones {}":                                      "no block cluster with founders",
		zoned + "zones {\n spill = 2\n}":                "spill must be from 0 to 1",
		zoned + "zones {\n room = \"much\"\n}":          "room must be a number",
		zoned + "zones {\n region \"east\" {\n }\n}":    "controller's own",
		zoned + "zones {\n stage = \"1ms\"\n}":          "stage must be from 100ms",
		zoned + "zones {\n region \"w\" { far = 1 }\n}": "far",
	} {
		_, err := Parse([]byte(text), "f")
		assert.ErrorContains(t, err, want, text)
	}
}
