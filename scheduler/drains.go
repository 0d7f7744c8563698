package scheduler

// Drains while the endpoint list is out of reach. A draining executor gets no new attempts once the grace
// period after the notification is over, and after a while a controller counts as notified even if nothing
// arrived. So without the list, an executor is open only as long as no drain of it can have come into force.

import (
	"math"
	"slices"
)

// maxPresumed is the number of times kept at which pending news counts as known.
const maxPresumed = 32

// drainSafeUntil returns until when an executor surely may be sent new attempts. One that it took proves it
// was not draining.
func (s *Scheduler) drainSafeUntil(e *executor) float64 {
	if s.listContactAt <= 0 || s.settings.NotifiedWithinMS <= 0 {
		return math.Inf(1)
	}
	activeAt := max(s.listContactAt, e.acceptedAt)
	notifiedAt := activeAt + s.settings.NotifiedWithinMS
	for _, at := range s.presumedNotifiedAt {
		if at > activeAt {
			notifiedAt = min(notifiedAt, at)
		}
	}
	return notifiedAt + s.settings.DrainGraceMS - answerMarginMS
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
