package clustersim

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A zone of three is lost under load and comes back cold; one of its controllers is cut off, too. No cap is passed, no cold executor is
// pushed over, traffic is near while all is whole, and failover waits for no plan.
func TestBetweenZones(t *testing.T) {
	b := Between{Zones: 3, Controllers: 12, Executors: 12, Load: 0.5, Cores: 8, WayMS: 4, Lost: 8000, Back: 16_000, End: 32_000, Seed: 3}
	for _, cut := range []int{0, 1} {
		b.Manner, b.Cut = InCommon, cut
		f := PlayBetween(b)
		t.Logf("%d cut off: %+v", cut, f)
		assert.Zero(t, f.Over)
		assert.Zero(t, f.Falls)
		assert.Greater(t, f.Near, 0.9)
		assert.NotZero(t, f.InForceMS)
		assert.NotZero(t, f.BackMS)
		if cut == 0 {
			assert.Greater(t, f.Gain, 0.75)
		}
	}
	b.Manner, b.Cut = Before, 0
	assert.Less(t, PlayBetween(b).Near, 0.5, "the measure sees traffic that is not near")
}
