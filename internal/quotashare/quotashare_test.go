package quotashare

import (
	"flag"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Unless the command line overrides them, property tests use a fixed seed and write no failure files.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

// delivery is a message in transit.
type delivery struct {
	at       float64
	from, to int
	data     []byte
}

// TestShares_NeverExceedOneInTotal checks that the shares in use never add up to more than 1, while messages are
// lost, delayed by seconds, duplicated and reordered, and controllers crash and restart without state.
func TestShares_NeverExceedOneInTotal(t *testing.T) {
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
						delay := rapid.SampledFrom([]float64{1, 30, 900, 2500, 5000}).Draw(t, "delay")
						inTransit = append(inTransit, delivery{now + delay, from, to, m.Data})
					}
				}
			}
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{1, 100, 250, 1500}).Draw(t, "gap")
			k := rapid.IntRange(0, n-1).Draw(t, "controller")
			if controllers[k] != nil {
				used, waits := rapid.Float64Range(0, 1.2).Draw(t, "used"), rapid.Bool().Draw(t, "waits")
				send(k, controllers[k].Tick(now, used, waits))
			}
			slices.SortStableFunc(inTransit, func(a, b delivery) int { return int(a.at - b.at) })
			for len(inTransit) > 0 && inTransit[0].at <= now {
				next := inTransit[0]
				inTransit = inTransit[1:]
				if controllers[next.to] != nil {
					send(next.to, controllers[next.to].HandleMessage(now, next.from, next.data))
				}
			}
			switch {
			case rapid.IntRange(0, 15).Draw(t, "crash") == 0 && controllers[k] != nil:
				controllers[k] = nil
			case controllers[k] == nil:
				controllers[k] = New(now, n, k, true, uint64(now)*31+uint64(k))
			}
			sum := 0.0
			for _, shares := range controllers {
				if shares != nil {
					sum += shares.Share(now)
				}
			}
			assert.LessOrEqual(t, sum, 1+1e-9, "sum of the shares in use at %g ms", now)
		}
	})
}

// TestShares_LendsWhatIsSpareAndTakesItBack checks that a controller with a team at its ceiling borrows the spare
// share of another as long as it asks, and that the loan ends when the lender needs its share.
func TestShares_LendsWhatIsSpareAndTakesItBack(t *testing.T) {
	borrower, lender := New(-5000, 2, 0, true, 1), New(-5000, 2, 1, true, 2)
	for now := 0.0; now < 10_000; now += 100 {
		lender.Tick(now, 0.1, false)
		for _, request := range borrower.Tick(now, 1, true) {
			for _, answer := range lender.HandleMessage(now+1, 0, request.Data) {
				borrower.HandleMessage(now+2, 1, answer.Data)
			}
		}
		if now > 2000 {
			assert.Greater(t, borrower.Share(now+5), 0.65, "the borrower's share at %g ms", now+5)
		}
	}
	lender.Tick(10_000, 1, false)
	request := borrower.Tick(10_500, 1, true)[0]
	assert.Empty(t, lender.HandleMessage(10_000, 0, request.Data), "a saturated controller does not lend")
	assert.InDelta(t, 0.5, lender.Share(12_500), 1e-9)
	assert.InDelta(t, 0.5, borrower.Share(12_500), 1e-9)
	fixed := New(0, 2, 0, false, 1)
	assert.Empty(t, fixed.Tick(0, 1, true), "without messaging, shares are fixed")
	assert.Equal(t, 0.5, fixed.Share(0))
	assert.Empty(t, borrower.HandleMessage(0, 1, []byte{Tag}), "a truncated message is ignored")
	assert.Empty(t, borrower.HandleMessage(0, 7, make([]byte, requestBytes)), "an unknown sender is ignored")
}
