package invariant

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestABrokenClaimStopsADebugBuildAndIsCountedInARelease(t *testing.T) {
	assert.True(t, That(true, "fine"))
	if Debug {
		assert.Panics(t, func() { That(false, "odd") })
	} else {
		assert.False(t, That(false, "odd"))
	}
	assert.Equal(t, map[string]uint64{"odd": 1}, Broken())
}
