package scheduler

// testSettings returns the settings of a deployment with one class of each idempotency, after the given changes.
func testSettings(changes ...func(*Settings)) Settings {
	settings := DefaultSettings()
	settings.MaxAttempts = 4
	settings.MayCancel = true
	settings.MayHealthCheck = true
	settings.HonorsGrants = true
	settings.ProgressEveryMS = 1000
	settings.WarmupMS = 10000
	settings.ColdCapacity = 0.3
	settings.CollapseMultiple = 3
	settings.CollapseWindowMS = 2000
	settings.SendsRetryAfter = true
	settings.MaxRetryAfterMS = 500
	settings.Kinds = []ExecutorKind{{Name: "big", Cores: 8, MemoryMB: 16000}, {Name: "odd", Cores: 8, MemoryMB: 16000}}
	settings.Classes = []RequestClass{
		testClass("read", Idempotent),
		testClass("keyed", Keyed),
		testClass("unsafe", NonIdempotent),
	}
	for _, change := range changes {
		if change != nil {
			change(&settings)
		}
	}
	return settings
}

// testClass returns a class with one thread per request and half of the value for late answers.
func testClass(name string, idempotency Idempotency) RequestClass {
	return RequestClass{
		Name:           name,
		Idempotency:    idempotency,
		DedupScope:     DedupAll,
		DedupWindowMS:  5000,
		SoftDeadlineMS: 1000,
		Value:          1,
		LateValueShare: 0.5,
		Threads:        1,
	}
}

// newTestScheduler returns an instance that has received an endpoint list with the executors 1 to n at time 1000.
func newTestScheduler(n int, changes ...func(*Settings)) *Scheduler {
	s := New(7, testSettings(changes...))
	s.startedAt = -1e6 // long ago
	var endpoints []Endpoint
	for i := range n {
		endpoints = append(endpoints, Endpoint{Executor: uint32(i + 1), Zone: "here", Kind: "big"})
	}
	s.Step(1000, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: endpoints}, nil)
	return s
}

// arrive steps an instance with the arrival of a request of 100 ms of work and a deadline of 9000.
func arrive(s *Scheduler, now float64, id, class string) []Action {
	ev := Event{Kind: RequestArrived, Request: id, Class: class, MemoryMB: 100, WorkMS: 100, Deadline: 9000}
	return s.Step(now, &ev, nil)
}

// endAttempt steps an instance with the outcome of an attempt at a request.
func endAttempt(s *Scheduler, now float64, id string, attemptIndex int, outcome Outcome) []Action {
	ev := Event{Kind: AttemptEnded, Request: id, Attempt: attemptIndex, Outcome: outcome, Final: outcome == Succeeded}
	return s.Step(now, &ev, nil)
}

// actionKinds returns the kinds of the actions except SetTimer.
func actionKinds(actions []Action) (kinds []ActionKind) {
	for _, action := range actions {
		if action.Kind != SetTimer {
			kinds = append(kinds, action.Kind)
		}
	}
	return kinds
}

// tickAt steps an instance with a tick, as if the previous one had been one interval earlier.
func tickAt(s *Scheduler, now float64) []Action {
	s.tickedAt = now - tickMS
	return s.Step(now, &Event{Kind: TimerFired}, nil)
}

// newSmallShareScheduler returns an instance whose share of each of n executors is far below one thread.
func newSmallShareScheduler(n int, change func(*Settings)) *Scheduler {
	s := newTestScheduler(n, change)
	s.settings.Controllers = 200
	s.settings.ControllerIndex = 0
	s.updateTrafficShare()
	return s
}
