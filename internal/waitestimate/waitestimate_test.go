package waitestimate

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

const (
	meanWorkMS       = 100 // mean work of a simulated request
	minComparedMS    = 50  // shorter waits are left out of the ratios between estimate and wait
	simulationFromMS = 1000
	simulationToMS   = 600_000
)

// simulation is the result of simulateServer.
type simulation struct {
	estimated int       // waits that had an estimate
	within    int       // those that stayed within it
	ratios    []float64 // estimates relative to the waits
}

// simulateServer simulates a server that handles one request at a time. Its waits are estimated when a request arrives.
// The slowdown is the factor by which the server takes longer than the estimator expects.
func simulateServer(
	estimator *Estimator, random *rand.Rand, load float64, slowdown func(now float64) float64,
) simulation {
	var result simulation
	freeAt := float64(simulationFromMS)
	for now := float64(simulationFromMS); now < simulationToMS; {
		now += random.ExpFloat64() * meanWorkMS / load
		work := random.ExpFloat64() * meanWorkMS
		ahead := max(0, freeAt-now)
		estimate := estimator.Estimate(now, "t", "look", Backlog{AheadMS: ahead, Threads: 1, RunMS: meanWorkMS})
		startsAt := max(now, freeAt) + ahead*(slowdown(now)-1)
		freeAt = max(now, freeAt) + work*slowdown(now)
		estimator.Started(startsAt, "t", "look", estimate)
		estimator.Ended(startsAt+work, "t", "look", estimate)
		if !estimate.Known {
			continue
		}
		result.estimated++
		waited := startsAt - now
		if waited <= max(minWaitMS, estimate.StartMS) {
			result.within++
		}
		if waited > minComparedMS {
			result.ratios = append(result.ratios, estimate.StartMS/waited)
		}
	}
	return result
}

// TestEstimator_NineInTenWaitsAreWithinTheEstimate checks that more than nine in ten waits stay within their
// estimates, also under high load and if executors are slower than expected, and that the median estimate is at most
// twice the wait.
func TestEstimator_NineInTenWaitsAreWithinTheEstimate(t *testing.T) {
	for _, c := range []struct {
		name     string
		load     float64
		slowdown func(now float64) float64
	}{
		{"moderate load", 0.8, func(float64) float64 { return 1 }},
		{"high load", 0.95, func(float64) float64 { return 1 }},
		{"slower at times", 0.5, func(now float64) float64 { return 1 + 0.6*float64(int(now/100_000)%2) }},
		{"always slower than expected", 0.6, func(float64) float64 { return 1.5 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			estimator, random := New(), rand.New(rand.NewPCG(7, 1))
			result := simulateServer(estimator, random, c.load, c.slowdown)
			assert.Greater(t, float64(result.within)/float64(result.estimated), 0.9, "share of starts within their estimate")
			slices.Sort(result.ratios)
			assert.LessOrEqual(t, result.ratios[len(result.ratios)/2], 2.0, "median ratio of estimate and wait")
			accuracy := estimator.Accuracy()
			assert.Len(t, accuracy, 1)
			endsWithin := float64(accuracy[0].EndsWithin) / float64(accuracy[0].Ends)
			assert.Greater(t, endsWithin, 0.9, "share of ends within their estimate")
		})
	}
}

// TestEstimator_UnknownUntilEnoughWasSeen checks that each class needs minSamples waits of its own before it has an
// estimate, and that Changed allows for the time that has passed since the earlier estimate.
func TestEstimator_UnknownUntilEnoughWasSeen(t *testing.T) {
	estimator := New()
	for samples := range minSamples {
		estimate := estimator.Estimate(1000, "t", "look", Backlog{AheadMS: 100, Threads: 1})
		assert.False(t, estimate.Known, "estimate after %d samples", samples)
		estimator.Started(1100, "t", "look", estimate)
		estimator.Ended(1200, "t", "look", estimate)
	}
	estimate := estimator.Estimate(2000, "t", "look", Backlog{AheadMS: 100, Threads: 1})
	assert.True(t, estimate.Known, "estimate after %d samples", minSamples)
	assert.False(t, estimator.Estimate(2000, "t", "report", Backlog{}).Known, "estimate of a class without samples")
	assert.False(t, math.IsNaN(estimate.StartMS))
	assert.GreaterOrEqual(t, estimate.EndMS, estimate.StartMS)
	halfway := estimator.Estimate(2050, "t", "look", Backlog{AheadMS: 50, Threads: 1})
	assert.False(t, Changed(estimate, halfway), "half of the wait and half of the backlog are over")
	longer := estimator.Estimate(2050, "t", "look", Backlog{AheadMS: 1000, Threads: 1})
	assert.True(t, Changed(estimate, longer), "the backlog has grown")
	assert.True(t, Changed(Estimate{}, estimate), "the estimate has become known")
}
