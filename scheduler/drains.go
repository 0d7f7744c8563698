package scheduler

import (
	"math"
	"slices"
)

// mostDeemed is the room for clocks at which what the list owes counts as told: a few in each second that
// these count.
const maxPresumed = 32

// drainSafeUntil is the clock until which an executor surely may be sent something new. While the list is out of
// reach, a drain counts as told in its time all the same; what an executor took proves that it took new
// work.
func (s *Scheduler) drainSafeUntil(e *executor) float64 {
	if s.listLastHeardAt <= 0 {
		return math.Inf(1)
	}
	told := s.settings.NotifiedWithinMS
	if told <= 0 {
		return math.Inf(1)
	}
	known := max(s.listLastHeardAt, e.acceptedAt)
	by := known + told
	for _, at := range s.presumedNotifiedAt {
		if at > known {
			by = min(by, at)
		}
	}
	return by + s.settings.DrainGraceMS - answerMarginMS
}

// presumeNotified notes when what the list owes counts as told. One that passed so long ago that it closes nothing by
// itself is forgotten.
func (s *Scheduler) presumeNotified(at float64) {
	past := s.now - s.settings.NotifiedWithinMS
	s.presumedNotifiedAt = slices.DeleteFunc(s.presumedNotifiedAt, func(one float64) bool { return one < past })
	if at > 0 && len(s.presumedNotifiedAt) < maxPresumed {
		s.presumedNotifiedAt = append(s.presumedNotifiedAt, at)
	}
}
