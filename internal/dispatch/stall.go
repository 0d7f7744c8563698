package dispatch

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// stallThresholdMS is the time between two turns of the loop above which this process counts as stalled.
	stallThresholdMS = 50
	// catchUpMS is the time after a stall during which data that is read may have arrived while the stall lasted.
	catchUpMS = 50

	// longStallMS is the delay of a due timer after which the loop collects what arrived meanwhile before it handles any of
	// it. It is below 100 ms, the time after a client's departure by which nothing may be sent for it any more.
	longStallMS = 90
	// collectMS is the time for that, in which the goroutines of the connections read.
	collectMS = 10
	// maxCollected is the number of items that are collected at most.
	maxCollected = 4 * queueCapacity
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

// sortArrivals puts the requests among some items into the order in which they arrived, as connections are read in any
// order after a stall. All other items stay where they are.
func sortArrivals(items []QueueItem) {
	var places []int
	var arrivals []QueueItem
	for place, item := range items {
		if item.Request != nil && !item.resumed {
			places = append(places, place)
			arrivals = append(arrivals, item)
		}
	}
	slices.SortStableFunc(arrivals, func(a, b QueueItem) int {
		return cmp.Compare(a.Request.ArrivedAt, b.Request.ArrivedAt)
	})
	for k, place := range places {
		items[place] = arrivals[k]
	}
}

// collectAfterStall appends to received what the queue gets within collectMS, so that the connections have read what came
// during a stall before the loop acts on any of it. Otherwise an executor's answer that is read first could have a request
// sent whose client has left, although the end of its connection is there to be read, too.
func (l *Loop) collectAfterStall(received []QueueItem) []QueueItem {
	timeout := time.NewTimer(collectMS * time.Millisecond)
	defer timeout.Stop()
	for len(received) < maxCollected {
		select {
		case item := <-l.queue:
			received = append(received, item)
		case <-timeout.C:
			sortArrivals(received)
			return received
		}
	}
	sortArrivals(received)
	return received
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
