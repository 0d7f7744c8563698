package dispatch

import (
	"math"
	"sync/atomic"
)

const (
	stallMS   = 50 // between two turns of the loop from which on this process counts as stalled
	catchUpMS = 50 // after a stall during which what is read may still have come while it lasted
)

// stallDetector tells when this process stalled: it was stopped, had no processor, or did one thing for long. The loop's goroutine
// records its turns, which the scheduler's timers keep 20 ms apart at most; earliestArrival is safe for concurrent use.
type stallDetector struct{ lastTurn, stallStart, stallEnd atomicTime }

// atomicTime is a clock reading that one goroutine writes and others read.
type atomicTime struct{ bits atomic.Uint64 }

func (t *atomicTime) store(at float64) { t.bits.Store(math.Float64bits(at)) }
func (t *atomicTime) load() float64    { return math.Float64frombits(t.bits.Load()) }

func (s *stallDetector) recordTurn(now float64) {
	if last := s.lastTurn.load(); last > 0 && now-last > stallMS {
		s.stallStart.store(last)
		s.stallEnd.store(now)
	}
	s.lastTurn.store(now)
}

// earliestArrival returns the earliest time at which what is read now may have come.
func (s *stallDetector) earliestArrival(now float64) float64 {
	if last := s.lastTurn.load(); last > 0 && now-last > stallMS {
		return last
	}
	if end := s.stallEnd.load(); now >= end && now-end < catchUpMS {
		return s.stallStart.load()
	}
	return now
}
