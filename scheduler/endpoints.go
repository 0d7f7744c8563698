package scheduler

// The endpoint list: which executors exist, and what follows from changes of the list. An executor that is missing
// from a complete list is gone, and so are the attempts that ran there.

// updateEndpoints applies an update of the endpoint list, or records that the list is unavailable.
func (s *Scheduler) updateEndpoints(ev *Event) {
	if ev.List == ListUnavailable {
		s.resubscribeAt = s.now + resubscribeMS
		s.listContactAt = ev.Deadline
		s.recordPresumedNotification(ev.PresumedNotifiedAt)
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

// updateEndpoint applies one entry of the endpoint list. If the executor was started anew, its warm-up begins and the
// attempts sent to the earlier process are abandoned.
func (s *Scheduler) updateEndpoint(endpoint *Endpoint, list ListKind) {
	index := s.executorIndex(endpoint.Executor)
	known := index >= 0
	stayed := known && s.executors[index].location() == endpoint.Location()
	index = s.upsertExecutor(endpoint)
	e := &s.executors[index]
	if s.isNewStart(endpoint, e, known, list) {
		s.applyToExecutor(index, inputRestarted)
		s.abandonAttempts(index, s.processStartTime(endpoint), true)
	}
	e.startedAt = endpoint.StartedAt
	e.availability = endpoint.Availability
	switch {
	case e.availability != Active:
	case stayed:
		e.confirmProcess()
	default: // the process that is listed is known, but not which one ran what was sent before
		e.lostAt = 0
	}
}
