package clustersim

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// One of three zones is lost under load and comes back cold, with and without one of its controllers being cut off.
// No cap may be exceeded, no executor may collapse during its warmup, traffic must be local while no zone is lost,
// and failover must not wait for a plan.
func TestRunLocality_ZoneLossAndReturn(t *testing.T) {
	scenario := LocalityScenario{
		Zones: 3, Controllers: 12, Executors: 12, Load: 0.5, Cores: 8, CrossZoneRTTMS: 4,
		LostAtMS: 8000, BackAtMS: 16_000, EndMS: 32_000, Seed: 3,
	}
	for _, cutOff := range []int{0, 1} {
		scenario.Policy = SharedPlan
		scenario.CutOffControllers = cutOff
		result := RunLocality(scenario)
		t.Logf("%d controllers cut off: %+v", cutOff, result)
		assert.Zero(t, result.CapViolations, "cap violations with %d controllers cut off", cutOff)
		assert.Zero(t, result.Collapses, "collapsed executors with %d controllers cut off", cutOff)
		assert.Greater(t, result.LocalShare, 0.9, "local share with %d controllers cut off", cutOff)
		assert.NotZero(t, result.PlanInForceMS, "no plan reflected the loss with %d controllers cut off", cutOff)
		assert.NotZero(t, result.RecoveryMS, "the lost zone did not recover with %d controllers cut off", cutOff)
		if cutOff == 0 {
			assert.Greater(t, result.ValueShare, 0.75, "value share without controllers cut off")
		}
	}
	scenario.Policy = NoLocality
	scenario.CutOffControllers = 0
	assert.Less(t, RunLocality(scenario).LocalShare, 0.5, "LocalShare must reflect remote traffic")
}
