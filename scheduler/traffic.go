package scheduler

import "cmp"

// share is this controller's part of the traffic.
func (s *Scheduler) share() float64 { return s.trafficShare }

// updateTrafficShare reckons this controller's share, and its part of each executor, anew.
func (s *Scheduler) updateTrafficShare() {
	s.trafficShare = 1 / max(1, cmp.Or(s.countedControllers, float64(s.settings.Controllers)))
	for index := range s.executors {
		s.executors[index].share = shareOf(s.trafficShare, s.executors[index].cores)
	}
}
