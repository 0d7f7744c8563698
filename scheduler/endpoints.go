package scheduler

func (s *Scheduler) updateEndpoints(ev *Event) {
	if ev.List == ListUnavailable {
		s.resubscribeAt, s.listLastHeardAt = s.now+resubscribeMS, ev.Deadline
		s.presumeNotified(ev.PresumedAt)
		return
	}
	s.listLastHeardAt, s.presumedNotifiedAt = 0, s.presumedNotifiedAt[:0]
	for index := range s.executors {
		if ev.List != ListDelta { // what a whole list leaves out is gone
			s.executors[index].availability = Removed
		}
	}
	for k := range ev.Endpoints {
		endpoint := &ev.Endpoints[k]
		known := s.executorIndex(endpoint.Executor) >= 0
		index := s.upsertExecutor(endpoint, executor{id: endpoint.Executor, state: executorHealthy, slowdown: 1, proven: true})
		e := &s.executors[index]
		if s.isNewStart(endpoint, e, known, ev.List) {
			s.applyToExecutor(index, inputRestarted)
			s.abandonAttempts(index, s.startTime(endpoint), true)
		}
		e.startedAt, e.availability = endpoint.StartedAt, endpoint.Availability
	}
	for index := range s.executors {
		if s.executors[index].availability == Removed {
			s.abandonAttempts(index, s.now, true)
		}
	}
	s.dispatchNeeded = true
}
