package waitestimate

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// line plays one server that does work in turn; waits are told on coming and heard as they end.
func line(b *Estimator, dice *rand.Rand, from, to, load float64, pace func(now float64) float64) (kept, told int, ratios []float64) {
	free := from
	for now := from; now < to; {
		now += dice.ExpFloat64() * 100 / load
		work := dice.ExpFloat64() * 100
		ahead := max(0, free-now)
		t := b.Estimate(now, "t", "look", Backlog{AheadMS: ahead, Threads: 1, RunMS: 100})
		begins := max(now, free) + ahead*(pace(now)-1)
		free = max(now, free) + work*pace(now)
		b.Started(begins, "t", "look", t)
		b.Ended(begins+work, "t", "look", t)
		if t.Known {
			told++
			took := begins - now
			if took <= max(floorMS, t.StartMS) {
				kept++
			}
			if took > 50 {
				ratios = append(ratios, t.StartMS/took)
			}
		}
	}
	return kept, told, ratios
}

// Nine in ten waits are within what was told, steady, under a burst, and once executors have become slower than reckoned;
// and the figure is no more than twice the wait in the median.
func TestNineInTenWaitsAreWithinWhatWasTold(t *testing.T) {
	for _, c := range []struct {
		what string
		load float64
		pace func(float64) float64
	}{
		{"steady", 0.8, func(float64) float64 { return 1 }},
		{"nearly full", 0.95, func(float64) float64 { return 1 }},
		{"slower from some time on", 0.5, func(now float64) float64 { return 1 + 0.6*float64(int(now/100_000)%2) }},
		{"always half again as slow as reckoned", 0.6, func(float64) float64 { return 1.5 }},
	} {
		b, dice := New(), rand.New(rand.NewPCG(7, 1))
		kept, told, ratios := line(b, dice, 1000, 600_000, c.load, c.pace)
		assert.Greater(t, float64(kept)/float64(told), 0.9, c.what)
		slices.Sort(ratios)
		assert.LessOrEqual(t, ratios[len(ratios)/2], 2.0, c.what)
		k := b.Accuracy()
		assert.Len(t, k, 1)
		assert.Greater(t, float64(k[0].EndsWithin)/float64(k[0].Ends), 0.9, c.what)
	}
}

func TestWhatCannotBeToldIsUnknown(t *testing.T) {
	b := New()
	for n := range least {
		told := b.Estimate(1000, "t", "look", Backlog{AheadMS: 100, Threads: 1})
		assert.False(t, told.Known, n)
		b.Started(1100, "t", "look", told)
		b.Ended(1200, "t", "look", told)
	}
	told := b.Estimate(2000, "t", "look", Backlog{AheadMS: 100, Threads: 1})
	assert.True(t, told.Known)
	assert.False(t, b.Estimate(2000, "t", "report", Backlog{}).Known, "of this offering nothing was seen")
	assert.False(t, math.IsNaN(told.StartMS))
	assert.GreaterOrEqual(t, told.EndMS, told.StartMS)
	later := b.Estimate(2050, "t", "look", Backlog{AheadMS: 50, Threads: 1})
	assert.False(t, Changed(told, later), "half of it has gone by")
	assert.True(t, Changed(told, b.Estimate(2050, "t", "look", Backlog{AheadMS: 1000, Threads: 1})))
	assert.True(t, Changed(Estimate{}, told))
}
