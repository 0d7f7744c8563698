package scheduler

// Drains while the endpoint list is unavailable. A draining executor accepts new attempts until a grace period after
// the notification of its drain has passed, and a controller is presumed notified after a given time even if it
// received nothing. Without the list, an executor therefore gets new attempts only while no drain that this controller
// may have missed can have taken effect.

import (
	"math"
	"slices"
)

// maxPresumedNotifications bounds the number of stored times at which this controller is presumed notified of pending
// list updates.
const maxPresumedNotifications = 32

// drainSafeUntil returns the time until which an executor surely accepts new attempts. The executor was not draining
// at the last contact with the list, nor when it last accepted an attempt.
func (s *Scheduler) drainSafeUntil(e *executor) float64 {
	if s.listContactAt <= 0 || s.settings.PresumedNotifiedAfterMS <= 0 {
		return math.Inf(1)
	}
	activeAt := max(s.listContactAt, e.acceptedAt)
	notifiedAt := activeAt + s.settings.PresumedNotifiedAfterMS
	for _, at := range s.presumedNotifiedAt {
		if at > activeAt {
			notifiedAt = min(notifiedAt, at)
		}
	}
	return notifiedAt + s.settings.DrainGraceMS - answerMarginMS
}

// recordPresumedNotification stores the time at which this controller is presumed notified of pending list updates; 0
// stands for none. It drops stored times that no longer close any executor: one that accepted an attempt before such a
// time is closed by then in any case, as PresumedNotifiedAfterMS and the drain grace have passed since.
func (s *Scheduler) recordPresumedNotification(at float64) {
	oldest := s.now - s.settings.PresumedNotifiedAfterMS - s.settings.DrainGraceMS
	isOld := func(presumed float64) bool { return presumed < oldest }
	s.presumedNotifiedAt = slices.DeleteFunc(s.presumedNotifiedAt, isOld)
	if at > 0 && len(s.presumedNotifiedAt) < maxPresumedNotifications {
		s.presumedNotifiedAt = append(s.presumedNotifiedAt, at)
	}
}
