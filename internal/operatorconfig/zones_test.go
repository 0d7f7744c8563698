package operatorconfig

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// withZone is the beginning of a file with a store, a consensus group and a zone.
const withZone = `store {
 directory = "/d"
}
cluster {
 name = "f"
 address = "127.0.0.1:1"
 seeds = ["127.0.0.1:1"]
 founders = ["a", "b", "c"]
 zone = "z"
 region = "east"
}
`

func TestParse_Zones(t *testing.T) {
	const zones = `zones {
 spill = 0.5
 stage = "2s"
 region "west" {
  latency = "20ms"
  min_density = 0.5
 }
}`
	f, err := Parse([]byte(withZone+zones), "f")
	require.NoError(t, err)
	assert.Equal(t, 0.5, f.Locality.SpillShare)
	assert.Equal(t, 2000.0, f.Locality.StageMS)
	assert.Equal(t, Region{LatencyMS: 20, MinDensity: 0.5}, f.Locality.Regions["west"])
	defaults, err := Parse([]byte(withZone+"zones {}"), "f")
	require.NoError(t, err)
	assert.Equal(t, 1.2, defaults.Locality.ThreadsPerCore)
	assert.Contains(t, f.ChangesNeedingRestart(defaults), "zones")
	assert.NotContains(t, f.ChangesNeedingRestart(f), "zones")
	for text, want := range map[string]string{
		withConsensus + "zones {}":                         "block cluster does not set zone",
		"zones {}":                                         "no block cluster with founders",
		withZone + "zones {\n spill = 2\n}":                "spill must be from 0 to 1",
		withZone + "zones {\n room = \"much\"\n}":          "room must be a number",
		withZone + "zones {\n region \"east\" {\n }\n}":    "controller's own",
		withZone + "zones {\n stage = \"1ms\"\n}":          "stage must be from 100ms",
		withZone + "zones {\n region \"w\" { far = 1 }\n}": "far",
	} {
		_, err := Parse([]byte(text), "f")
		assert.ErrorContains(t, err, want, text)
	}
}
