package handoff

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// exchange is a batch and its reply, in ms.
type exchange struct {
	sentAt, receivedAt float64 // by the sender's clock
	clock              float64 // of the member that replied
	incarnation        uint64
}

// The estimate of a member's clock is behind it by what the quickest reply took, and follows a drift of the clocks.
func TestPeerClock_EstimatesLowerBound(t *testing.T) {
	for name, test := range map[string]struct {
		exchanges []exchange
		offset    float64
	}{
		"one reply":               {[]exchange{{1000, 1004, 502, 1}}, -502},
		"the quicker reply":       {[]exchange{{1000, 1004, 502, 1}, {2000, 2001, 1500.5, 1}}, -500.5},
		"not the slower reply":    {[]exchange{{1000, 1001, 500.5, 1}, {2000, 2090, 1545, 1}}, -500.5},
		"the clock runs slower":   {[]exchange{{1000, 1001, 500.5, 1}, {9000, 9001, 8490.5, 1}}, -510.5},
		"the clock runs faster":   {[]exchange{{1000, 1001, 500.5, 1}, {9000, 9001, 8510.5, 1}}, -490.5},
		"the member was replaced": {[]exchange{{1000, 1001, 500.5, 1}, {9000, 9001, 30.5, 2}}, -8970.5},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &peerClock{}
			for _, e := range test.exchanges {
				clock.observe(e.receivedAt, &Batch{sentAt: e.sentAt},
					&Batch{From: Member{"n1", e.incarnation}, Clock: e.clock})
			}
			assert.InDelta(t, test.offset, clock.offset, 1e-9)
		})
	}
}

// Replies that took long after a pause do not stretch the time for which later records may be stored.
func TestPeerClock_CountsPauseOnce(t *testing.T) {
	clock := &peerClock{}
	for n := range 10 {
		at := 1000 * float64(n)
		clock.observe(at+1, &Batch{sentAt: at}, &Batch{From: Member{"n1", 1}, Clock: at + 0.5})
	}
	for n := range 50 {
		at := 19_000 + 10*float64(n)
		clock.observe(20_000, &Batch{sentAt: at}, &Batch{From: Member{"n1", 1}, Clock: 19_999})
	}
	assert.Less(t, clock.roundTripMS, 5.0)
}
