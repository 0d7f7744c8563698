package scheduler

// Endpoint list: which executors there are, and what news of them leads to. What a complete list leaves out
// is gone, and so is whatever ran there.

// updateEndpoints takes news of the endpoint list, or that it is out of reach.
func (s *Scheduler) updateEndpoints(ev *Event) {
	if ev.List == ListUnavailable {
		s.resubscribeAt = s.now + resubscribeMS
		s.listContactAt = ev.Deadline
		s.presumeNotified(ev.PresumedAt)
		return
	}
	s.listContactAt = 0
	s.presumedNotifiedAt = s.presumedNotifiedAt[:0]
	if ev.List != ListDelta {
		for index := range s.executors {
			s.executors[index].availability = Removed
		}
	}
	for i := range ev.Endpoints {
		s.updateEndpoint(&ev.Endpoints[i], ev.List)
	}
	for index := range s.executors {
		if s.executors[index].availability == Removed {
			s.abandonAttempts(index, s.now, true)
		}
	}
	s.dispatchNeeded = true
}

func (s *Scheduler) updateEndpoint(endpoint *Endpoint, list ListKind) {
	known := s.executorIndex(endpoint.Executor) >= 0
	index := s.upsertExecutor(endpoint)
	e := &s.executors[index]
	if s.isNewStart(endpoint, e, known, list) {
		s.applyToExecutor(index, inputRestarted)
		s.abandonAttempts(index, s.startTime(endpoint), true)
	}
	e.startedAt = endpoint.StartedAt
	e.availability = endpoint.Availability
}
