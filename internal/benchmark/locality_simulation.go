package benchmark

import (
	"fmt"

	"liftshift/internal/clustersim"
)

// comparedPolicies are those that the policy in use is compared with, and their names in figures.
var comparedPolicies = []struct {
	policy clustersim.LocalityPolicy
	name   string
}{{clustersim.NoLocality, "before"}, {clustersim.LocalFirst, "nearest"}, {clustersim.RandomGroup, "even"}, {clustersim.Uncoordinated, "alone"}}

// simulatePolicies compares the policies while a zone is lost and comes back, at a share of the capacity.
func simulatePolicies(load float64, add func(name string, value float64, unit, op string, want float64)) {
	policies := []clustersim.LocalityPolicy{clustersim.SharedPlan}
	for _, c := range comparedPolicies {
		policies = append(policies, c.policy)
	}
	results := make([]clustersim.LocalityResult, len(policies))
	parallel(len(policies), func(k int) {
		results[k] = clustersim.RunLocality(clustersim.LocalityScenario{Policy: policies[k], Zones: 3, Controllers: 9, Executors: 24, Load: load, Cores: 8, CrossZoneRTTMS: 10,
			LostAtMS: 8000, BackAtMS: 20_000, EndMS: 40_000, Seed: 7})
	})
	ours, at := results[0], fmt.Sprintf("at_%.0f", 100*load)
	for k, r := range results {
		fmt.Printf("# sim, load %.2f, %s: gain %.4f, near %.4f, own p99 %.2f x, swings %d, falls %d, back after %.0f ms\n", load, policies[k], r.ValueShare, r.LocalShare,
			r.OtherZonesP99Ratio, r.Oscillations, r.Collapses, r.RecoveryMS)
		if k > 0 {
			add("sim_gain_"+at+"_against_"+comparedPolicies[k-1].name, ours.ValueShare/r.ValueShare, "x", ">=", 1)
		}
	}
	add("sim_over_cap_"+at, float64(ours.CapViolations), "looks", "==", 0)
	add("sim_falls_"+at, float64(ours.Collapses), "", "==", 0)
	add("sim_near_"+at, 100*ours.LocalShare, "%", ">=", 99)
	add("sim_own_p99_"+at, ours.OtherZonesP99Ratio, "x before", "<=", 1.2)
	add("sim_swings_"+at, float64(ours.Oscillations), "", "<=", 2)
}

// simulateSizes compares what reports and plans cost at two sizes of a cluster.
func simulateSizes(add func(name string, value float64, unit, op string, want float64)) {
	bytesPerSecond := map[int]float64{}
	for _, n := range []int{30, 300} {
		r := clustersim.RunLocality(clustersim.LocalityScenario{Policy: clustersim.SharedPlan, Zones: 3, Controllers: n, Executors: n * 2 / 3, Load: 0.5, Cores: 8, CrossZoneRTTMS: 10,
			LostAtMS: 6000, BackAtMS: 12_000, EndMS: 20_000, Seed: 9, CutOffControllers: 2})
		fmt.Printf("# sim, %d controllers, %d executors: %+v\n", n, n*2/3, r)
		bytesPerSecond[n] = r.ReportBytesPerSecond
		add(fmt.Sprintf("sim_over_cap_of_%d", n), float64(r.CapViolations), "looks", "==", 0)
		add(fmt.Sprintf("sim_falls_of_%d", n), float64(r.Collapses), "", "==", 0)
		add(fmt.Sprintf("sim_in_force_of_%d", n), r.PlanInForceMS, "ms at 95%", ">=", 0)
	}
	add("sim_bytes_a_controller", bytesPerSecond[300]/bytesPerSecond[30], "x of 300 against 30", "<=", 1.5)
}
