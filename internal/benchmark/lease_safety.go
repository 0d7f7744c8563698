package benchmark

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"

	"liftshift/internal/chaostest"
)

const leaseSafetyRounds = 12

// LeaseSafety measures whether keyed requests run twice when their owner stalls while attempts wait for its slow disk,
// and resumes after its successors have sent them. It uses a program that ignores its lease, which must run requests
// twice to show that the rounds can detect this, and one that honors its lease. The environment variable CONTROL_ROUNDS
// sets the number of rounds.
func LeaseSafety(dir, _ string) ([]Figure, error) {
	set := newHandoffFigures()
	allFaults := chaostest.TakeoverFaults
	defer func() { chaostest.TakeoverFaults = allFaults }()
	chaostest.TakeoverFaults = []string{"asleep"}
	rounds := envNumber("CONTROL_ROUNDS", leaseSafetyRounds)
	for _, tags := range []string{"faults lawless", "faults"} {
		programs := filepath.Join(dir, strings.ReplaceAll(tags, " ", "-"))
		build := exec.Command("go", "build", "-tags", tags, "-o", programs+"/",
			"liftshift/cmd/liftshift", "liftshift/cmd/liftshift-full")
		if output, err := build.CombinedOutput(); err != nil {
			return nil, fmt.Errorf("building with the tags %q: %w: %s", tags, err, output)
		}
		results, err := runTakeovers(programs, filepath.Join(programs, "liftshift"), rounds, "slow 250ms")
		if err != nil {
			return nil, err
		}
		ranTwice := 0
		for _, result := range results {
			ranTwice += len(result.RanTwice)
		}
		unit := fmt.Sprintf("of %d rounds", len(results))
		if tags == "faults" {
			set.add("real_ran_twice_asleep_with_a_slow_disk", float64(ranTwice), unit, "==", 0)
		} else {
			set.add("real_ran_twice_without_leases", float64(ranTwice), unit, ">=", 1)
		}
	}
	return set.figures, nil
}
