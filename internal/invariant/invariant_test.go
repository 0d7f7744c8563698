package invariant

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCheck_PanicsInDebugAndCountsInRelease(t *testing.T) {
	assert.True(t, Check(true, "invariant that holds"))
	if Debug {
		assert.Panics(t, func() { Check(false, "violated invariant") })
	} else {
		assert.False(t, Check(false, "violated invariant"))
	}
	assert.Equal(t, map[string]uint64{"violated invariant": 1}, Violations())
}
