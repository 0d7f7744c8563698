package scheduler

// Drains while the endpoint list is out of reach. Nothing new may go to an executor later than a grace period
// after this controller was told that it drains, and after a given time it counts as told whether it heard or
// not. So while nobody tells, an executor is open only as long as no drain of it can have come into force.

import (
	"math"
	"slices"
)

// maxPresumed is the number of times kept at which pending news counts as known.
const maxPresumed = 32

// drainSafeUntil returns until when an executor surely may be sent new attempts. One that it took proves it
// was not draining.
func (s *Scheduler) drainSafeUntil(e *executor) float64 {
	if s.listLastHeardAt <= 0 || s.settings.NotifiedWithinMS <= 0 {
		return math.Inf(1)
	}
	activeAt := max(s.listLastHeardAt, e.acceptedAt)
	toldAt := activeAt + s.settings.NotifiedWithinMS
	for _, at := range s.presumedNotifiedAt {
		if at > activeAt {
			toldAt = min(toldAt, at)
		}
	}
	return toldAt + s.settings.DrainGraceMS - answerMarginMS
}

// presumeNotified notes when pending news counts as known, and forgets the times that close nothing by
// themselves any more.
func (s *Scheduler) presumeNotified(at float64) {
	oldest := s.now - s.settings.NotifiedWithinMS
	isOld := func(presumed float64) bool { return presumed < oldest }
	s.presumedNotifiedAt = slices.DeleteFunc(s.presumedNotifiedAt, isOld)
	if at > 0 && len(s.presumedNotifiedAt) < maxPresumed {
		s.presumedNotifiedAt = append(s.presumedNotifiedAt, at)
	}
}
