package chaostest

import (
	"fmt"
	"time"

	"liftshift/internal/testservers"
)

// The retry budget of the settings: attempts beyond the first, as a share of all requests and for each controller on top.
const (
	extraAttemptsPerRequest    = 0.1
	extraAttemptsPerController = 3
)

// Check compares what clients saw with what executors ran and returns the violations: an effect that came twice, a reply for a request that
// never ran, a rejection of one that did, or more attempts than the retry budgets of all controllers allow.
func Check(requests []SentRequest, runs []testservers.Run, controllers int) (violations []string) {
	byID, byKey := map[string]int{}, map[string]int{}
	for _, r := range runs {
		byID[r.ID]++
		if r.IdempotencyKey != "" {
			byKey[r.IdempotencyKey]++
		}
	}
	seen, extra := map[string]bool{}, 0
	for _, r := range requests {
		ran := byID[r.ID]
		extra += max(0, ran-1)
		switch {
		case seen[r.ID]:
			violations = append(violations, fmt.Sprintf("request %s has two replies", r.ID))
		case r.Class == classNonIdempotent && ran > 1, r.IdempotencyKey != "" && byKey[r.IdempotencyKey] > 1:
			violations = append(violations, fmt.Sprintf("%s request %s ran %d times", r.Class, r.ID, max(ran, byKey[r.IdempotencyKey])))
		case r.Result == ResultHandled && ran == 0:
			violations = append(violations, fmt.Sprintf("request %s is handled and never ran", r.ID))
		case r.Result == ResultRejected && ran > 0 && r.Class == classNonIdempotent:
			violations = append(violations, fmt.Sprintf("request %s is rejected, ran, and may not run again", r.ID))
		}
		seen[r.ID] = true
	}
	budget := extraAttemptsPerRequest*float64(len(requests)) + extraAttemptsPerController*float64(controllers)
	if float64(extra) > budget {
		violations = append(violations, fmt.Sprintf("%d further attempts ran, past the retry budget of %.0f", extra, budget))
	}
	return violations
}

// RunsAfterDrain returns the runs that began at an executor past the grace after it was published as terminating.
func RunsAfterDrain(runs []testservers.Run, drained map[string]time.Time) (violations []string) {
	for _, r := range runs {
		at, draining := drained[r.Executor]
		if draining && r.At.After(at.Add(drainGrace)) {
			violations = append(violations, fmt.Sprintf("request %s ran at %s, %v after that was published as terminating", r.ID, r.Executor, r.At.Sub(at)))
		}
	}
	return violations
}
