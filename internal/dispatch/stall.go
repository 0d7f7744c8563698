package dispatch

import (
	"math"
	"sync/atomic"
)

const (
	// stallThresholdMS is the time between two turns of the loop above which this process counts as stalled.
	stallThresholdMS = 50
	// catchUpMS is the time after a stall during which data that is read may have arrived while the stall lasted.
	catchUpMS = 50
)

// stallDetector detects that this process stalled: it was stopped, got no processor, or one step of the loop took
// long. The loop's goroutine records its turns, which the scheduler's timers keep at most 20 ms apart.
// earliestArrival is safe for concurrent use.
type stallDetector struct{ lastTurn, stallStart, stallEnd atomicTime }

// atomicTime is a clock reading that one goroutine writes and others read.
type atomicTime struct{ bits atomic.Uint64 }

func (t *atomicTime) store(at float64) { t.bits.Store(math.Float64bits(at)) }
func (t *atomicTime) load() float64    { return math.Float64frombits(t.bits.Load()) }

// recordTurn records that the loop takes a turn now, and a stall if the last turn is too long ago.
func (s *stallDetector) recordTurn(now float64) {
	if last := s.lastTurn.load(); last > 0 && now-last > stallThresholdMS {
		s.stallStart.store(last)
		s.stallEnd.store(now)
	}
	s.lastTurn.store(now)
}

// earliestArrival returns the earliest time at which data that is read now may have arrived.
func (s *stallDetector) earliestArrival(now float64) float64 {
	if last := s.lastTurn.load(); last > 0 && now-last > stallThresholdMS {
		return last
	}
	if end := s.stallEnd.load(); now >= end && now-end < catchUpMS {
		return s.stallStart.load()
	}
	return now
}
