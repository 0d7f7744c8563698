package benchmark

import (
	"fmt"

	"liftshift/internal/clustersim"
)

// comparedPolicies are the policies that the shared plan is compared with, with their names in figures.
var comparedPolicies = []struct {
	policy clustersim.LocalityPolicy
	name   string
}{
	{clustersim.NoLocality, "before"},
	{clustersim.LocalFirst, "nearest"},
	{clustersim.RandomGroup, "even"},
	{clustersim.Uncoordinated, "alone"},
}

// simulatePolicies compares the policies while a zone is lost and returns. The load is a share of the capacity.
func simulatePolicies(load float64, set *figureSet) {
	policies := []clustersim.LocalityPolicy{clustersim.SharedPlan}
	for _, c := range comparedPolicies {
		policies = append(policies, c.policy)
	}
	results := make([]clustersim.LocalityResult, len(policies))
	parallel(len(policies), func(k int) {
		results[k] = clustersim.RunLocality(clustersim.LocalityScenario{
			Policy:         policies[k],
			Zones:          3,
			Controllers:    9,
			Executors:      24,
			Load:           load,
			Cores:          8,
			CrossZoneRTTMS: 10,
			LostAtMS:       8000,
			BackAtMS:       20_000,
			EndMS:          40_000,
			Seed:           7,
		})
	})
	sharedPlan, suffix := results[0], fmt.Sprintf("at_%.0f", 100*load)
	for k, r := range results {
		fmt.Printf("# sim, load %.2f, %s: gain %.4f, near %.4f, own p99 %.2f x, swings %d, falls %d, "+
			"back after %.0f ms\n", load, policies[k], r.ValueShare, r.LocalShare, r.OtherZonesP99Ratio,
			r.Oscillations, r.Collapses, r.RecoveryMS)
		if k > 0 {
			name := "sim_gain_" + suffix + "_against_" + comparedPolicies[k-1].name
			set.add(name, sharedPlan.ValueShare/r.ValueShare, "x", ">=", 1)
		}
	}
	set.add("sim_over_cap_"+suffix, float64(sharedPlan.CapViolations), "looks", "==", 0)
	set.add("sim_falls_"+suffix, float64(sharedPlan.Collapses), "", "==", 0)
	set.add("sim_near_"+suffix, 100*sharedPlan.LocalShare, "%", ">=", 99)
	set.add("sim_own_p99_"+suffix, sharedPlan.OtherZonesP99Ratio, "x before", "<=", 1.2)
	set.add("sim_swings_"+suffix, float64(sharedPlan.Oscillations), "", "<=", 2)
}

// simulateSizes compares the cost of reports and plans at two sizes of a cluster.
func simulateSizes(set *figureSet) {
	bytesPerSecond := map[int]float64{}
	for _, controllers := range []int{30, 300} {
		executors := controllers * 2 / 3
		result := clustersim.RunLocality(clustersim.LocalityScenario{
			Policy:            clustersim.SharedPlan,
			Zones:             3,
			Controllers:       controllers,
			Executors:         executors,
			Load:              0.5,
			Cores:             8,
			CrossZoneRTTMS:    10,
			LostAtMS:          6000,
			BackAtMS:          12_000,
			EndMS:             20_000,
			Seed:              9,
			CutOffControllers: 2,
		})
		fmt.Printf("# sim, %d controllers, %d executors: %+v\n", controllers, executors, result)
		bytesPerSecond[controllers] = result.ReportBytesPerSecond
		set.add(fmt.Sprintf("sim_over_cap_of_%d", controllers), float64(result.CapViolations), "looks", "==", 0)
		set.add(fmt.Sprintf("sim_falls_of_%d", controllers), float64(result.Collapses), "", "==", 0)
		set.add(fmt.Sprintf("sim_in_force_of_%d", controllers), result.PlanInForceMS, "ms at 95%", ">=", 0)
	}
	set.add("sim_bytes_a_controller", bytesPerSecond[300]/bytesPerSecond[30], "x of 300 against 30", "<=", 1.5)
}
