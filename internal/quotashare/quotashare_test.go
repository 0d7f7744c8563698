package quotashare

import (
	"flag"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// The same cases are drawn in every run, and no files are left behind, unless the command line says otherwise.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

// delivery is a message on its way.
type delivery struct {
	at       float64
	from, to int
	data     []byte
}

// TestShares_AddUpToOneAtMostWhateverBecomesOfMessages: messages are lost, late by seconds, doubled and out of order, controllers are cut off, die
// and start anew with nothing. At no time do the shares that may be used add up to more than one.
func TestShares_AddUpToOneAtMostWhateverBecomesOfMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "controllers")
		controllers := make([]*Shares, n)
		now := 1000.0
		for k := range controllers {
			controllers[k] = New(now, n, k, true, uint64(k)*977)
		}
		var inTransit []delivery
		send := func(from int, out []Message) {
			for _, m := range out {
				for to := range n {
					if to == from || m.To >= 0 && m.To != to || rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
						continue
					}
					for range rapid.IntRange(1, 2).Draw(t, "copies") {
						inTransit = append(inTransit, delivery{now + rapid.SampledFrom([]float64{1, 30, 900, 2500, 5000}).Draw(t, "late"), from, to, m.Data})
					}
				}
			}
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{1, 100, 250, 1500}).Draw(t, "gap")
			k := rapid.IntRange(0, n-1).Draw(t, "who")
			if controllers[k] != nil {
				send(k, controllers[k].Tick(now, rapid.Float64Range(0, 1.2).Draw(t, "used"), rapid.Bool().Draw(t, "waits")))
			}
			slices.SortStableFunc(inTransit, func(a, b delivery) int { return int(a.at - b.at) })
			for len(inTransit) > 0 && inTransit[0].at <= now {
				d := inTransit[0]
				inTransit = inTransit[1:]
				if controllers[d.to] != nil {
					send(d.to, controllers[d.to].HandleMessage(now, d.from, d.data))
				}
			}
			switch {
			case rapid.IntRange(0, 15).Draw(t, "dies") == 0 && controllers[k] != nil:
				controllers[k] = nil
			case controllers[k] == nil:
				controllers[k] = New(now, n, k, true, uint64(now)*31+uint64(k))
			}
			sum := 0.0
			for _, p := range controllers {
				if p != nil {
					sum += p.Share(now)
				}
			}
			assert.LessOrEqual(t, sum, 1+1e-9)
		}
	})
}

// TestShares_LendsWhatIsSpareAndTakesItBack: a controller with a team at its ceiling gets what another has to spare, keeps it as long as it asks,
// and gives it back.
func TestShares_LendsWhatIsSpareAndTakesItBack(t *testing.T) {
	a, b := New(-5000, 2, 0, true, 1), New(-5000, 2, 1, true, 2)
	for now := 0.0; now < 10_000; now += 100 {
		b.Tick(now, 0.1, false)
		for _, m := range a.Tick(now, 1, true) {
			for _, r := range b.HandleMessage(now+1, 0, m.Data) {
				a.HandleMessage(now+2, 1, r.Data)
			}
		}
		if now > 2000 {
			assert.Greater(t, a.Share(now+5), 0.65)
		}
	}
	b.Tick(10_000, 1, false)
	assert.Empty(t, b.HandleMessage(10_000, 0, a.Tick(10_500, 1, true)[0].Data), "it needs its own now")
	assert.InDelta(t, 0.5, b.Share(12_500), 1e-9)
	assert.InDelta(t, 0.5, a.Share(12_500), 1e-9)
	alone := New(0, 2, 0, false, 1)
	assert.Empty(t, alone.Tick(0, 1, true), "where messages are not allowed, shares are fixed")
	assert.Equal(t, 0.5, alone.Share(0))
	assert.Empty(t, a.HandleMessage(0, 1, []byte{Tag}))
	assert.Empty(t, a.HandleMessage(0, 7, make([]byte, askBytes)))
}
