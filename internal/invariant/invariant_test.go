package invariant

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCheck_PanicsInDebugAndCountsInRelease(t *testing.T) {
	assert.True(t, Check(true, "fine"))
	if Debug {
		assert.Panics(t, func() { Check(false, "odd") })
	} else {
		assert.False(t, Check(false, "odd"))
	}
	assert.Equal(t, map[string]uint64{"odd": 1}, Violations())
}
