package waitestimate

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// simulateServer plays one server that does work in turn; waits are estimated on arrival and observed as they end.
func simulateServer(e *Estimator, random *rand.Rand, from, to, load float64, pace func(now float64) float64) (within, estimated int, ratios []float64) {
	free := from
	for now := from; now < to; {
		now += random.ExpFloat64() * 100 / load
		work := random.ExpFloat64() * 100
		ahead := max(0, free-now)
		estimate := e.Estimate(now, "t", "look", Backlog{AheadMS: ahead, Threads: 1, RunMS: 100})
		begins := max(now, free) + ahead*(pace(now)-1)
		free = max(now, free) + work*pace(now)
		e.Started(begins, "t", "look", estimate)
		e.Ended(begins+work, "t", "look", estimate)
		if estimate.Known {
			estimated++
			took := begins - now
			if took <= max(minWaitMS, estimate.StartMS) {
				within++
			}
			if took > 50 {
				ratios = append(ratios, estimate.StartMS/took)
			}
		}
	}
	return within, estimated, ratios
}

// TestEstimator_NineInTenWaitsAreWithinTheEstimate: at a steady load, nearly full, and with executors slower than expected; and in the median the
// estimate is no more than twice the wait.
func TestEstimator_NineInTenWaitsAreWithinTheEstimate(t *testing.T) {
	for _, c := range []struct {
		what string
		load float64
		pace func(float64) float64
	}{
		{"steady", 0.8, func(float64) float64 { return 1 }},
		{"nearly full", 0.95, func(float64) float64 { return 1 }},
		{"slower from some time on", 0.5, func(now float64) float64 { return 1 + 0.6*float64(int(now/100_000)%2) }},
		{"always half again as slow as expected", 0.6, func(float64) float64 { return 1.5 }},
	} {
		t.Run(c.what, func(t *testing.T) {
			e, random := New(), rand.New(rand.NewPCG(7, 1))
			within, estimated, ratios := simulateServer(e, random, 1000, 600_000, c.load, c.pace)
			assert.Greater(t, float64(within)/float64(estimated), 0.9, c.what)
			slices.Sort(ratios)
			assert.LessOrEqual(t, ratios[len(ratios)/2], 2.0, c.what)
			accuracy := e.Accuracy()
			assert.Len(t, accuracy, 1)
			assert.Greater(t, float64(accuracy[0].EndsWithin)/float64(accuracy[0].Ends), 0.9, c.what)
		})
	}
}

// TestEstimator_UnknownUntilEnoughWasSeen: each team and class needs waits of its own; Changed follows the time that passed.
func TestEstimator_UnknownUntilEnoughWasSeen(t *testing.T) {
	e := New()
	for n := range minSamples {
		estimate := e.Estimate(1000, "t", "look", Backlog{AheadMS: 100, Threads: 1})
		assert.False(t, estimate.Known, n)
		e.Started(1100, "t", "look", estimate)
		e.Ended(1200, "t", "look", estimate)
	}
	estimate := e.Estimate(2000, "t", "look", Backlog{AheadMS: 100, Threads: 1})
	assert.True(t, estimate.Known)
	assert.False(t, e.Estimate(2000, "t", "report", Backlog{}).Known, "of this class nothing was seen")
	assert.False(t, math.IsNaN(estimate.StartMS))
	assert.GreaterOrEqual(t, estimate.EndMS, estimate.StartMS)
	later := e.Estimate(2050, "t", "look", Backlog{AheadMS: 50, Threads: 1})
	assert.False(t, Changed(estimate, later), "half of it has gone by")
	assert.True(t, Changed(estimate, e.Estimate(2050, "t", "look", Backlog{AheadMS: 1000, Threads: 1})))
	assert.True(t, Changed(Estimate{}, estimate))
}
