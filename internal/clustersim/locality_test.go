package clustersim

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A zone of three is lost under load and comes back cold; one of its controllers is cut off, too. No cap is passed, no executor that warms
// up collapses, traffic is local while all zones are there, and failover waits for no plan.
func TestRunLocality_ZoneLossAndReturn(t *testing.T) {
	scenario := LocalityScenario{Zones: 3, Controllers: 12, Executors: 12, Load: 0.5, Cores: 8, CrossZoneRTTMS: 4, LostAtMS: 8000, BackAtMS: 16_000, EndMS: 32_000, Seed: 3}
	for _, cutOff := range []int{0, 1} {
		scenario.Policy = SharedPlan
		scenario.CutOffControllers = cutOff
		result := RunLocality(scenario)
		t.Logf("%d cut off: %+v", cutOff, result)
		assert.Zero(t, result.CapViolations)
		assert.Zero(t, result.Collapses)
		assert.Greater(t, result.LocalShare, 0.9)
		assert.NotZero(t, result.PlanInForceMS)
		assert.NotZero(t, result.RecoveryMS)
		if cutOff == 0 {
			assert.Greater(t, result.ValueShare, 0.75)
		}
	}
	scenario.Policy = NoLocality
	scenario.CutOffControllers = 0
	assert.Less(t, RunLocality(scenario).LocalShare, 0.5, "the measure sees traffic that is not local")
}
