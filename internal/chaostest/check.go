package chaostest

import (
	"fmt"
	"time"

	"liftshift/internal/testservers"
)

// The retry budget of the test configuration: extra attempts are those beyond the first attempt of a request. The
// budget is a share of all requests plus a fixed allowance for each controller.
const (
	extraAttemptsPerRequest    = 0.1
	extraAttemptsPerController = 3
)

// Check compares the results that clients received with the runs that executors recorded and returns the violations:
// a request with two replies, a request that ran more often than its class allows, a request reported as handled that
// never ran, a non-idempotent request reported as rejected that did run, or more attempts than the retry budgets of
// all controllers allow.
func Check(requests []SentRequest, runs []testservers.Run, controllers int) (violations []string) {
	runsByID, runsByKey := map[string]int{}, map[string]int{}
	for _, run := range runs {
		runsByID[run.ID]++
		if run.IdempotencyKey != "" {
			runsByKey[run.IdempotencyKey]++
		}
	}
	seen, extraAttempts := map[string]bool{}, 0
	for _, r := range requests {
		ran := runsByID[r.ID]
		extraAttempts += max(0, ran-1)
		switch {
		case seen[r.ID]:
			violations = append(violations, fmt.Sprintf("request %s has two replies", r.ID))
		case r.Class == classNonIdempotent && ran > 1, r.IdempotencyKey != "" && runsByKey[r.IdempotencyKey] > 1:
			violations = append(violations,
				fmt.Sprintf("%s request %s ran %d times", r.Class, r.ID, max(ran, runsByKey[r.IdempotencyKey])))
		case r.Result == ResultHandled && ran == 0:
			violations = append(violations, fmt.Sprintf("request %s is handled and never ran", r.ID))
		case r.Result == ResultRejected && ran > 0 && r.Class == classNonIdempotent:
			violations = append(violations, fmt.Sprintf("request %s is rejected, ran, and may not run again", r.ID))
		}
		seen[r.ID] = true
	}
	budget := extraAttemptsPerRequest*float64(len(requests)) + extraAttemptsPerController*float64(controllers)
	if float64(extraAttempts) > budget {
		violations = append(violations,
			fmt.Sprintf("%d further attempts ran, past the retry budget of %.0f", extraAttempts, budget))
	}
	return violations
}

// RunsAfterDrain returns a violation for each run that began at an executor more than drainGrace after the executor was
// published as terminating. The map drained holds that time by executor name.
func RunsAfterDrain(runs []testservers.Run, drained map[string]time.Time) (violations []string) {
	for _, run := range runs {
		drainedAt, draining := drained[run.Executor]
		if draining && run.At.After(drainedAt.Add(drainGrace)) {
			violations = append(violations,
				fmt.Sprintf("request %s ran at %s, %v after that was published as terminating",
					run.ID, run.Executor, run.At.Sub(drainedAt)))
		}
	}
	return violations
}
